"""Abandon a target that sends no event in time, if another one can take over."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from types import TracebackType

from . import const as c

__all__ = ["IdleTimeout", "StreamMovedError", "TargetSilentError"]


class TargetSilentError(Exception):
    """Report that a target was abandoned because it sent nothing in time."""


class StreamMovedError(Exception):
    """Report that a target was abandoned for one that is expected to be faster."""


class IdleTimeout:
    """Limits the time that a target has until its next event.

    A target that is frozen or behind a network partition keeps its connections open,
    and its caller would wait until it gives up although other targets are free. A
    silent target is abandoned only if may_abandon() returns that another target can
    take over; otherwise this is checked again later. Time during which the caller does
    not read is not counted. Before that limit the first event can be overdue: the
    target is then abandoned, without a fault being recorded, if is_faster_elsewhere()
    returns that another target would be in time.

    on_stalled() is called once in each wait for a later event that takes longer than
    stalled_seconds.
    """

    def __init__(
        self,
        first_seconds: float,
        pause_seconds: float,
        may_abandon: Callable[[], bool],
        overdue_seconds: float = math.inf,
        is_faster_elsewhere: Callable[[], bool] = lambda: False,
        stalled_seconds: float = math.inf,
        on_stalled: Callable[[], None] = lambda: None,
    ) -> None:
        self._first_seconds = first_seconds
        self._overdue_seconds = overdue_seconds
        self._is_faster_elsewhere = is_faster_elsewhere
        self._stalled_seconds = stalled_seconds
        self._on_stalled = on_stalled
        self._stalled_at = math.inf
        self._silent_at = math.inf
        self._pause_seconds = pause_seconds
        self._may_abandon = may_abandon
        self._loop = asyncio.get_running_loop()
        self._scope = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._is_abandoning = False

    def abandon(self) -> None:
        """Abandon the target, after the events received from it have been forwarded."""
        # Aborting while events are being forwarded would cut one in two.
        self._is_abandoning = True
        if self._timer is not None:
            self._start_timer(0.0)

    def give_up(self) -> None:
        """Abandon the target now, whether or not another one can take over."""
        if self._timer is not None:
            self._scope.reschedule(self._loop.time())

    def expect_silence(self) -> None:
        """Shorten the current wait, as no event may be able to arrive any more."""
        if self._timer is not None:
            seconds = c.LOST_LINK_IDLE_SECONDS
            self._silent_at = min(self._silent_at, self._loop.time() + seconds)
            self._start_timer(seconds)

    async def __aenter__(self) -> IdleTimeout:
        """Start waiting for the first event."""
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
        """Stop waiting; raise the reason if the target was abandoned."""
        self.pause()
        try:
            await self._scope.__aexit__(kind, error, trace)
        except TimeoutError as err:
            if self._is_abandoning:
                raise StreamMovedError("another target is expected sooner") from err
            raise TargetSilentError("no event within the idle timeout") from err

    def pause(self) -> None:
        """Stop counting time until resume()."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def resume(self) -> None:
        """Start waiting for the next event."""
        now = self._loop.time()
        self._silent_at = now + self._pause_seconds
        self._stalled_at = now + self._stalled_seconds
        seconds = min(self._pause_seconds, self._stalled_seconds)
        self._start_timer(0.0 if self._is_abandoning else seconds)

    def _start_timer(self, seconds: float) -> None:
        self.pause()
        self._timer = self._loop.call_later(seconds, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        if now >= self._stalled_at:
            self._stalled_at = math.inf
            self._on_stalled()
        is_silent = now >= self._silent_at and self._may_abandon()
        if not is_silent and not self._is_abandoning:
            self._is_abandoning = self._is_faster_elsewhere()
        if is_silent or self._is_abandoning:
            self._scope.reschedule(now)
        else:
            self._start_timer(c.SILENCE_RECHECK_SECONDS)
