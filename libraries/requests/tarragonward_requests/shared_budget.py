"""Bound the repeats that all hosts together send to a service, without shared state."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from tarragonward_core import invariants

from . import const as c

__all__ = ["BudgetBounds", "SharedBudget"]


@dataclass(frozen=True)
class BudgetBounds:
    """What all hosts may send: share x requests + slack in any window."""

    share: float
    slack: float
    window_seconds: float


@dataclass
class _Usage:
    """Requests in short buckets of time, and the times of repeats."""

    buckets: deque[tuple[int, int]] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class SharedBudget:
    """One host's part: the share of its own requests, and its part of the slack.

    Parts add up to no more than the whole, so no host needs to know what others sent.
    Of its part of the slack a life of a host uses three quarters, and an eighth while
    it is younger than a window: with the earlier life's use two restarts in one window
    stay within the part. Requests count in the window that ends now, a little less of
    them than there were; the bound's own windows lie around them.
    """

    def __init__(self, bounds: BudgetBounds, now: float) -> None:
        self.bounds = bounds
        self._started_at = now
        self._bucket_seconds = bounds.window_seconds / c.BUDGET_BUCKETS
        self._usages: dict[str, _Usage] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request to a service."""
        number = int(now / self._bucket_seconds)
        buckets = self._get(service).buckets
        if buckets and buckets[-1][0] == number:
            buckets[-1] = (number, buckets[-1][1] + 1)
        else:
            buckets.append((number, 1))

    def has_room(self, service: str, hosts: int, now: float, is_urgent: bool) -> bool:
        """Return whether one more repeat may be sent.

        hosts is how many share the slack, never told too low. A part of the slack is
        kept for urgent repeats: an answer that broke off in its middle.
        """
        return self._count(service, now) + 1.0 <= self._compute_limit(
            service, hosts, now, is_urgent
        )

    def count_left(self, hosts: int, now: float) -> int:
        """Return how many ordinary repeats fit now, by the service with least room."""
        return min(
            (
                int(self._compute_limit(service, hosts, now, is_urgent=False))
                - self._count(service, now)
                for service in self._usages
            ),
            default=0,
        )

    def record_repeat(self, service: str, hosts: int, now: float) -> None:
        """Count a repeat that is about to be sent."""
        self._get(service).repeats.append(now)
        limit = self._compute_limit(service, hosts, now, is_urgent=True)
        invariants.check(self._count(service, now) <= limit, "repeats_within_budget")

    def return_repeat(self, service: str, recorded_at: float) -> None:
        """Take back a repeat of which no byte was sent: it arrives nowhere.

        Behind a cut one request after the other finds no connection. Symptom of
        counting these: the part is spent, and answers that broke off go unrepeated.
        """
        repeats = self._get(service).repeats
        if recorded_at in repeats:
            repeats.remove(recorded_at)

    def _compute_limit(
        self, service: str, hosts: int, now: float, is_urgent: bool
    ) -> float:
        bounds = self.bounds
        is_young = now - self._started_at < bounds.window_seconds
        part = c.BUDGET_YOUNG_PART if is_young else c.BUDGET_PART
        slack = bounds.slack * part / max(1, hosts)
        if not is_urgent:
            slack *= c.BUDGET_ORDINARY_PART
        requests = self._count_requests(service, now)
        return c.BUDGET_MARGIN * (bounds.share * requests + slack)

    def _count_requests(self, service: str, now: float) -> int:
        oldest = (now - self.bounds.window_seconds) / self._bucket_seconds
        buckets = self._get(service).buckets
        while buckets and buckets[0][0] < oldest:
            buckets.popleft()
        return sum(count for _, count in buckets)

    def _count(self, service: str, now: float) -> int:
        # Repeats arrive later than they are sent, one more so than another: two that
        # were sent a window apart may arrive in one.
        oldest = now - self.bounds.window_seconds - c.BUDGET_ARRIVAL_SECONDS
        repeats = self._get(service).repeats
        while repeats and repeats[0] < oldest:
            repeats.popleft()
        return len(repeats)

    def _get(self, service: str) -> _Usage:
        return self._usages.setdefault(service, _Usage())
