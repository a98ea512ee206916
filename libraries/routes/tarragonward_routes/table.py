"""Define the routing table and look up routes and client accounts."""

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
MARK_RESUMABLE = "resumable"


class RequestKind(Enum):
    """Whether a request may be run more than once, or is a stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class Share:
    """The weight of a service among those of a route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """The route of a host and path prefix; times in seconds.

    attempts is the maximum number of targets that a request is sent to. Priority 0 is
    the most urgent. aim_seconds is the latency goal for the first event of an answer,
    pause_aim_seconds that for the pauses between its events, 0 for none. Requests stay
    within home_regions; without any they may go to each region. is_resumable is the
    published mark, which has a meaning for streams only: ask may_resume.
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
    home_regions: frozenset[str] = frozenset()

    @property
    def may_run_again(self) -> bool:
        """Return whether a request that may have been run may be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or self.may_resume

    @property
    def may_resume(self) -> bool:
        """Return whether another target may continue an answer that has begun."""
        return self.kind is RequestKind.STREAM and self.is_resumable

    @property
    def ignored_marks(self) -> tuple[str, ...]:
        """Return the published marks that contradict the kind and have no effect."""
        is_ignored = self.is_resumable and not self.may_resume
        return (MARK_RESUMABLE,) if is_ignored else ()

    def choose_service(self, draw: float) -> str:
        """Return the service for a random number, uniform in [0, 1)."""
        remaining = draw * sum(share.weight for share in self.shares)
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True)
class Service:
    """A group of equivalent targets; max_connections is per target, over all hosts.

    A target is cold for about cold_seconds after its start. Meanwhile it tolerates
    cold_requests_per_second of all hosts together, any number where this is 0.0.
    """

    name: str
    max_connections: int
    health_path: str = "/"
    engine: EngineModel | None = None
    cold_seconds: float = 0.0
    cold_requests_per_second: float = 0.0


@dataclass(frozen=True)
class Account:
    """A client account; its priority, if set, overrides that of the route.

    Its requests stay within home_regions, and within those of the route as well;
    without any they may go to each region.
    """

    name: str
    priority: int | None = None
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True)
class CallerLimits:
    """Limits for callers' requests; sizes in bytes, times in seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_seconds: float = 10.0
    idle_seconds: float = 75.0


@dataclass(frozen=True)
class RoutingTable:
    """A published version; lookup cost does not depend on the number of routes."""

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
        """Return the host's route with the longest prefix that matches the path."""
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
        """Return the client account of an API key."""
        return self.accounts_by_key.get(key)


def _index_routes(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(_normalize_host(route.host), {})[route.prefix] = route
    return by_host


def _normalize_host(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return (name if separator and port.isdecimal() else host).lower()
