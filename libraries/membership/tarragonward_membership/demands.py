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

__all__ = ["REST_ACCOUNT", "DemandDigest"]

REST_ACCOUNT = ""
ENTRY = struct.Struct(">IB")
DOMAIN_MARK = "@"


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
        self._names: dict[int, str] = {hash_name(REST_ACCOUNT): REST_ACCOUNT}

    def set_accounts(self, names: Iterable[str]) -> None:
        """Say which client accounts are published."""
        self._names = {hash_name(name): name for name in (*names, REST_ACCOUNT)}

    def set_own(self, rates: Mapping[str, float], now: float) -> None:
        """Set this host's own demand in tokens a second by client account."""
        hashed = {hash_name(name): rate for name, rate in rates.items() if rate > 0}
        self._held[self._own] = _Held(_Demand(_cut(hashed), now))

    def get_demand(
        self, live: Collection[Address], live_domains: Collection[str], now: float
    ) -> dict[str, float]:
        """Return the sum over other live hosts and domains, REST_ACCOUNT with it."""
        wanted = {str(address) for address in live}
        wanted |= {DOMAIN_MARK + domain for domain in live_domains}
        wanted -= {self._own, self._failure_domain}
        total = self._sum(wanted, now)
        return {self._names[k]: rate for k, rate in total.items() if k in self._names}

    def take(self, max_bytes: int, is_near: bool, now: float) -> tuple[Any, ...]:
        """Return packed demands for one message to the own or another domain."""
        if not is_near:
            near = {key for key in self._held if not key.startswith(DOMAIN_MARK)}
            total = _Demand(_cut(self._sum(near, now)), now)
            return (_pack(self._failure_domain, total, now),) if total.rates else ()
        chosen: list[tuple[Any, ...]] = []
        for key, held in sorted(self._held.items(), key=lambda item: item[1].sent):
            is_old = now - held.demand.measured_at > c.MAX_DEMAND_AGE_SECONDS
            if is_old or held.sent >= c.DEMAND_TRANSMISSIONS:
                continue
            item = _pack(key, held.demand, now)
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


def _cut(rates: Mapping[int, float]) -> dict[int, float]:
    """Return the largest rates, and the sum of the others under the rest's hash."""
    rest = hash_name(REST_ACCOUNT)
    largest = sorted(rates.items(), key=lambda item: -item[1])
    kept = {k: rate for k, rate in largest if k != rest}
    kept = dict(list(kept.items())[: c.MAX_DEMAND_ACCOUNTS])
    others = sum(rates.values()) - sum(kept.values())
    return {**kept, rest: others} if others > 0 else kept


def _pack(key: str, demand: _Demand, now: float) -> tuple[Any, ...]:
    age = math.ceil((now - demand.measured_at) / c.AGE_STEP_SECONDS)
    rates = (ENTRY.pack(k, quantise(rate)) for k, rate in demand.rates.items())
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
