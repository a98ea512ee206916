"""Bound retries to a share of recent first attempts."""

from __future__ import annotations

from .const import RETRY_BUDGET_FLOOR, RETRY_BUDGET_MAX, RETRY_BUDGET_SHARE

__all__ = ["RetryBudget"]


class RetryBudget:
    """A balance that first attempts fill and retries draw on.

    When a failure domain fails, every request there wants a retry at once. Symptom:
    the retries alone keep the rest overloaded. A balance fed by first attempts bounds
    retries to a share of the load whatever fails.
    """

    def __init__(self, share: float = RETRY_BUDGET_SHARE) -> None:
        self._share = share
        self._balance = RETRY_BUDGET_FLOOR

    @property
    def balance(self) -> float:
        """Return how many retries may be made now."""
        return self._balance

    def record_first_attempt(self) -> None:
        """Fill the balance by one first attempt's share."""
        self._balance = min(self._balance + self._share, RETRY_BUDGET_MAX)

    def draw_retry(self) -> bool:
        """Return whether a retry may be made, and take it from the balance."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
