"""Delay orders whose model loads would exceed the weight store's capacity."""

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
    """Limit the concurrent model loads of this failure domain.

    The published limit is split evenly between failure domains, as a partitioned
    domain has no view of the others. All hosts go through the engines in the same
    order and agree without coordination. If their views of an engine differ, a few
    more loads share the store's bandwidth, which only makes them slower.
    """

    def __init__(self, host: HostState, async_read_state: ReadState) -> None:
        self._host = host
        self._async_read_state = async_read_state
        self._number = -1
        self._loaded: set[str] = set()

    async def async_may_load(
        self, engine: Target, orders: Mapping[str, EngineOrder]
    ) -> bool:
        """Return whether an engine may load now.

        Reads the engines before it in order, until the limit of concurrent loads is
        reached by engines without their weights. An engine that does not answer takes
        no slot, or a dead engine would block all engines after it.
        """
        configuration = self._host.configuration
        if configuration.parallel_loads is None:
            return True
        self._reset_for_number(orders[engine.name].fencing)
        # The caller has just read that the engine lacks its weights. It may have loaded
        # them before and restarted; still recorded as loaded, it would get no slot.
        self._loaded.discard(engine.name)
        domains = {configuration.targets[name].failure_domain for name in orders}
        limit = math.ceil(configuration.parallel_loads / len(domains))
        pending = [
            PendingModelLoad(name, engine.failure_domain)
            for name in orders
            if configuration.targets[name].failure_domain == engine.failure_domain
        ]
        without_slot: set[str] = set()
        with_slot: set[str] = set()
        while True:
            chosen = choose_loads(pending, self._loaded | without_slot, limit)
            unchecked = [name for name in chosen if name not in with_slot]
            if engine.name in chosen or not unchecked:
                return engine.name in chosen
            reads = [
                self._async_occupies_slot(name, orders[name]) for name in unchecked
            ]
            for name, occupies in zip(
                unchecked, await asyncio.gather(*reads), strict=True
            ):
                (with_slot if occupies else without_slot).add(name)

    async def _async_occupies_slot(self, name: str, order: EngineOrder) -> bool:
        """Return whether an engine occupies a slot; record it if it has loaded."""
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
