"""Hold what the head of a request decided."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonward_core import RequestRefusedError
from tarragonward_routes import Account, Route, RoutingTable

__all__ = ["ForwardContext"]


@dataclass(frozen=True)
class ForwardContext:
    """A request's route, account and limit, or its refusal; times are the loop's."""

    received_at: float
    refusal: RequestRefusedError | None = None
    route: Route | None = None
    account: Account | None = None
    service: str = ""
    deadline: float = 0.0
    table: RoutingTable | None = None
