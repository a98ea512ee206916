"""Limit retries to a share of recent first attempts."""

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
    """Retry budget: a share of the first attempts within a sliding window.

    When a failure domain fails, all of its requests are retried at once, and these
    retries alone could keep the remaining targets overloaded. The share bounds the
    extra load whatever fails, and the window discards the credit of an earlier, larger
    load. The floor lets a host with little load retry at all.
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
        """Return the remaining budget in full retries."""
        self._expire(now)
        first_attempts = sum(bucket.first_attempts for bucket in self._buckets)
        spent = sum(bucket.spent for bucket in self._buckets)
        return self._floor + self._share * first_attempts - spent

    def record_first_attempt(self, now: float) -> None:
        """Add one first attempt's share to the budget."""
        self._get_bucket(now).first_attempts += 1

    def try_spend(self, cost: float, now: float) -> bool:
        """Spend the cost of a retry if the budget allows it; return whether it did."""
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
        window_start = int(now) - self._window_seconds
        while self._buckets and self._buckets[0].number <= window_start:
            self._buckets.popleft()
