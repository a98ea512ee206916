"""Select a few items per gossip round, so that each has its turn."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

__all__ = ["Rotation"]

Item = TypeVar("Item")


class Rotation:
    """A position in a sequence; added and removed items may shift it."""

    def __init__(self) -> None:
        self._position = 0

    def take(self, items: Sequence[Item], count: int) -> list[Item]:
        """Return the next items, continuing with the first one after the last."""
        if not items:
            return []
        start = self._position % len(items)
        self._position = start + count
        return [*items[start:], *items[:start]][:count]
