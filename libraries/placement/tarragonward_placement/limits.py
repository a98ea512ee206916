"""Share the fleet between client accounts by weight, without shared state."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from . import const as c
from .messages import FleetView, PlacementRequest

__all__ = ["AccountLimits", "share_by_weight"]


def share_by_weight(
    capacity: float, demand: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return each account's share of capacity: weighted max-min fairness.

    Whoever wants less than its weight's part gets what it wants; what is left over
    goes to the others by weight. Units are those of capacity and demand.
    """
    shares: dict[str, float] = {}
    left = capacity
    waiting = sorted(demand, key=lambda name: demand[name] / weights.get(name, 1.0))
    weight_left = sum(weights.get(name, 1.0) for name in waiting)
    for name in waiting:
        weight = weights.get(name, 1.0)
        shares[name] = min(demand[name], left * weight / weight_left)
        left -= shares[name]
        weight_left -= weight
    return shares


@dataclass
class _Account:
    demand: float = 0.0
    observed_at: float = 0.0
    level: float = 0.0
    filled_at: float = 0.0

    def get_demand(self, now: float) -> float:
        """Return the offered tokens per second, over about DEMAND_WINDOW_SECONDS."""
        elapsed = max(now - self.observed_at, 0.0)
        return self.demand * math.exp(-elapsed / c.DEMAND_WINDOW_SECONDS)

    def observe(self, tokens: int, now: float) -> None:
        """Take in that tokens were offered."""
        self.demand = self.get_demand(now) + tokens / c.DEMAND_WINDOW_SECONDS
        self.observed_at = now


class AccountLimits:
    """Limit shorter prompts by tokens per second and long ones by memory held.

    One long prompt is more tokens than a small account's short ones in a minute. In
    one limit it would look like a flood, and its account's short prompts would pay.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    def get_demand(self, now: float) -> dict[str, float]:
        """Return this host's offered tokens per second by account, for the others."""
        demand = {n: a.get_demand(now) for n, a in self._accounts.items()}
        return {name: rate for name, rate in demand.items() if rate >= 1.0}

    def check_memory(
        self,
        request: PlacementRequest,
        held: Mapping[str, float],
        memory_tokens: float,
        fleet: FleetView,
    ) -> bool:
        """Return whether a long prompt's account keeps to its share of the memory.

        held are the KV tokens of long prompts in flight through this host; the other
        hosts' are not known, so each keeps to an even part. One prompt is always
        allowed: an account that holds nothing is never over its share.
        """
        mine = held.get(request.account, 0.0)
        if not mine:
            return True
        wanted = {**held, request.account: mine + request.kv_tokens}
        part = memory_tokens / max(fleet.live_hosts, 1)
        shares = share_by_weight(part, wanted, fleet.weights)
        return wanted[request.account] <= shares[request.account]

    def check(
        self,
        request: PlacementRequest,
        capacity: float,
        fleet: FleetView,
        now: float,
        cached_tokens: int = 0,
    ) -> float | None:
        """Return None to go on, or the seconds after which to come back.

        What is cached costs nothing, and a prefix that is cached is not charged.
        capacity is the tokens per second of the engines for shorter prompts. The
        limit binds only while the whole demand is beyond CAPACITY_SHARE of it.
        """
        account = self._accounts.setdefault(request.account, _Account())
        cost = max(request.kv_tokens - cached_tokens, 1)
        account.observe(cost, now)
        allowed = self._compute_rate(request.account, capacity, fleet, now)
        elapsed = min(max(now - account.filled_at, 0.0), c.BURST_SECONDS)
        account.filled_at = now
        if allowed is None:
            account.level = 0.0
            return None
        burst = allowed * c.BURST_SECONDS
        account.level = min(burst, account.level + allowed * elapsed)
        floor = _get_floor(request.priority, burst)
        if account.level >= floor:
            # A prompt longer than the burst makes a debt: else it never gets through.
            account.level -= cost
            return None
        return (floor - account.level) / max(allowed, 1.0)

    def _compute_rate(
        self, name: str, capacity: float, fleet: FleetView, now: float
    ) -> float | None:
        usable = capacity * c.CAPACITY_SHARE
        own = {n: a.get_demand(now) for n, a in self._accounts.items()}
        if fleet.other_demand is None:
            # Cut off from the others: each host keeps to an even part of the fleet.
            usable /= max(fleet.live_hosts, 1)
            demand = own
        else:
            names = own.keys() | fleet.other_demand.keys()
            others = fleet.other_demand
            demand = {n: own.get(n, 0.0) + others.get(n, 0.0) for n in names}
        if sum(demand.values()) <= usable:
            return None
        share = share_by_weight(usable, demand, fleet.weights)[name]
        # An account within its share is not held to its own average: its requests
        # come in bursts, and one in eight would be refused for the others' flood.
        if share >= demand[name]:
            return None
        return share * own[name] / max(demand[name], 1e-9)


def _get_floor(priority: int, burst: float) -> float:
    """Return the level that a request needs: urgent ones may go into debt."""
    if priority < 0:
        return -burst
    return burst / 2 if priority > 0 else 0.0
