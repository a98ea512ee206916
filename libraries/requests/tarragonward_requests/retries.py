"""Bound retries to a share of recent first attempts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .const import (
    RETRY_BUDGET_FLOOR,
    RETRY_BUDGET_SHARE,
    RETRY_BUDGET_WINDOW_SECONDS,
)

__all__ = ["RetryBudget"]


@dataclass
class _Second:
    number: int
    first_attempts: int = 0
    drawn: float = 0.0


class RetryBudget:
    """What first attempts of the last seconds allow in retries.

    When a failure domain fails, every request there wants a retry at once. Symptom:
    the retries alone keep the rest overloaded. A share of recent first attempts bounds
    retries to that share of the load whatever fails, and the window's end forgets an
    earlier, larger load. The floor lets a host with little load retry at all.
    """

    def __init__(
        self,
        share: float = RETRY_BUDGET_SHARE,
        floor: float = RETRY_BUDGET_FLOOR,
        window_seconds: int = RETRY_BUDGET_WINDOW_SECONDS,
    ) -> None:
        self._share = share
        self._floor = floor
        self._window_seconds = window_seconds
        self._seconds: deque[_Second] = deque()

    def compute_balance(self, now: float) -> float:
        """Return how many whole retries may be made at the time now."""
        self._forget(now)
        first_attempts = sum(second.first_attempts for second in self._seconds)
        drawn = sum(second.drawn for second in self._seconds)
        return self._floor + self._share * first_attempts - drawn

    def record_first_attempt(self, now: float) -> None:
        """Let the budget grow by one first attempt's share."""
        self._get_second(now).first_attempts += 1

    def draw(self, cost: float, now: float) -> bool:
        """Return whether a retry of this cost may be made, and take it."""
        if self.compute_balance(now) < cost:
            return False
        self._get_second(now).drawn += cost
        return True

    def _get_second(self, now: float) -> _Second:
        number = int(now)
        if not self._seconds or self._seconds[-1].number != number:
            self._seconds.append(_Second(number))
        return self._seconds[-1]

    def _forget(self, now: float) -> None:
        oldest = int(now) - self._window_seconds
        while self._seconds and self._seconds[0].number <= oldest:
            self._seconds.popleft()
