"""Decide which engines of a cold fleet load their model next."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Collection, Sequence
from dataclasses import dataclass

__all__ = ["PendingModelLoad", "choose_loads", "count_parallel_loads"]


@dataclass(frozen=True)
class PendingModelLoad:
    """An engine that should load its model, as published."""

    engine: str
    failure_domain: str


def count_parallel_loads(
    store_bytes_per_second: float, engine_bytes_per_second: float
) -> int:
    """Return the lowest number of concurrent loads that saturates the store."""
    return max(math.ceil(store_bytes_per_second / engine_bytes_per_second), 1)


def choose_loads(
    pending: Sequence[PendingModelLoad], loaded: Collection[str], parallel: int
) -> list[str]:
    """Return the engines that may load now.

    Concurrent loads share the store's rate: if all loaded at once, the first engine
    would be ready only when the last one is. So only the first few that are not loaded
    proceed. The order depends only on what is published, so all hosts choose the same
    engines without coordination. It alternates between the failure domains, so that
    each can serve early even if it is cut off.
    """
    waiting = [load for load in _order(pending) if load.engine not in loaded]
    return [load.engine for load in waiting[:parallel]]


def _order(pending: Sequence[PendingModelLoad]) -> list[PendingModelLoad]:
    by_domain: dict[str, list[PendingModelLoad]] = defaultdict(list)
    for load in sorted(pending, key=lambda load: load.engine):
        by_domain[load.failure_domain].append(load)
    places = {
        load.engine: place
        for loads in by_domain.values()
        for place, load in enumerate(loads)
    }
    return sorted(pending, key=lambda load: (places[load.engine], load.failure_domain))
