"""Bound the repeats that all hosts together send to a service, without shared state."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from tarragonward_core import invariants

from . import const as c

__all__ = ["RetryBudgetBounds", "SharedRetryBudget"]


@dataclass(frozen=True)
class RetryBudgetBounds:
    """What all hosts may send: share x requests + slack in any window."""

    share: float
    slack: float
    window_seconds: float


@dataclass
class _Usage:
    """Requests in short buckets of time, and the times of repeats."""

    buckets: deque[tuple[int, int]] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class SharedRetryBudget:
    """One host's part: the share of its own requests, and its part of the slack.

    Parts add up to no more than the whole, so no host needs to know what others sent.
    Of its part of the slack a life of a host uses three quarters, and an eighth while
    it is younger than a window: with the earlier life's use two restarts in one window
    stay within the part. Requests count in the window that ends now, a little less of
    them than there were; the bound's own windows lie around them.
    """

    def __init__(self, bounds: RetryBudgetBounds, now: float) -> None:
        self.bounds = bounds
        self._started_at = now
        self._bucket_seconds = bounds.window_seconds / c.BUDGET_BUCKETS_PER_WINDOW
        self._usages: dict[str, _Usage] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request to a service."""
        number = int(now / self._bucket_seconds)
        buckets = self._get_usage(service).buckets
        if buckets and buckets[-1][0] == number:
            buckets[-1] = (number, buckets[-1][1] + 1)
        else:
            buckets.append((number, 1))

    def can_retry(self, service: str, hosts: int, now: float, is_urgent: bool) -> bool:
        """Return whether one more repeat may be sent.

        hosts is how many share the slack, never told too low. A part of the slack is
        kept for urgent repeats: an answer that broke off in its middle.
        """
        return self._count_retries(service, now) + 1.0 <= self._compute_limit(
            service, hosts, now, is_urgent
        )

    def count_remaining(self, hosts: int, now: float) -> int:
        """Return how many ordinary repeats fit now, by the service with least room."""
        return min(
            (
                int(self._compute_limit(service, hosts, now, is_urgent=False))
                - self._count_retries(service, now)
                for service in self._usages
            ),
            default=0,
        )

    def record_retry(self, service: str, hosts: int, now: float) -> None:
        """Count a repeat that is about to be sent."""
        self._get_usage(service).retries.append(now)
        limit = self._compute_limit(service, hosts, now, is_urgent=True)
        invariants.check(
            self._count_retries(service, now) <= limit, "repeats_within_budget"
        )

    def refund_retry(self, service: str, recorded_at: float) -> None:
        """Take back a repeat of which no byte was sent: it arrives nowhere.

        Behind a cut one request after the other finds no connection. Symptom of
        counting these: the part is spent, and answers that broke off go unrepeated.
        """
        retries = self._get_usage(service).retries
        if recorded_at in retries:
            retries.remove(recorded_at)

    def _compute_limit(
        self, service: str, hosts: int, now: float, is_urgent: bool
    ) -> float:
        bounds = self.bounds
        is_first_window = now - self._started_at < bounds.window_seconds
        slack_share = (
            c.BUDGET_FIRST_WINDOW_SLACK_SHARE
            if is_first_window
            else c.BUDGET_SLACK_SHARE
        )
        slack = bounds.slack * slack_share / max(1, hosts)
        if not is_urgent:
            slack *= c.BUDGET_ORDINARY_SLACK_SHARE
        requests = self._count_requests(service, now)
        return c.BUDGET_SAFETY_FACTOR * (bounds.share * requests + slack)

    def _count_requests(self, service: str, now: float) -> int:
        oldest = (now - self.bounds.window_seconds) / self._bucket_seconds
        buckets = self._get_usage(service).buckets
        while buckets and buckets[0][0] < oldest:
            buckets.popleft()
        return sum(count for _, count in buckets)

    def _count_retries(self, service: str, now: float) -> int:
        # Repeats arrive later than they are sent, one more so than another: two that
        # were sent a window apart may arrive in one.
        oldest = now - self.bounds.window_seconds - c.BUDGET_ARRIVAL_JITTER_SECONDS
        retries = self._get_usage(service).retries
        while retries and retries[0] < oldest:
            retries.popleft()
        return len(retries)

    def _get_usage(self, service: str) -> _Usage:
        return self._usages.setdefault(service, _Usage())
