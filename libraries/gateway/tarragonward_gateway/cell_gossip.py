"""Send the load of this cell's engines to hosts of other cells."""

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
    """Gossip between cells, which lets long prompts use engines of other cells.

    In each round one random host outside this cell is sent the summary of this cell's
    engines. A long prefill of this host is sent to all remote hosts at once, and again
    while it lasts, within a byte rate: with hundreds of hosts and tens of long prompts
    a second, each host would otherwise send and receive thousands of messages.
    """

    def __init__(
        self, state: GatewayState, peers: Peers, chooser: TargetChooser
    ) -> None:
        self._state = state
        self._peers = peers
        self._chooser = chooser
        self._background = BackgroundTasks(state.metrics)
        self._is_sending_summary = False
        self._sent_at = float("-inf")
        # Bytes that may be sent about prefills; negative after a message to many hosts.
        self._credit = float(c.MAX_PREFILL_GOSSIP_BYTES_PER_SECOND)
        self._credit_at = read_clock()
        chooser.usage.on_change.append(self._handle_prompt_change)
        peers.add_section(SECTION, self._build, chooser.apply_summary)

    async def async_setup(self) -> None:
        """Start sending summaries."""
        self._background.start(TASK_NAME, self._async_send_summaries)

    async def async_unload(self) -> None:
        """Stop sending summaries."""
        await self._background.async_unload()

    async def _async_send_summaries(self) -> None:
        while True:
            jitter = self._state.random.uniform(0.9, 1.1)
            await asyncio.sleep(c.CELL_GOSSIP_INTERVAL_SECONDS * jitter)
            remote = self._list_remote_hosts()
            if not remote:
                continue
            self._is_sending_summary = True
            self._peers.send_section_to(SECTION, [self._state.random.choice(remote)])
            self._is_sending_summary = False
            self._resend_long_prefill(remote)

    def _resend_long_prefill(self, remote: list[Address]) -> None:
        now = read_clock()
        is_due = now - self._sent_at >= c.PREFILL_REPEAT_SECONDS
        if is_due and self._chooser.usage.has_long_prefill(now):
            self._send_prefill(remote, now)

    def _handle_prompt_change(self, is_long: bool) -> None:
        self._peers.send_now()
        if is_long:
            self._send_prefill(self._list_remote_hosts(), read_clock())

    def _send_prefill(self, remote: list[Address], now: float) -> None:
        rate = c.MAX_PREFILL_GOSSIP_BYTES_PER_SECOND
        earned = max(0.0, now - self._credit_at) * rate
        self._credit, self._credit_at = min(rate, self._credit + earned), now
        if self._credit <= 0 or not remote:
            return
        self._sent_at = now
        self._credit -= len(remote) * self._peers.send_section_to(
            PROMPTS_SECTION, remote
        )

    def _list_remote_hosts(self) -> list[Address]:
        """Return the hosts that are sent no other gossip about prompts."""
        members = self._peers.members
        if len(members.get_peers()) <= MAX_MESH_PEERS or not self._is_used():
            return []
        cell_peers = set(members.get_cell_peers())
        return [
            peer.identity.address
            for peer in members.get_peers()
            if not peer.is_leaving and peer.identity.address not in cell_peers
        ]

    def _is_used(self) -> bool:
        """Return whether any prompt may be sent to engines of other cells."""
        table = self._state.table
        services = table.services.values() if table is not None else ()
        allows_cross_cell = self._chooser.allows_cross_cell
        return any(s.engine is not None and allows_cross_cell(s.name) for s in services)

    def _build(self) -> dict[str, Any] | None:
        return self._chooser.build_summary() if self._is_sending_summary else None
