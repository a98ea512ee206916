"""Exchange the cooldowns that targets ask for with the other hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from tarragonward_core import Address, BackgroundTasks

from . import const as c
from .clock import read_clock
from .cooldown_gossip import CooldownGossip
from .peers import Peers
from .state import GatewayState
from .targets import TargetChooser

__all__ = ["SECTION", "CooldownTask"]

SECTION = "cooldowns"
TASK_NAME = "cooldowns"


class CooldownTask:
    """Builds and applies the section of cooldowns of the hosts' datagrams."""

    def __init__(
        self, state: GatewayState, peers: Peers, chooser: TargetChooser
    ) -> None:
        self._peers = peers
        self._cooldowns = chooser.cooldowns
        self._background = BackgroundTasks(state.metrics)
        self._gossip = CooldownGossip(chooser.cooldowns, state.random)
        self._timer: asyncio.TimerHandle | None = None
        # The cooldowns that are being sent; gossip rounds contain none.
        self._outgoing: list[Any] | None = None
        chooser.statements.on_cooldown.append(self._handle_cooldown)
        peers.add_section(SECTION, self._build, self._merge)
        state.metrics.add_gauge(
            "targets_cooling_down",
            "asked for no requests",
            lambda: len(self._cooldowns),
        )

    async def async_setup(self) -> None:
        """Start dropping the cooldowns that have ended."""
        self._background.start(TASK_NAME, self._async_drop_ended)

    async def async_unload(self) -> None:
        """Stop dropping and sending cooldowns."""
        if self._timer is not None:
            self._timer.cancel()
        await self._background.async_unload()

    async def _async_drop_ended(self) -> None:
        while True:
            await asyncio.sleep(c.COOLDOWN_EXPIRY_INTERVAL_SECONDS)
            self._cooldowns.drop_ended(read_clock())

    def _handle_cooldown(self, target_id: str, end: float) -> None:
        self._gossip.record_own(target_id, end)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(c.COOLDOWN_BATCH_SECONDS, self._send)

    def _send(self) -> None:
        self._timer = None
        self._outgoing = self._gossip.take_pending(read_clock())
        if self._outgoing is not None:
            self._peers.send_section_to(SECTION, self._choose_receivers())
        self._outgoing = None

    def _choose_receivers(self) -> Iterable[Address]:
        # In a large fleet the hosts of the same cell choose among the same targets.
        members = self._peers.members
        everyone = members.get_addresses()
        is_small = len(everyone) <= c.MAX_COOLDOWN_RECEIVERS
        return everyone if is_small else members.get_cell_peers()

    def _build(self) -> list[Any] | None:
        return self._outgoing

    def _merge(self, host: str, data: Any, age: float) -> None:
        self._gossip.merge(data, age, read_clock())
