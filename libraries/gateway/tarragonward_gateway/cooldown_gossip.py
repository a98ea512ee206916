"""Decide which cooldowns of targets are sent to other hosts, and what is received."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

from tarragonward_placement import TargetCooldowns

from . import const as c

__all__ = ["CooldownGossip"]

MILLISECONDS = 1_000


class CooldownGossip:
    """The cooldowns that targets asked of this host, and what it sends of them.

    A new cooldown is sent at once, and never again: a host that misses it loses a
    request to the target, not more. Only what was asked of this host is sent, so no
    cooldown goes round between hosts. Times in seconds.
    """

    def __init__(self, cooldowns: TargetCooldowns, rng: random.Random) -> None:
        self._cooldowns = cooldowns
        self._random = rng
        self._pending: dict[str, float] = {}

    def record_own(self, target_id: str, end: float) -> None:
        """Record a cooldown that a target asked of this host, and schedule it."""
        self._pending[target_id] = end

    def take_pending(self, now: float) -> list[Any] | None:
        """Return what was scheduled, in wire form."""
        pending, self._pending = self._pending, {}
        cooldowns = [
            (name, int((end - now) * MILLISECONDS))
            for name, end in pending.items()
            if end > now
        ]
        return cooldowns[: c.MAX_COOLDOWNS_PER_MESSAGE] or None

    def merge(self, data: Iterable[Any], age: float, now: float) -> None:
        """Apply the cooldowns of another host; raise ValueError if one is malformed.

        Hosts that were not asked themselves wait a little longer, so that they don't
        all return to the target at the same moment.
        """
        for target_id, milliseconds in data:
            if type(target_id) is not str or type(milliseconds) is not int:
                raise ValueError("a cooldown needs a target and milliseconds")
            seconds = min(milliseconds / MILLISECONDS, c.MAX_REPORTED_COOLDOWN_SECONDS)
            spread = 1.0 + c.COOLDOWN_RETURN_SPREAD * self._random.random()
            self._cooldowns.record_reported(
                target_id, now + seconds * spread - age, now
            )
