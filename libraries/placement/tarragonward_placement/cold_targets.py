"""Limit what all hosts together send to targets that have just started."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterator
from dataclasses import dataclass

from . import const as c
from .target_limits import HostView, TargetLimits, compute_host_share

__all__ = ["ColdBound", "ColdTargets"]


@dataclass(frozen=True)
class ColdBound:
    """What a cold target tolerates within a second, beside its published rate.

    Of all hosts together, excess times the rate plus slack requests.
    """

    excess: float = 1.0
    slack: float = 0.0


class _ColdLimits(TargetLimits):
    """Rate limits by which the hosts' saved allowances fit within the bound.

    Each host may have saved one request when a second begins, so no more hosts use a
    target than the bound leaves beyond the rate itself.
    """

    def __init__(self, rng: random.Random, bound: ColdBound) -> None:
        super().__init__(rng)
        self.bound = bound

    def compute_share(self, number: int, rate: float, view: HostView) -> float:
        if view.is_starting:
            return 0.0
        excess = max(0.0, self.bound.excess - 1.0)
        return compute_host_share(number, rate, view, excess, self.bound.slack)


class ColdTargets:
    """The targets that are cold, until when, and whether this host may send to one.

    A cold target crashes at a rate that a warm one serves with ease. As it is idle, all
    hosts would choose it at the same moment. Each host learns of it by itself, from the
    target's published entry and its answers, and takes its share of the rate by the
    hosts that it knows, whether or not it hears them now.
    """

    def __init__(self, rng: random.Random, bound: ColdBound | None = None) -> None:
        self._limits = _ColdLimits(rng, bound or ColdBound())
        self._until: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of targets that were cold lately."""
        return len(self._until)

    def set_bound(self, bound: ColdBound) -> None:
        """Set what targets tolerate beside their published rate."""
        self._limits.bound = bound

    def record(self, number: int, seconds: float, now: float) -> bool:
        """Record for how long a target stays cold; return whether it was warm before.

        seconds replaces what was known; 0.0 says that the target is warm.
        """
        was_cold = self.is_cold(number, now)
        if seconds <= 0.0:
            self._forget(number)
            return False
        if number in self._until or len(self._until) < c.MAX_TARGET_LIMITS:
            self._until[number] = now + min(seconds, c.MAX_COLD_SECONDS)
        return not was_cold

    def iterate(self) -> Iterator[int]:
        """Yield the targets that were cold lately."""
        yield from self._until

    def is_cold(self, number: int, now: float) -> bool:
        """Return whether a target is cold."""
        return self._until.get(number, now) > now

    def may_send(self, number: int, rate: float, view: HostView, now: float) -> bool:
        """Return whether this host may send one more request to a target now.

        rate is what a cold target tolerates per second; 0.0 is any number.
        """
        if not self._is_limited(number, rate, now):
            return True
        return self._limits.may_send(number, view, now)

    def compute_wait(
        self, number: int, rate: float, view: HostView, now: float
    ) -> float:
        """Return the seconds until this host may send one more request to a target."""
        if not self._is_limited(number, rate, now):
            return 0.0
        wait = self._limits.compute_wait(number, view, now)
        return min(wait, self._until[number] - now)

    def record_send(self, number: int) -> None:
        """Charge a request that is about to be sent."""
        self._limits.record_send(number)

    def refund_send(self, number: int) -> None:
        """Refund a request of which no byte was sent."""
        self._limits.refund_send(number)

    def keep_only(self, numbers: Collection[int], now: float) -> None:
        """Forget the targets that are gone or warm."""
        for number, until in list(self._until.items()):
            if number not in numbers or until <= now:
                self._forget(number)

    def _is_limited(self, number: int, rate: float, now: float) -> bool:
        if rate <= 0.0 or not self.is_cold(number, now):
            return False
        self._limits.record_advertised(number, rate, now)
        return True

    def _forget(self, number: int) -> None:
        self._until.pop(number, None)
        self._limits.forget(number)
