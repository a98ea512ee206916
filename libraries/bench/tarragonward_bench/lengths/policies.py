"""The measured policies: two common baselines, the product's, and its ablations."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random
from typing import Protocol

from tarragonward_core import ResultCode
from tarragonward_placement import (
    EngineView,
    FleetView,
    Placed,
    Placement,
    PlacementPolicy,
    PlacementRequest,
    Refused,
)

__all__ = [
    "ABLATIONS",
    "LEAST",
    "POLICIES",
    "ROUND_ROBIN",
    "TARRAGONWARD",
    "HostPolicy",
]

ROUND_ROBIN = "round_robin"
LEAST = "least_in_flight"
TARRAGONWARD = "tarragonward"
MAX_GROUP_FILL = 0.95


class HostPolicy(Protocol):
    """The placement policy of one host."""

    def place(
        self,
        request: PlacementRequest,
        engines: Iterable[EngineView],
        now: float,
        fleet: FleetView | None = None,
    ) -> Placed | Refused:
        """Return where to place the prompt."""

    def note_first_token(self, request_id: str, now: float) -> None:
        """Handle the first token of an answer."""

    def note_finished(self, request_id: str, tokens: int, now: float) -> None:
        """Handle a complete answer."""

    def release(self, request_id: str) -> None:
        """Remove a prompt that no longer uses its engines."""


class _BaselinePolicy:
    """A policy that orders the engines; a long prompt uses the first few of them."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.counts: Counter[str] = Counter()
        self._engines_by_request: dict[str, tuple[str, ...]] = {}

    def order(self, views: list[EngineView]) -> list[EngineView]:
        raise NotImplementedError

    def place(
        self,
        request: PlacementRequest,
        engines: Iterable[EngineView],
        now: float,
        fleet: FleetView | None = None,
    ) -> Placed | Refused:
        views = list(engines)
        if not views:
            return Refused(ResultCode.NO_TARGET, 1.0)
        views = self.order(views)
        needed_tokens, capacity = request.kv_tokens, views[0].kv_tokens
        count = (
            1
            if needed_tokens <= capacity
            else -(-needed_tokens // int(capacity * MAX_GROUP_FILL))
        )
        engine_names = tuple(view.name for view in views[:count])
        part_tokens = -(-needed_tokens // count)
        parts = [part_tokens] * (count - 1) + [
            needed_tokens - part_tokens * (count - 1)
        ]
        self._engines_by_request[request.request_id] = engine_names
        self.counts.update(engine_names)
        return Placed(engine_names, 0.0, parts=tuple(parts))

    def note_first_token(self, request_id: str, now: float) -> None:
        """Learn nothing."""

    def note_finished(self, request_id: str, tokens: int, now: float) -> None:
        """Learn nothing."""

    def release(self, request_id: str) -> None:
        self.counts.subtract(self._engines_by_request.pop(request_id, ()))


class RoundRobin(_BaselinePolicy):
    """Sends each request to the next engine."""

    _next: int | None = None

    def order(self, views: list[EngineView]) -> list[EngineView]:
        """Return the engines, rotated to start with the next one."""
        if self._next is None:
            self._next = self.random.randrange(len(views))
        self._next = (self._next + 1) % len(views)
        return views[self._next :] + views[: self._next]


class LeastInFlight(_BaselinePolicy):
    """Sends each request to the engine with the fewest requests of this host."""

    def order(self, views: list[EngineView]) -> list[EngineView]:
        """Return the engines by requests in flight, ties in random order."""
        return sorted(
            views, key=lambda view: (self.counts[view.name], self.random.random())
        )


FULL_POLICY = PlacementPolicy()
ABLATIONS = {
    "no_prediction": replace(FULL_POLICY, uses_prediction=False),
    "no_sampling": replace(FULL_POLICY, uses_sampling=False),
    "no_lane": replace(FULL_POLICY, uses_long_pool=False),
    "no_chunks": replace(FULL_POLICY, uses_chunks=False),
    "no_affinity": replace(FULL_POLICY, uses_affinity=False),
    "no_admission": replace(FULL_POLICY, uses_admission=False),
    "no_limits": replace(FULL_POLICY, uses_limits=False),
}


def _build_placement(policy: PlacementPolicy) -> Callable[[Random], HostPolicy]:
    return lambda random: Placement(random, policy)


POLICIES: dict[str, Callable[[Random], HostPolicy]] = {
    ROUND_ROBIN: RoundRobin,
    LEAST: LeastInFlight,
    TARRAGONWARD: _build_placement(FULL_POLICY),
    **{name: _build_placement(policy) for name, policy in ABLATIONS.items()},
}
