"""Hold and gossip the demand of client accounts per host and failure domain."""

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
from .encoding import MAX_STEP, dequantise, hash_name, quantise

__all__ = ["OTHER_ACCOUNTS", "DemandDigest"]

OTHER_ACCOUNTS = ""
ENTRY_STRUCT = struct.Struct(">IB")
DOMAIN_PREFIX = "@"
# Upper bound for msgpack: two array headers, the age, a string and a bytes header.
MSGPACK_OVERHEAD_BYTES = 10


@dataclass(frozen=True)
class _Demand:
    """Demand of a host or a domain, in tokens per second by hashed account name."""

    rates: Mapping[int, float]
    measured_at: float


@dataclass
class _HeldDemand:
    demand: _Demand
    times_sent: int = 0


class DemandDigest:
    """Demand of each host of the own domain, and the total of each other domain.

    The demand of a host lists its largest accounts, and the others as one sum. Of other
    domains only the totals are known, which the bridges compute: 320 hosts times 2,600
    accounts would exceed the memory and traffic limits of a host.
    """

    def __init__(self, own: Address, failure_domain: str) -> None:
        self._own_key = str(own)
        self._failure_domain = DOMAIN_PREFIX + failure_domain
        self._demands: dict[str, _HeldDemand] = {}
        self._own_updated_at = 0.0
        self._names: dict[int, str] = {hash_name(OTHER_ACCOUNTS): OTHER_ACCOUNTS}

    @property
    def known_host_count(self) -> int:
        """Return the number of hosts with known demand, including this one."""
        return sum(not key.startswith(DOMAIN_PREFIX) for key in self._demands)

    def set_accounts(self, names: Iterable[str]) -> None:
        """Set the published client accounts."""
        self._names = {hash_name(name): name for name in (*names, OTHER_ACCOUNTS)}

    def set_own_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Set this host's own demand in tokens per second by client account."""
        hashed = {hash_name(name): rate for name, rate in rates.items() if rate > 0}
        # Called for each request: if every call queued the own demand again, it would
        # be part of every message and leave no space for that of other hosts.
        held = self._demands.get(self._own_key)
        is_new = held is None or now - self._own_updated_at >= c.DEMAND_UPDATE_SECONDS
        self._own_updated_at = now if is_new else self._own_updated_at
        times_sent = 0 if held is None or is_new else held.times_sent
        demand = _Demand(_keep_largest(hashed, c.MAX_DEMAND_ACCOUNTS), now)
        self._demands[self._own_key] = _HeldDemand(demand, times_sent)

    def get_demand(
        self,
        live: Collection[Address],
        live_domains: Collection[str],
        now: float,
        local_host_count: int = 0,
    ) -> dict[str, float]:
        """Return the total demand of other live hosts and domains by account.

        Accounts too small to be listed are summed under OTHER_ACCOUNTS. In a large
        domain the demand of some hosts does not arrive before it expires. Given
        local_host_count, the hosts that share the domain's requests evenly, a host
        without known demand counts with the mean of the others.
        """
        local_keys = {str(address) for address in live} - {self._own_key}
        domain_keys = {DOMAIN_PREFIX + domain for domain in live_domains}
        total = self._sum(local_keys, now)
        known = sum(key in self._demands for key in local_keys)
        scale = max(local_host_count / known, 1.0) if known else 1.0
        total = {key: rate * scale for key, rate in total.items()}
        for key, rate in self._sum(domain_keys - {self._failure_domain}, now).items():
            total[key] = total.get(key, 0.0) + rate
        return {self._names[k]: rate for k, rate in total.items() if k in self._names}

    def encode(self, max_bytes: int, is_local: bool, now: float) -> tuple[Any, ...]:
        """Return the encoded demands for one message to the own or another domain."""
        if not is_local:
            local_keys = {
                key for key in self._demands if not key.startswith(DOMAIN_PREFIX)
            }
            total = _Demand(self._sum(local_keys, now), now)
            item = _pack(self._failure_domain, total, now, max_bytes)
            return (item,) if total.rates else ()
        chosen: list[tuple[Any, ...]] = []
        for key, held in sorted(
            self._demands.items(), key=lambda item: item[1].times_sent
        ):
            is_old = now - held.demand.measured_at > c.MAX_DEMAND_AGE_SECONDS
            if is_old or held.times_sent >= c.DEMAND_TRANSMISSIONS:
                continue
            item = _pack(key, held.demand, now, max_bytes)
            max_bytes -= len(msgpack.packb(item))
            if max_bytes < 0:
                break
            held.times_sent += 1
            chosen.append(item)
        return tuple(chosen)

    def merge(self, items: tuple[Any, ...], now: float) -> None:
        """Merge the demands of a message; raise FrameError if one is malformed."""
        self._remove_expired(now)
        for item in items:
            key, demand = _unpack(item, now)
            if key in (self._own_key, self._failure_domain):
                continue
            held = self._demands.get(key)
            margin = c.AGE_MARGIN_SECONDS
            if held and demand.measured_at <= held.demand.measured_at + margin:
                continue
            if held is None and len(self._demands) >= c.MAX_DEMANDS:
                continue
            self._demands[key] = _HeldDemand(demand)

    def _sum(self, keys: Collection[str], now: float) -> dict[int, float]:
        total: Counter[int] = Counter()
        for key in keys:
            held = self._demands.get(key)
            if held is None:
                continue
            if now - held.demand.measured_at <= c.MAX_DEMAND_AGE_SECONDS:
                total.update(held.demand.rates)
        return total

    def _remove_expired(self, now: float) -> None:
        for key, held in list(self._demands.items()):
            if now - held.demand.measured_at > c.MAX_DEMAND_AGE_SECONDS:
                del self._demands[key]


def _keep_largest(rates: Mapping[int, float], accounts: int) -> dict[int, float]:
    """Return the largest rates, and the sum of the others under OTHER_ACCOUNTS."""
    rest = hash_name(OTHER_ACCOUNTS)
    largest = sorted(rates.items(), key=lambda item: -item[1])
    kept = {k: rate for k, rate in largest if k != rest}
    kept = dict(list(kept.items())[:accounts])
    others = sum(rates.values()) - sum(kept.values())
    return {**kept, rest: others} if others > 0 else kept


def _pack(key: str, demand: _Demand, now: float, max_bytes: int) -> tuple[Any, ...]:
    """Encode a demand with as many accounts as fit, and the sum of the others."""
    age = math.ceil((now - demand.measured_at) / c.AGE_STEP_SECONDS)
    max_entries = (
        max_bytes - len(key) - MSGPACK_OVERHEAD_BYTES
    ) // ENTRY_STRUCT.size - 1
    accounts = min(max(max_entries, 1), c.MAX_DEMAND_ACCOUNTS)
    kept = _keep_largest(demand.rates, accounts)
    rates = (ENTRY_STRUCT.pack(k, quantise(rate)) for k, rate in kept.items())
    return key, max(age, 0), b"".join(rates)


def _unpack(item: Any, now: float) -> tuple[str, _Demand]:
    try:
        key, age, data = item
        if not isinstance(key, str) or not isinstance(data, bytes):
            raise ValueError("key must be a string and rates must be bytes")
        if type(age) is not int or age < 0 or len(data) % ENTRY_STRUCT.size:
            raise ValueError(
                "age must be a non-negative integer and rates must be whole entries"
            )
        rates = {
            k: dequantise(min(n, MAX_STEP)) for k, n in ENTRY_STRUCT.iter_unpack(data)
        }
    except (ValueError, TypeError) as err:
        raise FrameError(f"malformed demand: {err}") from None
    return key, _Demand(rates, now - age * c.AGE_STEP_SECONDS)
