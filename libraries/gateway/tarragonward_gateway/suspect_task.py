"""Tell the other hosts of requests that targets end under, and hear theirs."""

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
    """The part of the hosts' datagrams that is about suspects."""

    def __init__(
        self, state: GatewayState, peers: Peers, suspects: SuspectMonitor
    ) -> None:
        self._peers = peers
        self._ledger = suspects.ledger
        self._gossip = SuspectGossip(suspects.ledger, peers.members, state.random)
        self._background = BackgroundTasks(state.metrics)
        self._timer: asyncio.TimerHandle | None = None
        self._outgoing: Iterable[bytes] = ()
        suspects.on_change.append(self._note_changed)
        suspects.is_isolated = lambda: peers.members.is_isolated
        peers.add_section(SECTION, self._build, self._take)

    async def async_setup(self) -> None:
        """Begin to forget what was not seen for long."""
        self._background.start(TASK_NAME, self._async_expire)

    async def async_unload(self) -> None:
        """Stop."""
        if self._timer is not None:
            self._timer.cancel()
        await self._background.async_unload()

    async def _async_expire(self) -> None:
        while True:
            await asyncio.sleep(c.SUSPECT_EXPIRY_INTERVAL_SECONDS)
            self._ledger.expire(read_clock())

    def _note_changed(self, fingerprint: bytes) -> None:
        self._gossip.note_changed(fingerprint, read_clock())
        self._arm()

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_at = self._gossip.due_at
        if due_at is not None:
            wait = max(0.0, due_at - read_clock())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(wait, self._send_due)

    def _send_due(self) -> None:
        for news in self._gossip.take_due(read_clock()):
            self._outgoing = news.fingerprints
            self._peers.send_section_to(SECTION, news.hosts)
        self._outgoing = ()
        self._arm()

    def _build(self) -> list[Any] | None:
        told = self._outgoing or self._gossip.choose_next()
        return self._gossip.build(told, read_clock()) or None

    def _take(self, host: str, data: Any, age: float) -> None:
        self._gossip.take(data, age, read_clock())
        self._arm()
