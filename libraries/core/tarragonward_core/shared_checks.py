"""Share one check of a thing among all who ask for it at about the same time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ["SharedChecks"]

Check = Callable[[], Coroutine[Any, Any, bool]]


class SharedChecks:
    """Runs at most one check of each name at a time.

    A positive result is for all who wait. A negative one says nothing of what happened
    after the check began, so those who ask while it is in progress share the next one.
    """

    def __init__(self) -> None:
        self._running: dict[str, asyncio.Task[bool]] = {}

    async def async_run(self, name: str, check: Check) -> bool:
        """Return the result of a check of this name that begins now or later."""
        running = self._running.get(name)
        if running is not None:
            await asyncio.wait({running})
            if not running.cancelled() and running.exception() is None:
                if running.result():
                    return True
        task = self._running.get(name)
        if task is None:
            task = self._running[name] = asyncio.create_task(check())
            task.add_done_callback(lambda _: self._running.pop(name, None))
        return await asyncio.shield(task)

    async def async_unload(self) -> None:
        """Stop all checks."""
        tasks = list(self._running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
