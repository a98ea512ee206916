"""Hold what the tasks of one forwarding host share."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tarragonward_core import Metrics
from tarragonward_membership import TargetRegistry
from tarragonward_routes import RoutingTable

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
    table_confirmed_at: float = float("-inf")
    random: random.Random = field(default_factory=random.Random)
    is_draining: bool = False
    is_admitting: bool = True

    def put_in_force(self, table: RoutingTable) -> bool:
        """Put a table in force unless a newer one is; return whether it was."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True
