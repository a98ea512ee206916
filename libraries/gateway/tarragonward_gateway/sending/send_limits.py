"""Decide which targets this host may send a request to, by all that limits them."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from tarragonward_membership import RegisteredTarget, hash_name
from tarragonward_placement import (
    ColdTargets,
    HostView,
    TargetCooldowns,
    TargetLimits,
)
from tarragonward_placement.const import MAX_LIMIT_WAIT_SECONDS

from ..clock import read_clock

__all__ = ["SendLimits"]

SINGLE_HOST_VIEW = HostView("", frozenset({""}), 1)


class SendLimits:
    """Rate limits that targets advertise, those of cold targets, and cooldowns.

    get_cold_rate returns what a cold target of a service tolerates per second from all
    hosts together, 0.0 for any number.
    """

    def __init__(
        self, rng: random.Random, get_cold_rate: Callable[[str], float]
    ) -> None:
        self._get_cold_rate = get_cold_rate
        self.advertised = TargetLimits(rng)
        self.cold = ColdTargets(rng)
        self.cooldowns = TargetCooldowns()
        self.get_host_view: Callable[[], HostView] = lambda: SINGLE_HOST_VIEW

    def select(
        self, targets: Sequence[RegisteredTarget], now: float
    ) -> Sequence[RegisteredTarget]:
        """Return the targets that may get one more request of this host now."""
        # Few of a large fleet's targets are limited, and this is asked for each send.
        limited = {*self.advertised.iterate(), *self.cold.iterate()}
        if limited:
            targets = [
                each
                for each in targets
                if hash_name(each.id) not in limited or self._is_within_rates(each, now)
            ]
        return self.cooldowns.get_available(targets, now)

    def has_cold(self) -> bool:
        """Return whether any target was cold lately."""
        return len(self.cold) > 0

    def is_cold(self, target: RegisteredTarget) -> bool:
        """Return whether a target is cold and tolerates few requests."""
        is_cold = self.cold.is_cold(hash_name(target.id), read_clock())
        return is_cold and self._get_cold_rate(target.service) > 0.0

    def is_rate_limited(self, target_id: str) -> bool:
        """Return whether a target advertises a rate limit."""
        return self.advertised.is_limited(hash_name(target_id))

    def record_send(self, target: RegisteredTarget) -> None:
        """Charge a request that is about to be sent."""
        number = hash_name(target.id)
        self.advertised.record_send(number)
        self.cold.record_send(number)

    def refund_send(self, target: RegisteredTarget) -> None:
        """Refund a request of which no byte was sent."""
        number = hash_name(target.id)
        self.advertised.refund_send(number)
        self.cold.refund_send(number)

    def compute_wait(self, target: RegisteredTarget, now: float) -> float | None:
        """Return the seconds until a target accepts a request, None if nothing limits.

        0.0 says that a limited target accepts one now.
        """
        number, view = hash_name(target.id), self.get_host_view()
        waits = [self.cooldowns.compute_wait(target.id, now)]
        if self.advertised.is_limited(number):
            waits.append(self.advertised.compute_wait(number, view, now))
        elif not waits[0] and not self.cold.is_cold(number, now):
            return None
        rate = self._get_cold_rate(target.service)
        waits.append(self.cold.compute_wait(number, rate, view, now))
        return max(waits[0], min(max(waits[1:]), MAX_LIMIT_WAIT_SECONDS))

    def _is_within_rates(self, target: RegisteredTarget, now: float) -> bool:
        number, view = hash_name(target.id), self.get_host_view()
        rate = self._get_cold_rate(target.service)
        return self.advertised.may_send(number, view, now) and self.cold.may_send(
            number, rate, view, now
        )
