"""Hold back orders whose loads would overrun the weight store's rate."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Mapping

from tarragonward_config import EngineOrder, EngineOrderState, Target
from tarragonward_core import TargetError
from tarragonward_placement import PendingModelLoad, choose_loads

from .core import HostState

__all__ = ["LoadGate"]

ReadState = Callable[[Target], Awaitable[EngineOrderState | None]]


class LoadGate:
    """Let the engines of this failure domain load a few at a time.

    The published number of loads at once is split evenly between failure domains, as
    one that is cut off sees no other. All hosts take the engines in the same order, so
    they agree without asking each other; where they see an engine differently, a few
    loads more share the store's rate, which costs time and no promise.
    """

    def __init__(self, host: HostState, async_read_state: ReadState) -> None:
        self._host = host
        self._async_read_state = async_read_state
        self._number = -1
        self._loaded: set[str] = set()

    async def async_may_load(
        self, engine: Target, orders: Mapping[str, EngineOrder]
    ) -> bool:
        """Return whether an engine's turn to load has come.

        Engines before it are read until as many as may load at once were seen to be
        without their weights. One that does not answer holds no turn: else a dead
        engine would keep all behind it from ever loading.
        """
        configuration = self._host.configuration
        if configuration.parallel_loads is None:
            return True
        self._reset_for_number(orders[engine.name].fencing)
        # The caller has just seen that it lacks its weights: an engine may have loaded,
        # died and come back cold. Held for loaded, it would never get a turn.
        self._loaded.discard(engine.name)
        domains = {configuration.targets[name].failure_domain for name in orders}
        limit = math.ceil(configuration.parallel_loads / len(domains))
        pending = [
            PendingModelLoad(name, engine.failure_domain)
            for name in orders
            if configuration.targets[name].failure_domain == engine.failure_domain
        ]
        done: set[str] = set()
        occupying: set[str] = set()
        while True:
            chosen = choose_loads(pending, self._loaded | done, limit)
            unchecked = [name for name in chosen if name not in occupying]
            if engine.name in chosen or not unchecked:
                return engine.name in chosen
            reads = [
                self._async_occupies_slot(name, orders[name]) for name in unchecked
            ]
            for name, occupies in zip(
                unchecked, await asyncio.gather(*reads), strict=True
            ):
                (occupying if occupies else done).add(name)

    async def _async_occupies_slot(self, name: str, order: EngineOrder) -> bool:
        """Return whether an engine takes up a turn; remember that it has loaded."""
        try:
            state = await self._async_read_state(self._host.configuration.targets[name])
        except TargetError:
            return False
        if state is not None and state.has_loaded(order):
            self._loaded.add(name)
            return False
        return True

    def _reset_for_number(self, number: int) -> None:
        if number != self._number:
            self._number = number
            self._loaded.clear()
