"""Hold what the tasks of one forwarding host share."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonward_core import Metrics
from tarragonward_membership import TargetRegistry
from tarragonward_requests import RetryBudgetBounds, SharedRetryBudget
from tarragonward_routes import RoutingTable

from .clock import read_clock
from .ports import HeaderNames, Paths
from .settings import GatewaySettings

__all__ = ["GatewayState"]


@dataclass
class GatewayState:
    """The settings, the routing table in force, the targets, and whether it leaves."""

    settings: GatewaySettings
    headers: HeaderNames
    paths: Paths
    metrics: Metrics = field(default_factory=Metrics)
    registry: TargetRegistry = field(default_factory=TargetRegistry)
    table: RoutingTable | None = None
    has_table: asyncio.Event = field(default_factory=asyncio.Event)
    started_at: float = field(default_factory=read_clock)
    table_confirmed_at: float = float("-inf")
    random: random.Random = field(default_factory=random.Random)
    is_draining: bool = False
    is_admitting: bool = True
    count_sharing_hosts: Callable[[], int] = lambda: 1
    budget: SharedRetryBudget = field(init=False)

    def __post_init__(self) -> None:
        """Take the bounds of repeats from the settings."""
        self.budget = SharedRetryBudget(self._get_budget_bounds(), read_clock())

    def apply_bounds(self) -> None:
        """Take over the bounds of changed settings."""
        self.budget.bounds = self._get_budget_bounds()

    def _get_budget_bounds(self) -> RetryBudgetBounds:
        bounds = self.settings.bounds
        return RetryBudgetBounds(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window_seconds
        )

    def get_connection_limit(self, service: str) -> int | None:
        """Return how many connections this host may have to a target of a service."""
        found = self.table.services.get(service) if self.table is not None else None
        if found is None:
            return None
        return max(1, found.max_connections // self.count_sharing_hosts())

    def record_request(self, service: str) -> None:
        """Let the budget of repeats grow by a caller's request."""
        self.budget.record_request(service, read_clock())

    def may_repeat(self, service: str, is_urgent: bool) -> bool:
        """Return whether one more repeat is within this host's part of the budget."""
        hosts = self.count_sharing_hosts()
        return self.budget.can_retry(service, hosts, read_clock(), is_urgent)

    def record_repeat(self, service: str) -> float:
        """Count a repeat that was decided on; nothing may come in between.

        Return when that was, for a repeat that is never sent.
        """
        now = read_clock()
        self.budget.record_retry(service, self.count_sharing_hosts(), now)
        return now

    def install_table(self, table: RoutingTable) -> bool:
        """Put a table in force unless a newer one is; return whether it was."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.has_table.set()
        self.registry.set_services(table.services)
        return True
