"""Own the tasks that run as long as the host, and start again those that fail."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from absl import logging

from .logs import log_event
from .metrics import Metrics

__all__ = ["BackgroundTasks"]

RESTART_SECONDS = 1.0


class BackgroundTasks:
    """The endless loops of one part of the host, by name.

    A loop that meets what nobody foresaw ends, and as nobody awaits it, without a
    word. Symptom: the host serves on by the reports, hosts or configuration of that
    moment. It is logged, counted (background_failures) and run again after a second.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def names(self) -> list[str]:
        """Return the names of the loops that run."""
        return list(self._tasks)

    def start(self, name: str, async_run: Callable[[], Awaitable[None]]) -> None:
        """Run a loop until async_unload()."""
        self._tasks[name] = asyncio.create_task(self._async_supervise(name, async_run))

    async def async_unload(self) -> None:
        """End all loops."""
        tasks, self._tasks = list(self._tasks.values()), {}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _async_supervise(
        self, name: str, async_run: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await async_run()
            except Exception as err:
                self._metrics.count("background_failures", name)
                log_event(
                    "background_failed",
                    level=logging.ERROR,
                    task=name,
                    error=repr(err),
                )
            await asyncio.sleep(RESTART_SECONDS * random.uniform(0.5, 1.5))
