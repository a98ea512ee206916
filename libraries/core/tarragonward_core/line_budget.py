"""Limit the rate of log lines."""

from __future__ import annotations

__all__ = ["LineBudget"]

# This share of the burst is reserved for errors.
URGENT_RESERVED_SHARE = 0.2
REPORT_INTERVAL_SECONDS = 1.0


class LineBudget:
    """A token bucket of log lines; dropped lines are counted until reported.

    Times are in seconds of a monotonic clock.
    """

    def __init__(self, lines_per_second: float, burst: int) -> None:
        self.lines_per_second = lines_per_second
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = float("-inf")
        self._reported_at = float("-inf")
        self.dropped = 0
        self.dropped_unreported = 0

    def admit(self, now: float, lines: int = 1, is_urgent: bool = False) -> bool:
        """Return whether all lines may be written; if not, count them as dropped."""
        self._refill(now)
        reserve = 0.0 if is_urgent else self._burst * URGENT_RESERVED_SHARE
        if self._tokens - lines < reserve:
            self.record_dropped(lines)
            return False
        self._tokens -= lines
        return True

    def record_dropped(self, lines: int) -> None:
        """Count lines that were not written."""
        self.dropped += lines
        self.dropped_unreported += lines

    def take_unreported(self, now: float) -> int:
        """Return the lines dropped since the last report; 0 until a report is due."""
        if (
            not self.dropped_unreported
            or now - self._reported_at < REPORT_INTERVAL_SECONDS
        ):
            return 0
        unreported, self.dropped_unreported = self.dropped_unreported, 0
        self._reported_at = now
        return unreported

    def _refill(self, now: float) -> None:
        # A clock that stalls or goes backwards adds no tokens.
        if now > self._refilled_at:
            refill = (now - self._refilled_at) * self.lines_per_second
            self._tokens = min(float(self._burst), self._tokens + refill)
            self._refilled_at = now
