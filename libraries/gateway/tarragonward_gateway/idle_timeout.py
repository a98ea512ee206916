"""Leave a target that is silent for too long, while another may have the request."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from types import TracebackType

from . import const as c

__all__ = ["IdleTimeout", "StreamMovedError", "TargetSilentError"]


class TargetSilentError(Exception):
    """Report that a target was left because it said nothing."""


class StreamMovedError(Exception):
    """Report that a target was left for one that is not held up."""


class IdleTimeout:
    """The time that a target has until its next event.

    A target behind a cut, or frozen, keeps its connections open. Symptom: the caller
    waits until it gives up, though others are free. Silence alone ends no answer: it
    is left only while may_leave() says that another target may go on; else it is
    asked again later. Time in which the caller does not read is not the target's.
    Before it counts as silent its first event is overdue: then it is left where
    gains_elsewhere() says that another target would be in time, and is not to blame.
    """

    def __init__(
        self,
        first_seconds: float,
        pause_seconds: float,
        may_abandon: Callable[[], bool],
        overdue_seconds: float = math.inf,
        is_faster_elsewhere: Callable[[], bool] = lambda: False,
    ) -> None:
        self._first_seconds = first_seconds
        self._overdue_seconds = overdue_seconds
        self._is_faster_elsewhere = is_faster_elsewhere
        self._silent_at = math.inf
        self._pause_seconds = pause_seconds
        self._may_abandon = may_abandon
        self._loop = asyncio.get_running_loop()
        self._scope = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._is_abandoning = False

    def abandon(self) -> None:
        """Leave the target now, or once what came from it has been given on."""
        # While events are given on, an end would cut one in two.
        self._is_abandoning = True
        if self._timer is not None:
            self._start_timer(0.0)

    async def __aenter__(self) -> IdleTimeout:
        """Begin to wait for the first event."""
        await self._scope.__aenter__()
        self._silent_at = self._loop.time() + self._first_seconds
        self._start_timer(min(self._first_seconds, self._overdue_seconds))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop to wait; raise an error that says why where the target was left."""
        self.pause()
        try:
            await self._scope.__aexit__(kind, error, trace)
        except TimeoutError as err:
            if self._is_abandoning:
                raise StreamMovedError("held up by a reading") from err
            raise TargetSilentError("no event in time") from err

    def pause(self) -> None:
        """Do not count the time from here on."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def resume(self) -> None:
        """Wait for the next event."""
        self._silent_at = self._loop.time() + self._pause_seconds
        self._start_timer(0.0 if self._is_abandoning else self._pause_seconds)

    def _start_timer(self, seconds: float) -> None:
        self.pause()
        self._timer = self._loop.call_later(seconds, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        is_silent = now >= self._silent_at and self._may_abandon()
        if not is_silent and not self._is_abandoning:
            self._is_abandoning = self._is_faster_elsewhere()
        if is_silent or self._is_abandoning:
            self._scope.reschedule(now)
        else:
            self._start_timer(c.SILENCE_RECHECK_SECONDS)
