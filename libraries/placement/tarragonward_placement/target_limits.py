"""Keep to the requests a second that targets name, as one of many hosts."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from typing import Any

from . import const as c

__all__ = ["HostView", "LimitEntry", "TargetLimits", "compute_part"]

MILLI = 1_000
RANK_BYTES = 8
MAX_NUMBER = 1 << 62
NEVER = float("-inf")


@dataclass(frozen=True)
class HostView:
    """The hosts that a host knows, by name, itself too; lately lost ones are in.

    most is the most hosts that anyone knew lately, never told too low.
    """

    own: str
    known: frozenset[str]
    most: int


@dataclass(frozen=True)
class LimitEntry:
    """What a host tells another: a target's rate, and how long ago it was named.

    number stands for the target's id. A rate of None: it names none any more.
    """

    number: int
    rate: float | None
    age_seconds: float

    def pack(self) -> tuple[int, int, int]:
        """Return the entry as it travels."""
        rate = -1 if self.rate is None else round(self.rate * MILLI)
        return self.number, rate, int(max(0.0, self.age_seconds) * MILLI)

    @classmethod
    def unpack(cls, item: Any) -> LimitEntry:
        """Return the entry that pack() gave; raise ValueError if it is not one."""
        number, rate, age = item
        if not all(
            type(n) is int and -1 <= n < MAX_NUMBER for n in (number, rate, age)
        ):
            raise ValueError("a number is not one")
        return cls(number, None if rate < 0 else rate / MILLI, max(0, age) / MILLI)


@dataclass
class _Limit:
    """A target's rate, and this host's allowance of it; times in seconds."""

    rate: float | None
    named_at: float
    allowance: float
    counted_at: float
    # This host's part, and the rate and view of hosts that it was worked out for.
    part: float = 0.0
    part_of: tuple[float, HostView] | None = field(default=None, repr=False)


class TargetLimits:
    """The limits that targets name, and when this host may send; times in seconds.

    Parts of all hosts add up to no more than the rate, and what hosts have saved up to
    no more than the slack of any few seconds, whatever each has heard: few hosts use a
    target that takes little, chosen by its id, and each is one of them only if all the
    hosts that it may not know would leave it so. Symptom, were the rate divided by all
    hosts: at 195 hosts and one request a second none could ever send, or all at once.
    """

    def __init__(self, rng: random.Random) -> None:
        self._limits: dict[int, _Limit] = {}
        self._random = rng

    def __len__(self) -> int:
        """Return how many targets name a limit."""
        return sum(limit.rate is not None for limit in self._limits.values())

    def note_named(self, number: int, rate: float | None, now: float) -> bool:
        """Note what a target named now; return whether it is news."""
        return self.take(LimitEntry(number, rate, 0.0), now)

    def take(self, entry: LimitEntry, now: float, age: float = 0.0) -> bool:
        """Take what a host told so many seconds ago; return whether it is news."""
        named_at = now - age - entry.age_seconds
        limit = self._limits.get(entry.number)
        if limit is None:
            if entry.rate is None or len(self._limits) >= c.MAX_TARGET_LIMITS:
                return False
            # Hosts that hear of a limit at once must not all send at once.
            allowance = self._random.random()
            self._limits[entry.number] = _Limit(entry.rate, named_at, allowance, now)
            return True
        if named_at <= limit.named_at:
            return False
        is_news = entry.rate != limit.rate
        if limit.rate is None and entry.rate is not None:
            limit.allowance, limit.counted_at = self._random.random(), now
        limit.rate, limit.named_at = entry.rate, named_at
        return is_news

    def is_limited(self, number: int) -> bool:
        """Return whether a target names a limit."""
        limit = self._limits.get(number)
        return limit is not None and limit.rate is not None

    def may_send(self, number: int, view: HostView, now: float) -> bool:
        """Return whether this host may send a target one request more now."""
        limit = self._limits.get(number)
        if limit is None or limit.rate is None:
            return True
        self._count(number, limit, view, now)
        return limit.allowance >= 1.0

    def compute_wait(self, number: int, view: HostView, now: float) -> float:
        """Return the seconds until this host may send a target one more request."""
        if self.may_send(number, view, now):
            return 0.0
        limit = self._limits[number]
        if limit.part <= 0.0:
            return float("inf")
        return (1.0 - limit.allowance) / limit.part

    def record_send(self, number: int) -> None:
        """Count a request that is about to be sent."""
        limit = self._limits.get(number)
        if limit is not None and limit.rate is not None:
            limit.allowance -= 1.0

    def return_send(self, number: int) -> None:
        """Give back what a request took of which no byte was sent."""
        limit = self._limits.get(number)
        if limit is not None and limit.rate is not None:
            limit.allowance = min(1.0, limit.allowance + 1.0)

    def build_entry(self, number: int, now: float) -> LimitEntry | None:
        """Return what is known of a target's limit, as it is told to other hosts."""
        limit = self._limits.get(number)
        if limit is None:
            return None
        return LimitEntry(number, limit.rate, now - limit.named_at)

    def keep_only(self, numbers: Collection[int], now: float) -> None:
        """Forget targets that are no more, and limits that ended long ago."""
        long_ago = now - c.LIMIT_RETENTION_SECONDS
        for number, limit in list(self._limits.items()):
            has_ended = limit.rate is None and limit.named_at < long_ago
            if has_ended or number not in numbers:
                del self._limits[number]

    def iterate(self) -> Iterator[int]:
        """Give the targets that name, or lately named, a limit."""
        yield from self._limits

    def _count(self, number: int, limit: _Limit, view: HostView, now: float) -> None:
        assert limit.rate is not None
        if limit.part_of is None or limit.part_of != (limit.rate, view):
            limit.part = compute_part(number, limit.rate, view)
            limit.part_of = limit.rate, view
        earned = limit.part * max(0.0, now - limit.counted_at)
        limit.allowance = min(1.0, limit.allowance + earned)
        limit.counted_at = now
        if limit.part <= 0.0:
            limit.allowance = min(limit.allowance, 0.0)


def compute_part(number: int, rate: float, view: HostView) -> float:
    """Return how many requests a second of a target's rate are this host's.

    The users of a target are the first by a hash of it and them. Hosts with other views
    choose other ones: what a host doesn't know counts as before it.
    """
    users = int(c.LIMIT_HOSTS_PER_RATE * rate) + c.LIMIT_MIN_HOSTS
    if rate < c.LIMIT_MIN_RATE:
        return 0.0
    if users >= view.most:
        return c.LIMIT_SHARE * rate / view.most
    own = _rank(number, view.own)
    before = sum(_rank(number, name) < own for name in view.known if name != view.own)
    unknown = max(0, view.most - len(view.known))
    return c.LIMIT_SHARE * rate / users if before + unknown < users else 0.0


def _rank(number: int, name: str) -> bytes:
    text = f"{number}@{name}".encode()
    return hashlib.blake2b(text, digest_size=RANK_BYTES).digest()
