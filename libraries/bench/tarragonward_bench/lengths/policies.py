"""Name the policies that are measured: the two usual ones, and ours with parts off."""

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

__all__ = ["ABLATIONS", "LEAST", "OURS", "POLICIES", "ROUND_ROBIN", "HostPolicy"]

ROUND_ROBIN = "round_robin"
LEAST = "least_in_flight"
OURS = "tarragonward"
GROUP_FILL = 0.95


class HostPolicy(Protocol):
    """What one host decides with."""

    def place(
        self,
        request: PlacementRequest,
        engines: Iterable[EngineView],
        now: float,
        fleet: FleetView | None = None,
    ) -> Placed | Refused:
        """Return where the prompt goes."""

    def note_first_token(self, request_id: str, now: float) -> None:
        """Hear of a first token."""

    def note_finished(self, request_id: str, tokens: int, now: float) -> None:
        """Hear of a whole answer."""

    def release(self, request_id: str) -> None:
        """Hear that a prompt has left its engines."""


class _Usual:
    """A policy that orders the engines; a long prompt takes the first few of them."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.counts: Counter[str] = Counter()
        self._placed: dict[str, tuple[str, ...]] = {}

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
        need, size = request.kv_tokens, views[0].kv_tokens
        count = 1 if need <= size else -(-need // int(size * GROUP_FILL))
        chosen = tuple(view.name for view in views[:count])
        part = -(-need // count)
        parts = [part] * (count - 1) + [need - part * (count - 1)]
        self._placed[request.request_id] = chosen
        self.counts.update(chosen)
        return Placed(chosen, 0.0, parts=tuple(parts))

    def note_first_token(self, request_id: str, now: float) -> None:
        """Learn nothing."""

    def note_finished(self, request_id: str, tokens: int, now: float) -> None:
        """Learn nothing."""

    def release(self, request_id: str) -> None:
        self.counts.subtract(self._placed.pop(request_id, ()))


class RoundRobin(_Usual):
    """Each request to the next engine."""

    _next: int | None = None

    def order(self, views: list[EngineView]) -> list[EngineView]:
        """Return the engines from the next one on."""
        if self._next is None:
            self._next = self.random.randrange(len(views))
        self._next = (self._next + 1) % len(views)
        return views[self._next :] + views[: self._next]


class LeastInFlight(_Usual):
    """Each request to the engine with the fewest of this host's requests."""

    def order(self, views: list[EngineView]) -> list[EngineView]:
        """Return the engines by requests in flight, ties by chance."""
        return sorted(
            views, key=lambda view: (self.counts[view.name], self.random.random())
        )


FULL = PlacementPolicy()
ABLATIONS = {
    "no_prediction": replace(FULL, uses_prediction=False),
    "no_sampling": replace(FULL, uses_sampling=False),
    "no_lane": replace(FULL, uses_long_pool=False),
    "no_chunks": replace(FULL, uses_chunks=False),
    "no_affinity": replace(FULL, uses_affinity=False),
    "no_admission": replace(FULL, uses_admission=False),
    "no_limits": replace(FULL, uses_limits=False),
}


def _make_ours(policy: PlacementPolicy) -> Callable[[Random], HostPolicy]:
    return lambda random: Placement(random, policy)


POLICIES: dict[str, Callable[[Random], HostPolicy]] = {
    ROUND_ROBIN: RoundRobin,
    LEAST: LeastInFlight,
    OURS: _make_ours(FULL),
    **{name: _make_ours(policy) for name, policy in ABLATIONS.items()},
}
