"""State that the tasks of one gateway host share."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonward_core import Metrics
from tarragonward_membership import TargetRegistry
from tarragonward_requests import (
    EventNumberings,
    EventSequence,
    RetryBudgetBounds,
    SharedRetryBudget,
)
from tarragonward_routes import RoutingTable
from tarragonward_wire import BodyBudget

from . import const as c
from .clock import read_clock
from .ports import HeaderNames, Paths
from .settings import GatewaySettings

__all__ = ["GatewayState"]


@dataclass
class GatewayState:
    """Settings, routing table, target registry, retry budget and drain state."""

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
    numberings: EventNumberings = field(default_factory=EventNumberings)
    # The bodies of answers that are being read from targets.
    answers: BodyBudget = field(default_factory=lambda: BodyBudget(c.MAX_ANSWERS_BYTES))

    def __post_init__(self) -> None:
        """Create the retry budget from the settings."""
        self.budget = SharedRetryBudget(self._get_budget_bounds(), read_clock())

    def apply_bounds(self) -> None:
        """Apply the retry bounds after the settings have changed."""
        self.budget.bounds = self._get_budget_bounds()

    def _get_budget_bounds(self) -> RetryBudgetBounds:
        bounds = self.settings.bounds
        return RetryBudgetBounds(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window_seconds
        )

    def get_connection_limit(self, service: str) -> int | None:
        """Return this host's connection limit per target of a service, if known."""
        found = self.table.services.get(service) if self.table is not None else None
        if found is None:
            return None
        return max(1, found.max_connections // self.count_sharing_hosts())

    def get_shared_connection_limit(self, service: str) -> int | None:
        """Return the connection limit per target that all hosts share, if known."""
        found = self.table.services.get(service) if self.table is not None else None
        return found.max_connections if found is not None else None

    def record_request(self, service: str) -> None:
        """Credit the retry budget for a request received from a caller."""
        self.budget.record_request(service, read_clock())

    def can_retry(self, service: str, is_urgent: bool) -> bool:
        """Return whether one more retry is within this host's part of the budget."""
        hosts = self.count_sharing_hosts()
        return self.budget.can_retry(service, hosts, read_clock(), is_urgent)

    def record_retry(self, service: str) -> float:
        """Charge the budget for a retry, without awaiting after can_retry().

        Return the time, which refunds a retry that is never sent.
        """
        now = read_clock()
        self.budget.record_retry(service, self.count_sharing_hosts(), now)
        return now

    def build_sequence(self, service: str, last_event_id: int | None) -> EventSequence:
        """Return the events of a stream, from the last one that its caller has."""
        numbering = self.numberings.get(service, read_clock())
        return EventSequence(last_event_id, numbering)

    def record_whole_stream(self, service: str, sequence: EventSequence) -> None:
        """Record how a service numbers the events of its streams."""
        self.numberings.record_whole_stream(service, sequence, read_clock())

    def record_gap(self, service: str, sequence: EventSequence) -> None:
        """Record that an event of a stream appears to be missing."""
        self.metrics.count("event_gaps", service)
        if sequence.has_contradiction:
            self.numberings.forget(service)

    def install_table(self, table: RoutingTable) -> bool:
        """Replace the routing table if the given one is newer; return whether it is."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.has_table.set()
        self.registry.set_services(table.services)
        return True
