"""Decide which target rate limits are sent to other hosts, and when."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from tarragonward_placement import LimitEntry, TargetLimits

from . import const as c
from .turns import Rotation

__all__ = ["LimitGossip"]


class LimitGossip:
    """Schedules what one host sends of the limits it knows; times in seconds.

    A new or changed limit is sent to all hosts at once; gossip rounds repeat it.
    """

    def __init__(self, limits: TargetLimits) -> None:
        self._limits = limits
        self._pending: dict[int, None] = {}
        self._rotation = Rotation()

    def record_change(self, number: int) -> None:
        """Schedule a target's limit to be sent to all hosts."""
        self._pending[number] = None

    def take_pending(self) -> list[list[int]]:
        """Return the targets whose limits are due, in lists that fit a message each."""
        pending, self._pending = list(self._pending), {}
        size = c.MAX_LIMITS_PER_MESSAGE
        return [pending[start : start + size] for start in range(0, len(pending), size)]

    def choose_next(self) -> list[int]:
        """Return the next few of the targets that have limits."""
        return self._rotation.take(list(self._limits.iterate()), c.MAX_LIMITS_PER_ROUND)

    def build(self, numbers: Iterable[int], now: float) -> list[Any]:
        """Return the entries of these targets in wire form."""
        entries = (self._limits.build_entry(number, now) for number in numbers)
        return [entry.pack() for entry in entries if entry is not None]

    def merge(self, data: Iterable[Any], age: float, now: float) -> None:
        """Apply the entries of another host; raise ValueError if one is malformed."""
        for item in data:
            entry = LimitEntry.unpack(item)
            if self._limits.apply_entry(entry, now, age):
                # The other host has already sent this limit to all hosts.
                self._pending.pop(entry.number, None)
