"""Exchange what crashes targets with the other hosts."""

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

__all__ = ["SECTION", "SEGMENT_SECTION", "SuspectTask"]

SECTION = "suspects"
SEGMENT_SECTION = "segments"
TASK_NAME = "suspects"


class SuspectTask:
    """Exchanges the suspect requests and prompt segments of this host."""

    def __init__(
        self, state: GatewayState, peers: Peers, suspects: SuspectMonitor
    ) -> None:
        self._suspects = suspects.suspects
        self._background = BackgroundTasks(state.metrics)
        requests = _SectionExchange(
            SECTION,
            SuspectGossip(
                suspects.tracker, peers.members, state.random, tells_joined=True
            ),
            peers,
        )
        segments = _SectionExchange(
            SEGMENT_SECTION,
            SuspectGossip(suspects.segments, peers.members, state.random),
            peers,
        )
        self._exchanges = (requests, segments)
        suspects.on_change.append(requests.handle_change)
        suspects.on_segment_change.append(segments.handle_change)
        suspects.is_isolated = lambda: peers.members.is_isolated
        suspects.get_trial_delay = segments.gossip.get_trial_delay

    async def async_setup(self) -> None:
        """Start expiring old suspects."""
        self._background.start(TASK_NAME, self._async_expire)

    async def async_unload(self) -> None:
        """Stop expiring and sending."""
        for exchange in self._exchanges:
            exchange.cancel()
        await self._background.async_unload()

    async def _async_expire(self) -> None:
        while True:
            await asyncio.sleep(c.SUSPECT_EXPIRY_INTERVAL_SECONDS)
            self._suspects.expire(read_clock())


class _SectionExchange:
    """Builds, sends and applies one section of the hosts' datagrams."""

    def __init__(self, section: str, gossip: SuspectGossip, peers: Peers) -> None:
        self.gossip = gossip
        self._section = section
        self._peers = peers
        self._timer: asyncio.TimerHandle | None = None
        self._outgoing: Iterable[bytes] = ()
        peers.add_section(section, self._build, self._merge)

    def cancel(self) -> None:
        """Send nothing more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def handle_change(self, fingerprint: bytes, is_urgent: bool = True) -> None:
        """Send a suspect to other hosts soon."""
        self.gossip.record_change(fingerprint, read_clock(), is_urgent)
        self._start_timer()

    def _start_timer(self) -> None:
        self.cancel()
        due_at = self.gossip.due_at
        if due_at is not None:
            wait = max(0.0, due_at - read_clock())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(wait, self._send_due)

    def _send_due(self) -> None:
        for message in self.gossip.take_due(read_clock()):
            self._outgoing = message.fingerprints
            self._peers.send_section_to(self._section, message.hosts)
        self._outgoing = ()
        self._start_timer()

    def _build(self) -> list[Any] | None:
        now = read_clock()
        if self._outgoing:
            return self.gossip.build(self._outgoing, now) or None
        self.gossip.record_round(now)
        self._start_timer()
        return self.gossip.build(self.gossip.choose_next(), now) or None

    def _merge(self, host: str, data: Any, age: float) -> None:
        self.gossip.merge(data, age, read_clock())
        self._start_timer()
