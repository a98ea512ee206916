"""Hold requests while all their targets are full, and let them go in a fair order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from tarragonward_placement import Waiting, WaitOrder

from . import const as c

__all__ = ["PlaceQueue"]


class PlaceQueue:
    """The held requests of one service; times on the event loop's clock, in seconds.

    Only the first one looks for a free place, so others don't overtake it and a long
    queue costs no more than a short one.
    """

    def __init__(self) -> None:
        self._order = WaitOrder()
        self._turns: dict[Waiting, asyncio.Event] = {}
        self._displaced: set[Waiting] = set()
        self._released_at: deque[float] = deque(maxlen=c.MAX_RELEASE_TIMES)
        # Called with the account of a request that gave its place in the queue up.
        self.on_displaced: Callable[[str], None] = lambda account: None

    def __len__(self) -> int:
        """Return the number of held requests."""
        return len(self._order)

    def record_release(self, now: float) -> None:
        """Record that a place became free, and let the first request look for it."""
        self._released_at.append(now)
        self._wake_first()

    def predict_wait(self, now: float, ahead: int | None = None) -> float:
        """Return how long one more request would be held, 0.0 if that is not known.

        ahead is how many go before it, by default all that are held.
        """
        times = self._released_at
        if len(times) < c.MIN_RELEASE_TIMES:
            return 0.0
        # A queue that has stopped moving counts with the time since its last release.
        seconds = max(times[-1] - times[0], now - times[-1])
        before = len(self._order) if ahead is None else ahead
        return seconds / (len(times) - 1) * (before + 1)

    def count_before(self, account: str, urgency: int) -> int:
        """Return how many held requests would go before a new one."""
        return self._order.count_before(account, urgency)

    def make_room(self, account: str, urgency: int) -> bool:
        """Return whether a request may be held; if need be, the last one gives way.

        Otherwise an account that fills the queue would have all others refused.
        """
        if len(self._order) < c.MAX_HELD_REQUESTS:
            return True
        last = self._order.last
        if last is None or self.count_before(account, urgency) >= len(self._order):
            return False
        self._order.remove(last, is_served=False)
        self._displaced.add(last)
        self._turns[last].set()
        self.on_displaced(last.account)
        return True

    async def async_wait(
        self,
        is_free: Callable[[], bool],
        until: float,
        account: str = "",
        urgency: int = 0,
        cost: float = 1.0,
    ) -> bool:
        """Wait for a turn and a free place; return whether there is one.

        The caller uses the place before it awaits anything else.
        """
        waiting = self._order.add(account, urgency, cost)
        turn = self._turns[waiting] = asyncio.Event()
        is_served = False
        try:
            is_served = await self._async_wait_for_turn(waiting, turn, is_free, until)
        finally:
            del self._turns[waiting]
            if waiting in self._displaced:
                self._displaced.discard(waiting)
            else:
                self._order.remove(waiting, is_served)
            self._wake_first()
        return is_served

    async def _async_wait_for_turn(
        self,
        waiting: Waiting,
        turn: asyncio.Event,
        is_free: Callable[[], bool],
        until: float,
    ) -> bool:
        loop = asyncio.get_running_loop()
        while waiting not in self._displaced:
            is_first = self._order.first is waiting
            if is_first and is_free():
                return True
            wait = until - loop.time()
            if wait <= 0:
                return False
            if is_first:
                wait = min(wait, c.PLACE_CHECK_INTERVAL_SECONDS)
            turn.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await turn.wait()
        return False

    def _wake_first(self) -> None:
        first = self._order.first
        if first is not None:
            self._turns[first].set()
