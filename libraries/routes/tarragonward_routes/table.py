"""Choose the route, the service and the client account of a request."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from .engine import EngineModel

__all__ = [
    "Account",
    "CallerLimits",
    "RequestKind",
    "Route",
    "RoutingTable",
    "Service",
    "Share",
]

SEPARATOR = "/"


class RequestKind(Enum):
    """What may be done twice."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class Share:
    """A service's part of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests of a host and path go, and how; times in seconds.

    attempts is the most targets that one request may be sent to. A priority of 0 is
    the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    attempts: int = 1
    timeout_seconds: float = 30.0
    aim_seconds: float = 1.0
    priority: int = 0
    is_public: bool = False
    is_resumable: bool = False
    pause_aim_seconds: float = 0.0

    @property
    def may_run_again(self) -> bool:
        """Return whether a request that may have run may be sent once more."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable

    def choose_service(self, draw: float) -> str:
        """Return the service for a number drawn evenly from 0 up to 1."""
        rest = draw * sum(share.weight for share in self.shares)
        for share in self.shares:
            rest -= share.weight
            if rest < 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True)
class Service:
    """A group of like targets; max_connections bounds each target's, from all hosts."""

    name: str
    max_connections: int
    health_path: str = "/"
    engine: EngineModel | None = None


@dataclass(frozen=True)
class Account:
    """A client account; its priority, where it has one, goes before the route's."""

    name: str
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take; bytes and seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_seconds: float = 10.0
    idle_seconds: float = 75.0


@dataclass(frozen=True)
class RoutingTable:
    """One published version; a lookup costs the same however many routes there are."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    accounts_by_key: Mapping[str, Account] = field(default_factory=dict)
    needs_key: bool = False
    _by_host: Mapping[str, Mapping[str, Route]] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        object.__setattr__(self, "_by_host", _index_routes(self.routes))

    def select_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix that begins path."""
        routes = self._by_host.get(_normalize_host(host))
        end = len(path) if routes else 0
        while end > 0:
            end = path.rfind(SEPARATOR, 0, end) + 1
            route = routes.get(path[:end]) if routes and end else None
            if route is not None:
                return route
            end -= 1
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the client account that holds the key."""
        return self.accounts_by_key.get(key)


def _index_routes(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(_normalize_host(route.host), {})[route.prefix] = route
    return by_host


def _normalize_host(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return (name if separator and port.isdecimal() else host).lower()
