"""Keep and pass on what client accounts ask of each host, and of each domain."""

from __future__ import annotations

import math
import struct
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import msgpack

from tarragonward_core import Address, FrameError

from . import const as c
from .scales import MAX_STEP, expand, hash_name, quantise

__all__ = ["OTHER_ACCOUNTS", "DemandDigest"]

OTHER_ACCOUNTS = ""
ENTRY = struct.Struct(">IB")
DOMAIN_MARK = "@"
# What msgpack adds: two arrays, the age, the heads of a string and of bytes.
HEAD_BYTES = 10


@dataclass(frozen=True)
class _Demand:
    """Tokens a second by the hash of an account's name; of a host or a domain."""

    rates: Mapping[int, float]
    measured_at: float


@dataclass
class _Held:
    demand: _Demand
    sent: int = 0


class DemandDigest:
    """Demand of each host of the own domain, and of each other domain in sum.

    One host's demand holds its largest accounts and the rest in one sum. Other
    domains are known by their sum only, which the bridges make: 320 hosts times
    2,600 accounts would fit neither the memory nor the bytes of one host.
    """

    def __init__(self, own: Address, failure_domain: str) -> None:
        self._own = str(own)
        self._failure_domain = DOMAIN_MARK + failure_domain
        self._held: dict[str, _Held] = {}
        self._own_new_at = 0.0
        self._names: dict[int, str] = {hash_name(OTHER_ACCOUNTS): OTHER_ACCOUNTS}

    @property
    def known_hosts(self) -> int:
        """Return of how many hosts the demand is held, this one with them."""
        return sum(not key.startswith(DOMAIN_MARK) for key in self._held)

    def set_accounts(self, names: Iterable[str]) -> None:
        """Say which client accounts are published."""
        self._names = {hash_name(name): name for name in (*names, OTHER_ACCOUNTS)}

    def set_own_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Set this host's own demand in tokens a second by client account."""
        hashed = {hash_name(name): rate for name, rate in rates.items() if rate > 0}
        # Set at each request, it would be new in each message and leave no room for
        # the demand of others. It counts as new once a second.
        held = self._held.get(self._own)
        is_new = held is None or now - self._own_new_at >= c.DEMAND_NEW_SECONDS
        self._own_new_at = now if is_new else self._own_new_at
        sent = 0 if held is None or is_new else held.sent
        demand = _Demand(_cut(hashed, c.MAX_DEMAND_ACCOUNTS), now)
        self._held[self._own] = _Held(demand, sent)

    def get_demand(
        self,
        live: Collection[Address],
        live_domains: Collection[str],
        now: float,
        near_hosts: int = 0,
    ) -> dict[str, float]:
        """Return the sum over other live hosts and domains, OTHER_ACCOUNTS with it.

        In a large domain not every host's demand arrives before it is too old. With
        near_hosts, the number of hosts that share the domain's requests evenly, those
        not heard of count as the mean of the others.
        """
        near = {str(address) for address in live} - {self._own}
        far = {DOMAIN_MARK + domain for domain in live_domains}
        total = self._sum(near, now)
        known = sum(key in self._held for key in near)
        scale = max(near_hosts / known, 1.0) if known else 1.0
        total = {key: rate * scale for key, rate in total.items()}
        for key, rate in self._sum(far - {self._failure_domain}, now).items():
            total[key] = total.get(key, 0.0) + rate
        return {self._names[k]: rate for k, rate in total.items() if k in self._names}

    def take(self, max_bytes: int, is_near: bool, now: float) -> tuple[Any, ...]:
        """Return packed demands for one message to the own or another domain."""
        if not is_near:
            near = {key for key in self._held if not key.startswith(DOMAIN_MARK)}
            total = _Demand(self._sum(near, now), now)
            item = _pack(self._failure_domain, total, now, max_bytes)
            return (item,) if total.rates else ()
        chosen: list[tuple[Any, ...]] = []
        for key, held in sorted(self._held.items(), key=lambda item: item[1].sent):
            is_old = now - held.demand.measured_at > c.MAX_DEMAND_AGE_SECONDS
            if is_old or held.sent >= c.DEMAND_TRANSMISSIONS:
                continue
            item = _pack(key, held.demand, now, max_bytes)
            max_bytes -= len(msgpack.packb(item))
            if max_bytes < 0:
                break
            held.sent += 1
            chosen.append(item)
        return tuple(chosen)

    def merge(self, items: tuple[Any, ...], now: float) -> None:
        """Take over what a message tells; raise FrameError where it is none."""
        self._forget_old(now)
        for item in items:
            key, demand = _unpack(item, now)
            if key in (self._own, self._failure_domain):
                continue
            held = self._held.get(key)
            margin = c.AGE_MARGIN_SECONDS
            if held and demand.measured_at <= held.demand.measured_at + margin:
                continue
            if held is None and len(self._held) >= c.MAX_DEMANDS:
                continue
            self._held[key] = _Held(demand)

    def _sum(self, keys: Collection[str], now: float) -> dict[int, float]:
        total: Counter[int] = Counter()
        for key in keys:
            held = self._held.get(key)
            if held is None:
                continue
            if now - held.demand.measured_at <= c.MAX_DEMAND_AGE_SECONDS:
                total.update(held.demand.rates)
        return total

    def _forget_old(self, now: float) -> None:
        for key, held in list(self._held.items()):
            if now - held.demand.measured_at > c.MAX_DEMAND_AGE_SECONDS:
                del self._held[key]


def _cut(rates: Mapping[int, float], accounts: int) -> dict[int, float]:
    """Return the largest rates, and the sum of the others under the rest's hash."""
    rest = hash_name(OTHER_ACCOUNTS)
    largest = sorted(rates.items(), key=lambda item: -item[1])
    kept = {k: rate for k, rate in largest if k != rest}
    kept = dict(list(kept.items())[:accounts])
    others = sum(rates.values()) - sum(kept.values())
    return {**kept, rest: others} if others > 0 else kept


def _pack(key: str, demand: _Demand, now: float, max_bytes: int) -> tuple[Any, ...]:
    """Return a demand as it travels, with as many accounts as fit, and the rest."""
    age = math.ceil((now - demand.measured_at) / c.AGE_STEP_SECONDS)
    room = (max_bytes - len(key) - HEAD_BYTES) // ENTRY.size - 1
    accounts = min(max(room, 1), c.MAX_DEMAND_ACCOUNTS)
    kept = _cut(demand.rates, accounts)
    rates = (ENTRY.pack(k, quantise(rate)) for k, rate in kept.items())
    return key, max(age, 0), b"".join(rates)


def _unpack(item: Any, now: float) -> tuple[str, _Demand]:
    try:
        key, age, data = item
        if not isinstance(key, str) or not isinstance(data, bytes):
            raise ValueError("a field has another type")
        if type(age) is not int or age < 0 or len(data) % ENTRY.size:
            raise ValueError("a field has another size")
        rates = {k: expand(min(n, MAX_STEP)) for k, n in ENTRY.iter_unpack(data)}
    except (ValueError, TypeError) as err:
        raise FrameError(f"not a demand: {err}") from None
    return key, _Demand(rates, now - age * c.AGE_STEP_SECONDS)
