"""Keep to the rate limits that targets advertise, as one of many hosts."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from typing import Any

from . import const as c

__all__ = ["HostView", "LimitEntry", "TargetLimits", "compute_host_share"]

MILLI = 1_000
RANK_BYTES = 8
MAX_TARGET_NUMBER = 1 << 62
NEVER = float("-inf")


@dataclass(frozen=True)
class HostView:
    """The hosts that a host knows by name, including itself and recently lost ones.

    max_known_hosts is the highest number of hosts that this host knew, or a peer
    reported, recently. Above the real number it leaves a part of a limit unused; below
    it the hosts together could exceed the limit. is_starting: this host started too
    recently to have heard of all others.
    """

    own: str
    known_hosts: frozenset[str]
    max_known_hosts: int
    is_starting: bool = False


@dataclass(frozen=True)
class LimitEntry:
    """A target's rate limit as exchanged between hosts, with the age of the value.

    number identifies the target. A rate of None means that the target advertises no
    limit any more.
    """

    number: int
    rate: float | None
    age_seconds: float

    def pack(self) -> tuple[int, int, int]:
        """Return the entry in its wire format."""
        rate = -1 if self.rate is None else round(self.rate * MILLI)
        return self.number, rate, int(max(0.0, self.age_seconds) * MILLI)

    @classmethod
    def unpack(cls, item: Any) -> LimitEntry:
        """Return the entry that pack() encoded; raise ValueError if it is malformed."""
        number, rate, age = item
        if not all(
            type(n) is int and -1 <= n < MAX_TARGET_NUMBER for n in (number, rate, age)
        ):
            raise ValueError("limit entry needs three integers in range")
        return cls(number, None if rate < 0 else rate / MILLI, max(0, age) / MILLI)


@dataclass
class _Limit:
    """A target's rate, and this host's allowance of it; times in seconds."""

    rate: float | None
    advertised_at: float
    allowance: float
    accrued_at: float
    # This host's share, and the rate and host view that it was computed for.
    share: float = 0.0
    share_inputs: tuple[float, HostView] | None = field(default=None, repr=False)


class TargetLimits:
    """The rate limits that targets advertise, and when this host may send.

    The shares of all hosts add up to at most the rate, and their saved allowances to at
    most the burst that targets accept within a few seconds, as long as they know the
    present rate and no max_known_hosts is too low. Few hosts use a target with a low
    limit: those that come first in a hash of the target and the host. A host assumes
    that the hosts it does not know come before it, as otherwise too many hosts could
    use the target. If the rate were divided among all hosts, then with 195 hosts and
    one request per second none could ever send, or all would at once.
    """

    def __init__(self, rng: random.Random) -> None:
        self._limits: dict[int, _Limit] = {}
        self._random = rng

    def __len__(self) -> int:
        """Return the number of targets that advertise a limit."""
        return sum(limit.rate is not None for limit in self._limits.values())

    def record_advertised(self, number: int, rate: float | None, now: float) -> bool:
        """Record what a target advertised now; return whether its limit changed."""
        return self.apply_entry(LimitEntry(number, rate, 0.0), now)

    def apply_entry(self, entry: LimitEntry, now: float, age: float = 0.0) -> bool:
        """Apply an entry that was sent age seconds ago; return whether it is new."""
        advertised_at = now - age - entry.age_seconds
        limit = self._limits.get(entry.number)
        if limit is None:
            if entry.rate is None or len(self._limits) >= c.MAX_TARGET_LIMITS:
                return False
            # Hosts that learn of a limit at the same time must not all send at once.
            allowance = self._random.random()
            self._limits[entry.number] = _Limit(
                entry.rate, advertised_at, allowance, now
            )
            return True
        if advertised_at <= limit.advertised_at:
            return False
        has_changed = entry.rate != limit.rate
        if limit.rate is None and entry.rate is not None:
            limit.allowance, limit.accrued_at = self._random.random(), now
        limit.rate, limit.advertised_at = entry.rate, advertised_at
        return has_changed

    def is_limited(self, number: int) -> bool:
        """Return whether a target advertises a limit."""
        limit = self._limits.get(number)
        return limit is not None and limit.rate is not None

    def may_send(self, number: int, view: HostView, now: float) -> bool:
        """Return whether this host may send one more request to a target now."""
        limit = self._limits.get(number)
        if limit is None or limit.rate is None:
            return True
        self._accrue(number, limit, view, now)
        return limit.allowance >= 1.0

    def compute_wait(self, number: int, view: HostView, now: float) -> float:
        """Return the seconds until this host may send one more request to a target."""
        if self.may_send(number, view, now):
            return 0.0
        limit = self._limits[number]
        if limit.share <= 0.0:
            return float("inf")
        return (1.0 - limit.allowance) / limit.share

    def record_send(self, number: int) -> None:
        """Charge a request that is about to be sent."""
        limit = self._limits.get(number)
        if limit is not None and limit.rate is not None:
            limit.allowance -= 1.0

    def refund_send(self, number: int) -> None:
        """Refund a request of which no byte was sent."""
        limit = self._limits.get(number)
        if limit is not None and limit.rate is not None:
            limit.allowance = min(1.0, limit.allowance + 1.0)

    def build_entry(self, number: int, now: float) -> LimitEntry | None:
        """Return a target's limit as it is sent to other hosts."""
        limit = self._limits.get(number)
        if limit is None:
            return None
        return LimitEntry(number, limit.rate, now - limit.advertised_at)

    def keep_only(self, numbers: Collection[int], now: float) -> None:
        """Forget targets that are gone, and limits that ended long ago."""
        expired_before = now - c.LIMIT_RETENTION_SECONDS
        for number, limit in list(self._limits.items()):
            has_ended = limit.rate is None and limit.advertised_at < expired_before
            if has_ended or number not in numbers:
                del self._limits[number]

    def forget(self, number: int) -> None:
        """Forget the limit of a target."""
        self._limits.pop(number, None)

    def compute_share(self, number: int, rate: float, view: HostView) -> float:
        """Return this host's share of a target's rate, in requests per second."""
        return compute_host_share(number, rate, view)

    def iterate(self) -> Iterator[int]:
        """Yield the targets that advertise a limit, or did so recently."""
        yield from self._limits

    def _accrue(self, number: int, limit: _Limit, view: HostView, now: float) -> None:
        assert limit.rate is not None
        if limit.share_inputs is None or limit.share_inputs != (limit.rate, view):
            limit.share = self.compute_share(number, limit.rate, view)
            limit.share_inputs = limit.rate, view
        accrued = limit.share * max(0.0, now - limit.accrued_at)
        limit.allowance = min(1.0, limit.allowance + accrued)
        limit.accrued_at = now
        if limit.share <= 0.0:
            limit.allowance = min(limit.allowance, 0.0)


def compute_host_share(
    number: int,
    rate: float,
    view: HostView,
    hosts_per_rate: float = c.LIMIT_HOSTS_PER_RATE,
    min_hosts: float = c.LIMIT_MIN_HOSTS,
) -> float:
    """Return this host's share of a target's rate, in requests per second.

    A target is used by the hosts that come first in a hash of the target and the host.
    Hosts with different views choose differently: a host assumes that all hosts it does
    not know come before it. hosts_per_rate and min_hosts bound their number.
    """
    host_count = max(1, int(hosts_per_rate * rate + min_hosts))
    if rate < c.LIMIT_MIN_RATE:
        return 0.0
    if host_count >= view.max_known_hosts:
        return c.LIMIT_SHARE * rate / view.max_known_hosts
    own = _rank(number, view.own)
    ranked_before = sum(
        _rank(number, name) < own for name in view.known_hosts if name != view.own
    )
    unknown = max(0, view.max_known_hosts - len(view.known_hosts))
    return (
        c.LIMIT_SHARE * rate / host_count
        if ranked_before + unknown < host_count
        else 0.0
    )


def _rank(number: int, name: str) -> bytes:
    text = f"{number}@{name}".encode()
    return hashlib.blake2b(text, digest_size=RANK_BYTES).digest()
