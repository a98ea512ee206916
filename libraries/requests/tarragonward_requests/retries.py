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
class _Bucket:
    number: int
    first_attempts: int = 0
    spent: float = 0.0


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
        self._buckets: deque[_Bucket] = deque()

    def compute_balance(self, now: float) -> float:
        """Return how many whole retries may be made at the time now."""
        self._expire(now)
        first_attempts = sum(second.first_attempts for second in self._buckets)
        spent = sum(second.spent for second in self._buckets)
        return self._floor + self._share * first_attempts - spent

    def record_first_attempt(self, now: float) -> None:
        """Let the budget grow by one first attempt's share."""
        self._get_bucket(now).first_attempts += 1

    def try_spend(self, cost: float, now: float) -> bool:
        """Return whether a retry of this cost may be made, and take it."""
        if self.compute_balance(now) < cost:
            return False
        self._get_bucket(now).spent += cost
        return True

    def _get_bucket(self, now: float) -> _Bucket:
        number = int(now)
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]

    def _expire(self, now: float) -> None:
        oldest = int(now) - self._window_seconds
        while self._buckets and self._buckets[0].number <= oldest:
            self._buckets.popleft()
