"""Supervise the background tasks of a host and restart those that fail."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from absl import logging

from .logs import log_event
from .metrics import Metrics

__all__ = ["BackgroundTasks"]

RESTART_DELAY_SECONDS = 1.0


class BackgroundTasks:
    """The endless background loops of one component, by name.

    Nothing awaits these tasks, so without supervision an unexpected exception would end
    a loop silently, and the host would continue with stale reports, hosts or
    configuration. A failure is logged, counted (background_failures) and followed by
    a restart after RESTART_DELAY_SECONDS, with jitter.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def names(self) -> list[str]:
        """Return the names of the running loops."""
        return list(self._tasks)

    def start(self, name: str, async_run: Callable[[], Awaitable[None]]) -> None:
        """Run a loop, restarted on failure, until async_unload()."""
        self._tasks[name] = asyncio.create_task(self._async_supervise(name, async_run))

    async def async_unload(self) -> None:
        """Cancel all loops."""
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
            await asyncio.sleep(RESTART_DELAY_SECONDS * random.uniform(0.5, 1.5))
