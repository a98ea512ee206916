"""Hold requests while all their targets are full, in the order of their arrival."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from . import const as c

__all__ = ["PlaceQueue"]


class PlaceQueue:
    """The held requests of one service; times on the event loop's clock, in seconds.

    Only the first one looks for a free place, so later requests don't overtake it and a
    long queue costs no more than a short one.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Event] = deque()
        self._released_at: deque[float] = deque(maxlen=c.MAX_RELEASE_TIMES)

    def __len__(self) -> int:
        """Return the number of held requests."""
        return len(self._waiting)

    def record_release(self, now: float) -> None:
        """Record that a place became free, and let the first request look for it."""
        self._released_at.append(now)
        if self._waiting:
            self._waiting[0].set()

    def predict_wait(self, now: float) -> float:
        """Return how long one more request would be held, 0.0 if that is not known."""
        times = self._released_at
        if len(times) < c.MIN_RELEASE_TIMES:
            return 0.0
        # A queue that has stopped moving counts with the time since its last release.
        seconds = max(times[-1] - times[0], now - times[-1])
        return seconds / (len(times) - 1) * (len(self._waiting) + 1)

    async def async_wait(self, is_free: Callable[[], bool], until: float) -> bool:
        """Wait for a turn and a free place; return whether there is one.

        The caller uses the place before it awaits anything else.
        """
        loop = asyncio.get_running_loop()
        turn = asyncio.Event()
        self._waiting.append(turn)
        try:
            while True:
                is_first = self._waiting[0] is turn
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
        finally:
            self._waiting.remove(turn)
            if self._waiting:
                self._waiting[0].set()
