"""Limit the retries that all hosts together send to a service, without shared state."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from tarragonward_core import invariants

from . import const as c

__all__ = ["RetryBudgetBounds", "SharedRetryBudget"]


@dataclass(frozen=True)
class RetryBudgetBounds:
    """Fleet-wide limit: share * requests + slack retries in any window."""

    share: float
    slack: float
    window_seconds: float


@dataclass
class _Usage:
    """Request counts by time bucket, as (bucket, count), and the times of retries."""

    buckets: deque[tuple[int, int]] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class SharedRetryBudget:
    """One host's part of the limit: a share of its own requests and of the slack.

    The parts of all hosts add up to at most the limit, so no host has to know what the
    others send. An incarnation uses a share of the host's part of the slack, and a
    smaller one during its first window. It does not know what earlier incarnations
    sent, but even after two restarts within one window they stay within the part
    together. Requests are counted in the window that ends now and reduced by a safety
    factor, as the limit applies to any window around them.
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
        """Return whether one more retry may be sent.

        hosts is the number of hosts that share the slack; it must not be too low. Part
        of the slack is reserved for urgent retries, of answers that broke off midway.
        """
        return self._count_retries(service, now) + 1.0 <= self._compute_limit(
            service, hosts, now, is_urgent
        )

    def count_remaining(self, hosts: int, now: float) -> int:
        """Return the non-urgent retries left for the service with the fewest left."""
        return min(
            (
                int(self._compute_limit(service, hosts, now, is_urgent=False))
                - self._count_retries(service, now)
                for service in self._usages
            ),
            default=0,
        )

    def record_retry(self, service: str, hosts: int, now: float) -> None:
        """Count a retry that is about to be sent."""
        self._get_usage(service).retries.append(now)
        limit = self._compute_limit(service, hosts, now, is_urgent=True)
        invariants.check(
            self._count_retries(service, now) <= limit, "repeats_within_budget"
        )

    def refund_retry(self, service: str, recorded_at: float) -> None:
        """Refund a retry of which no byte was sent.

        During a network partition many connections fail. If these counted, the budget
        would be spent, and answers that broke off could not be retried.
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
        first_bucket = (now - self.bounds.window_seconds) / self._bucket_seconds
        buckets = self._get_usage(service).buckets
        while buckets and buckets[0][0] < first_bucket:
            buckets.popleft()
        return sum(count for _, count in buckets)

    def _count_retries(self, service: str, now: float) -> int:
        # Delivery times vary, so retries sent a window apart may arrive within one
        # window at the target.
        window_start = (
            now - self.bounds.window_seconds - c.BUDGET_ARRIVAL_JITTER_SECONDS
        )
        retries = self._get_usage(service).retries
        while retries and retries[0] < window_start:
            retries.popleft()
        return len(retries)

    def _get_usage(self, service: str) -> _Usage:
        return self._usages.setdefault(service, _Usage())
