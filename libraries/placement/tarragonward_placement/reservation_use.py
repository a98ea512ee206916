"""Decide from engines' reports whether memory reserved for a prompt is still needed."""

from __future__ import annotations

from enum import Enum

from . import const as c

__all__ = ["ReservationTracker", "ReservationUse"]


class ReservationUse(Enum):
    """What the engines report of a prompt's reservations.

    UNUSED: they are there, and no request uses any of them. GONE: one has expired.
    UNKNOWN: no engine reported.
    """

    USED = "used"
    UNUSED = "unused"
    GONE = "gone"
    UNKNOWN = "unknown"


class ReservationTracker:
    """Decides for how long to renew the reservations of one send; times in seconds.

    An answer can be lost without a sign on its connection, so only the engines tell
    that the request has ended. Memory that was used and is not now is renewed for so
    long only that it expires free_seconds after the last use, whatever calls are lost:
    a preempted request that uses it again before that keeps it. Memory that was never
    used is renewed for most of unused_seconds, as the engine may have others to serve
    first.
    """

    def __init__(
        self,
        now: float,
        hold_seconds: float,
        free_seconds: float,
        unused_seconds: float,
    ) -> None:
        self.interval_seconds = hold_seconds * c.RENEWAL_INTERVAL_SHARE
        self._hold_seconds = hold_seconds
        self._expiry_seconds = free_seconds * c.UNUSED_EXPIRY_SHARE
        self._unused_until = now + unused_seconds * c.UNUSED_CHECK_SHARE
        self._used_at: float | None = None
        self._event_at = float("-inf")
        self._is_doubted = False

    def record_event(self, now: float) -> None:
        """Record an event of the answer, which shows that the memory is in use."""
        self._event_at = self._used_at = now
        self._is_doubted = False

    def needs_report(self, now: float) -> bool:
        """Return whether only a report can tell that the memory is in use."""
        return now - self._event_at >= self.interval_seconds

    def choose_hold(self, use: ReservationUse, looked_at: float, now: float) -> float:
        """Return for how long to renew the reservations, 0.0 to release them.

        looked_at is when the engines were asked, now the time of the renewal.
        """
        if use is ReservationUse.USED:
            self._used_at, self._is_doubted = looked_at, False
            return self._hold_seconds
        if use is ReservationUse.GONE:
            return 0.0
        is_unknown = use is ReservationUse.UNKNOWN
        self._is_doubted = self._is_doubted or not is_unknown
        if self._used_at is None:
            has_time = is_unknown or now < self._unused_until
            return self._hold_seconds if has_time else 0.0
        left = self._used_at + self._expiry_seconds - now
        if left > self.interval_seconds:
            return min(left, self._hold_seconds)
        # Engines that tell nothing are not known to be unused.
        return 0.0 if self._is_doubted else self._hold_seconds
