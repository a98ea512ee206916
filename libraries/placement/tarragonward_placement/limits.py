"""Divide the fleet's capacity among client accounts by weight, without shared state."""

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
    """Return each account's share of capacity by weighted max-min fairness.

    Accounts that demand less than their share get their demand; the remainder is
    divided among the others by weight. Units are those of capacity and demand.
    """
    shares: dict[str, float] = {}
    remaining = capacity
    by_relative_demand = sorted(
        demand, key=lambda name: demand[name] / weights.get(name, 1.0)
    )
    remaining_weight = sum(weights.get(name, 1.0) for name in by_relative_demand)
    for name in by_relative_demand:
        weight = weights.get(name, 1.0)
        shares[name] = min(demand[name], remaining * weight / remaining_weight)
        remaining -= shares[name]
        remaining_weight -= weight
    return shares


@dataclass
class _Account:
    demand: float = 0.0
    observed_at: float = 0.0
    level: float = 0.0
    filled_at: float = 0.0

    def get_demand(self, now: float) -> float:
        """Return the offered tokens per second, averaged over DEMAND_WINDOW_SECONDS."""
        elapsed = max(now - self.observed_at, 0.0)
        return self.demand * math.exp(-elapsed / c.DEMAND_WINDOW_SECONDS)

    def observe(self, tokens: int, now: float) -> None:
        """Record offered tokens."""
        self.demand = self.get_demand(now) + tokens / c.DEMAND_WINDOW_SECONDS
        self.observed_at = now


class AccountLimits:
    """Limits short prompts by tokens per second, and long ones by the memory they hold.

    One long prompt has more tokens than a small account's short prompts of a minute.
    Under a common limit it would look like a flood and block its account's short
    prompts.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    def get_demand(self, now: float) -> dict[str, float]:
        """Return the tokens per second offered here by account, for other hosts."""
        demand = {n: a.get_demand(now) for n, a in self._accounts.items()}
        return {name: rate for name, rate in demand.items() if rate >= 1.0}

    def check_memory(
        self,
        request: PlacementRequest,
        held: Mapping[str, float],
        memory_tokens: float,
        fleet: FleetView,
    ) -> bool:
        """Return whether a long prompt keeps its account within its memory share.

        held are the KV cache tokens of long prompts in flight through this host. Those
        of other hosts are unknown, so each host uses an even part of the memory. An
        account that holds nothing may always place one prompt.
        """
        own_held = held.get(request.account, 0.0)
        if not own_held:
            return True
        requested = {**held, request.account: own_held + request.kv_tokens}
        host_memory = memory_tokens / max(fleet.live_hosts, 1)
        shares = share_by_weight(host_memory, requested, fleet.weights)
        return requested[request.account] <= shares[request.account]

    def check(
        self,
        request: PlacementRequest,
        capacity: float,
        fleet: FleetView,
        now: float,
        cached_tokens: int = 0,
    ) -> float | None:
        """Return None to admit a request, or the seconds after which to retry.

        Cached prefix tokens are not charged. capacity is the tokens per second that the
        engines have for short prompts. The limit applies only while the total demand
        exceeds CAPACITY_SHARE of it.
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
            # A prompt longer than the burst overdraws the budget; otherwise it would
            # never be admitted.
            account.level -= cost
            return None
        return (floor - account.level) / max(allowed, 1.0)

    def _compute_rate(
        self, name: str, capacity: float, fleet: FleetView, now: float
    ) -> float | None:
        usable = capacity * c.CAPACITY_SHARE
        own = {n: a.get_demand(now) for n, a in self._accounts.items()}
        if fleet.other_demand is None:
            # Without contact to other hosts, each host keeps to an even part of the
            # fleet.
            usable /= max(fleet.live_hosts, 1)
            demand = own
        else:
            names = own.keys() | fleet.other_demand.keys()
            others = fleet.other_demand
            demand = {n: own.get(n, 0.0) + others.get(n, 0.0) for n in names}
        if sum(demand.values()) <= usable:
            return None
        share = share_by_weight(usable, demand, fleet.weights)[name]
        # An account within its share is not limited to its own average: requests come
        # in bursts, and one in eight would be refused because of other accounts'
        # floods.
        if share >= demand[name]:
            return None
        return share * own[name] / max(demand[name], 1e-9)


def _get_floor(priority: int, burst: float) -> float:
    """Return the budget level that a request needs; urgent requests may overdraw it."""
    if priority < 0:
        return -burst
    return burst / 2 if priority > 0 else 0.0
