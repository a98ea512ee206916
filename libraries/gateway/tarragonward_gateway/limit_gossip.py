"""Decide what to tell other hosts of the limits that targets name."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from tarragonward_placement import LimitEntry, TargetLimits

from . import const as c
from .turns import Rotation

__all__ = ["LimitGossip"]


class LimitGossip:
    """What one host tells of the limits it knows; times in seconds.

    What a target names first, or changes, is told to all at once; rounds repeat it.
    """

    def __init__(self, limits: TargetLimits) -> None:
        self._limits = limits
        self._pending: dict[int, None] = {}
        self._rotation = Rotation()

    def note_changed(self, number: int) -> None:
        """Note that all should hear of a target's limit."""
        self._pending[number] = None

    def take_pending(self) -> list[list[int]]:
        """Return the targets to tell of now, as many at a time as a message holds."""
        news, self._pending = list(self._pending), {}
        size = c.MAX_LIMITS_PER_MESSAGE
        return [news[start : start + size] for start in range(0, len(news), size)]

    def choose_next(self) -> list[int]:
        """Return a few of all targets that name limits, others at each call."""
        return self._rotation.take(list(self._limits.iterate()), c.MAX_LIMITS_PER_ROUND)

    def build(self, numbers: Iterable[int], now: float) -> list[Any]:
        """Return what is known of these targets, as it travels."""
        entries = (self._limits.build_entry(number, now) for number in numbers)
        return [entry.pack() for entry in entries if entry is not None]

    def take(self, data: Iterable[Any], age: float, now: float) -> None:
        """Take what another host told; raise ValueError where it is malformed."""
        for item in data:
            entry = LimitEntry.unpack(item)
            if self._limits.take(entry, now, age):
                # The other host has told all of it.
                self._pending.pop(entry.number, None)
