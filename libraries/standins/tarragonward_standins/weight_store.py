"""Model the rate-limited weight store, without I/O."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["WeightStoreModel", "WeightStoreSizes"]


@dataclass(frozen=True)
class WeightStoreSizes:
    """Rates in bytes per second: of the whole store, and of one engine's reading."""

    store_bytes_per_second: float = 10e9
    engine_bytes_per_second: float = 2.5e9


class WeightStoreModel:
    """Loads under way share the store's rate, each up to its engine's own."""

    def __init__(self, sizes: WeightStoreSizes) -> None:
        self._sizes = sizes
        self._left: dict[str, float] = {}

    @property
    def loading(self) -> frozenset[str]:
        """Return the engines that load."""
        return frozenset(self._left)

    def start(self, engine: str, size_bytes: float) -> None:
        """Begin to load; beginning again changes nothing."""
        self._left.setdefault(engine, size_bytes)

    def advance(self, seconds: float) -> list[str]:
        """Let time pass and return the engines whose load has ended."""
        if not self._left:
            return []
        shared = self._sizes.store_bytes_per_second / len(self._left)
        rate = min(shared, self._sizes.engine_bytes_per_second)
        for engine in self._left:
            self._left[engine] -= rate * seconds
        ended = [engine for engine, left in self._left.items() if left <= 0]
        for engine in ended:
            del self._left[engine]
        return ended
