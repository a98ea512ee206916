"""Decide which lines of a log are within its budget."""

from __future__ import annotations

__all__ = ["LineBudget"]

# Errors may use what other lines must leave.
RESERVED_SHARE = 0.2
SAID_EACH_SECONDS = 1.0


class LineBudget:
    """A token bucket of lines; what it turns away is counted until it is said.

    Times are a steady clock's, in seconds.
    """

    def __init__(self, lines_a_second: float, burst: int) -> None:
        self.lines_a_second = lines_a_second
        self._burst = burst
        self._left = float(burst)
        self._filled_at = float("-inf")
        self._said_at = float("-inf")
        self.dropped = 0
        self.dropped_unsaid = 0

    def admit(self, now: float, lines: int = 1, is_urgent: bool = False) -> bool:
        """Return whether so many lines may be written, all of them or none."""
        self._fill(now)
        reserve = 0.0 if is_urgent else self._burst * RESERVED_SHARE
        if self._left - lines < reserve:
            self.note_dropped(lines)
            return False
        self._left -= lines
        return True

    def note_dropped(self, lines: int) -> None:
        """Count lines that were not written, for whatever reason."""
        self.dropped += lines
        self.dropped_unsaid += lines

    def take_unsaid(self, now: float) -> int:
        """Return how many were dropped and not said yet; 0 until it is time to say."""
        if not self.dropped_unsaid or now - self._said_at < SAID_EACH_SECONDS:
            return 0
        unsaid, self.dropped_unsaid = self.dropped_unsaid, 0
        self._said_at = now
        return unsaid

    def _fill(self, now: float) -> None:
        # A clock that stood still or fell back adds nothing.
        if now > self._filled_at:
            gained = (now - self._filled_at) * self.lines_a_second
            self._left = min(float(self._burst), self._left + gained)
            self._filled_at = now
