"""Tell hosts of other cells what lies on the engines of this host's cell."""

from __future__ import annotations

import asyncio
from typing import Any

from tarragonward_core import Address, BackgroundTasks
from tarragonward_membership.const import MAX_MESH_PEERS

from . import const as c
from .clock import read_clock
from .peers import Peers
from .state import GatewayState
from .targets import SECTION as PROMPTS_SECTION
from .targets import TargetChooser

__all__ = ["SECTION", "CellGossip"]

SECTION = "engines"
TASK_NAME = "cell gossip"


class CellGossip:
    """What hosts tell beyond their cell, so that long prompts find engines there.

    A host of each other cell, by chance, hears in each round what all of this cell know
    of its engines. All hosts hear at once of a long reading of this host, and again
    while it lasts, as long as its bytes allow: with hundreds of hosts and tens of long
    prompts a second, each host would tell and read thousands of messages.
    """

    def __init__(
        self, state: GatewayState, peers: Peers, chooser: TargetChooser
    ) -> None:
        self._state = state
        self._peers = peers
        self._chooser = chooser
        self._background = BackgroundTasks(state.metrics)
        self._is_telling = False
        self._told_at = float("-inf")
        # Bytes that may be told of readings; below zero after a message to many.
        self._credit = float(c.MAX_PREFILL_GOSSIP_BYTES_PER_SECOND)
        self._credit_at = read_clock()
        chooser.book.on_change.append(self._note_prompt)
        peers.add_section(SECTION, self._build, chooser.take_summary)

    async def async_setup(self) -> None:
        """Begin to tell."""
        self._background.start(TASK_NAME, self._async_tell)

    async def async_unload(self) -> None:
        """Stop."""
        await self._background.async_unload()

    async def _async_tell(self) -> None:
        while True:
            jitter = self._state.random.uniform(0.9, 1.1)
            await asyncio.sleep(c.CELL_GOSSIP_INTERVAL_SECONDS * jitter)
            far = self._list_far()
            if not far:
                continue
            self._is_telling = True
            self._peers.tell_some(SECTION, [self._state.random.choice(far)])
            self._is_telling = False
            self._repeat_reading(far)

    def _repeat_reading(self, far: list[Address]) -> None:
        now = read_clock()
        is_due = now - self._told_at >= c.PREFILL_REPEAT_SECONDS
        if is_due and self._chooser.book.has_long_reading(now):
            self._tell_reading(far, now)

    def _note_prompt(self, is_long: bool) -> None:
        self._peers.tell_now()
        if is_long:
            self._tell_reading(self._list_far(), read_clock())

    def _tell_reading(self, far: list[Address], now: float) -> None:
        rate = c.MAX_PREFILL_GOSSIP_BYTES_PER_SECOND
        earned = max(0.0, now - self._credit_at) * rate
        self._credit, self._credit_at = min(rate, self._credit + earned), now
        if self._credit <= 0 or not far:
            return
        self._told_at = now
        self._credit -= len(far) * self._peers.tell_some(PROMPTS_SECTION, far)

    def _list_far(self) -> list[Address]:
        """Return the hosts that are told nothing else of prompts."""
        members = self._peers.members
        if len(members.get_peers()) <= MAX_MESH_PEERS or not self._is_heeded():
            return []
        mates = set(members.get_cell_peers())
        return [
            peer.identity.address
            for peer in members.get_peers()
            if not peer.is_leaving and peer.identity.address not in mates
        ]

    def _is_heeded(self) -> bool:
        """Return whether any prompt may go to engines of other cells."""
        table = self._state.table
        services = table.services.values() if table is not None else ()
        looks_beyond = self._chooser.allows_cross_cell
        return any(s.engine is not None and looks_beyond(s.name) for s in services)

    def _build(self) -> dict[str, Any] | None:
        return self._chooser.build_summary() if self._is_telling else None
