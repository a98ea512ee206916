"""Limit a wait without losing an answer that arrived while the process was paused."""

from __future__ import annotations

import asyncio
from types import TracebackType

from . import const as c

__all__ = ["PauseTimeout"]


class PauseTimeout:
    """A timeout that, when it fires late, lets the event loop read first.

    A process that wakes from a pause finds its timers overdue and the answers unread in
    its sockets, and would give up requests that were answered in time. when is event
    loop time in seconds.
    """

    def __init__(self, when: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._scope = asyncio.timeout(None)
        self._when = when
        self._has_expired = False
        self._handle: asyncio.Handle | None = None

    async def __aenter__(self) -> PauseTimeout:
        """Start the timeout."""
        await self._scope.__aenter__()
        self.reschedule(self._when)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Stop the timeout; raise TimeoutError if it has ended the wait."""
        self._cancel()
        return await self._scope.__aexit__(kind, error, trace)

    def expired(self) -> bool:
        """Return whether the wait is over; it can't be rescheduled any more."""
        return self._has_expired

    def reschedule(self, when: float) -> None:
        """Move the end of the wait."""
        self._cancel()
        self._when = when
        if when <= self._loop.time():
            self._handle = self._loop.call_soon(self._handle_timer)
        else:
            self._handle = self._loop.call_at(when, self._handle_timer)

    def _cancel(self) -> None:
        if self._handle is not None:
            self._handle.cancel()

    def _handle_timer(self) -> None:
        if self._loop.time() - self._when < c.MIN_TIMER_LATENESS_SECONDS:
            self._expire()
            return
        self._handle = self._loop.call_later(c.LATE_READ_SECONDS, self._expire)

    def _expire(self) -> None:
        self._has_expired = True
        self._scope.reschedule(self._loop.time())
