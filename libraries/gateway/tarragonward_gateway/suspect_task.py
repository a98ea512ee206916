"""Exchange the requests that crash targets with the other hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from tarragonward_core import BackgroundTasks

from . import const as c
from .clock import read_clock
from .peers import Peers
from .state import GatewayState
from .suspect_gossip import SuspectGossip
from .suspects import SuspectMonitor

__all__ = ["SECTION", "SuspectTask"]

SECTION = "suspects"
TASK_NAME = "suspects"


class SuspectTask:
    """Builds and applies the suspects section of the hosts' datagrams."""

    def __init__(
        self, state: GatewayState, peers: Peers, suspects: SuspectMonitor
    ) -> None:
        self._peers = peers
        self._tracker = suspects.tracker
        self._gossip = SuspectGossip(suspects.tracker, peers.members, state.random)
        self._background = BackgroundTasks(state.metrics)
        self._timer: asyncio.TimerHandle | None = None
        self._outgoing: Iterable[bytes] = ()
        suspects.on_change.append(self._handle_change)
        suspects.is_isolated = lambda: peers.members.is_isolated
        peers.add_section(SECTION, self._build, self._merge)

    async def async_setup(self) -> None:
        """Start expiring old suspects."""
        self._background.start(TASK_NAME, self._async_expire)

    async def async_unload(self) -> None:
        """Stop expiring and sending."""
        if self._timer is not None:
            self._timer.cancel()
        await self._background.async_unload()

    async def _async_expire(self) -> None:
        while True:
            await asyncio.sleep(c.SUSPECT_EXPIRY_INTERVAL_SECONDS)
            self._tracker.expire(read_clock())

    def _handle_change(self, fingerprint: bytes) -> None:
        self._gossip.record_change(fingerprint, read_clock())
        self._start_timer()

    def _start_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_at = self._gossip.due_at
        if due_at is not None:
            wait = max(0.0, due_at - read_clock())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(wait, self._send_due)

    def _send_due(self) -> None:
        for message in self._gossip.take_due(read_clock()):
            self._outgoing = message.fingerprints
            self._peers.send_section_to(SECTION, message.hosts)
        self._outgoing = ()
        self._start_timer()

    def _build(self) -> list[Any] | None:
        selected = self._outgoing or self._gossip.choose_next()
        return self._gossip.build(selected, read_clock()) or None

    def _merge(self, host: str, data: Any, age: float) -> None:
        self._gossip.merge(data, age, read_clock())
        self._start_timer()
