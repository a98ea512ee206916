"""Hold what was decided from the head of a request."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonward_core import RequestRefusedError
from tarragonward_routes import Account, Route, RoutingTable

__all__ = ["ForwardContext"]


@dataclass(frozen=True)
class ForwardContext:
    """The route, account and deadline of a request, or the reason for refusing it.

    Times are on the event loop's clock.
    """

    received_at: float
    refusal: RequestRefusedError | None = None
    route: Route | None = None
    account: Account | None = None
    service: str = ""
    deadline: float = 0.0
    table: RoutingTable | None = None
