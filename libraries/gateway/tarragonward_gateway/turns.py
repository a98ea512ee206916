"""Go through what hosts repeat to each other, a few at a time."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

__all__ = ["Rotation"]

Item = TypeVar("Item")


class Rotation:
    """The place up to which things were told; what comes and goes may shift it."""

    def __init__(self) -> None:
        self._position = 0

    def take(self, known: Sequence[Item], count: int) -> list[Item]:
        """Return the next few, from the first again after the last."""
        if not known:
            return []
        start = self._position % len(known)
        self._position = start + count
        return [*known[start:], *known[:start]][:count]
