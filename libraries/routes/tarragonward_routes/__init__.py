"""The routing table: routes, services, client accounts and limits."""

from .engine import EngineModel
from .table import (
    Account,
    CallerLimits,
    RequestKind,
    Route,
    RoutingTable,
    Service,
    Share,
)

__all__ = [
    "Account",
    "CallerLimits",
    "EngineModel",
    "RequestKind",
    "Route",
    "RoutingTable",
    "Service",
    "Share",
]
