"""Decide which rests of targets are sent to other hosts, and what is received."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

from tarragonward_placement import TargetRests

from . import const as c

__all__ = ["RestGossip"]

MILLISECONDS = 1_000


class RestGossip:
    """The rests that targets asked of this host, and what it sends of them.

    A new rest is sent at once, and never again: a host that misses it loses a request
    to the target, not more. Only what was asked of this host is sent, so no rest goes
    round between hosts. Times in seconds.
    """

    def __init__(self, rests: TargetRests, rng: random.Random) -> None:
        self._rests = rests
        self._random = rng
        self._pending: dict[str, float] = {}

    def record_own(self, target_id: str, end: float) -> None:
        """Record a rest that a target asked of this host, and schedule it."""
        self._pending[target_id] = end

    def take_pending(self, now: float) -> list[Any] | None:
        """Return what was scheduled, in wire form."""
        pending, self._pending = self._pending, {}
        rests = [
            (name, int((end - now) * MILLISECONDS))
            for name, end in pending.items()
            if end > now
        ]
        return rests[: c.MAX_RESTS_PER_MESSAGE] or None

    def merge(self, data: Iterable[Any], age: float, now: float) -> None:
        """Apply the rests of another host; raise ValueError if one is malformed.

        Hosts that were not asked themselves wait a little longer, so that they don't
        all return to the target at the same moment.
        """
        for target_id, milliseconds in data:
            if type(target_id) is not str or type(milliseconds) is not int:
                raise ValueError("a rest needs a target and milliseconds")
            seconds = min(milliseconds / MILLISECONDS, c.MAX_REPORTED_REST_SECONDS)
            spread = 1.0 + c.REST_RETURN_SPREAD * self._random.random()
            self._rests.record_reported(target_id, now + seconds * spread - age, now)
