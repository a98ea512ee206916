"""Exchange hints with the other hosts over UDP."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Iterable
from contextlib import suppress
from typing import Any

import msgpack

from tarragonward_core import (
    Address,
    BackgroundTasks,
    FrameError,
    HostIdentity,
    TarragonwardError,
    log_event,
    new_incarnation,
)
from tarragonward_membership import (
    Hello,
    HelloReceived,
    KnownPeer,
    PeerFound,
    PeerLost,
    RoundDue,
    SeedEffect,
    SeedMembership,
    SendHello,
)
from tarragonward_membership.const import HELLO_INTERVAL_SECONDS
from tarragonward_placement import HostView

from . import const as c
from .clock import read_clock, read_suspended_seconds
from .state import GatewayState

__all__ = ["Peers"]

SectionBuilder = Callable[[], Any]
SectionHandler = Callable[[str, Any, float], None]
TASK_NAME = "peers"
# What processing a section of another version, or a corrupt one, may raise.
SECTION_ERRORS = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)


class Peers(asyncio.DatagramProtocol):
    """The other hosts that this one knows, and the datagrams between them.

    Datagrams carry hints only: they may be lost, duplicated or outdated, which may cost
    speed but never breaks a guarantee. Other components exchange data in sections.
    """

    def __init__(self, state: GatewayState) -> None:
        settings = state.settings
        self._state = state
        self._port = settings.peers.port
        self._sections: dict[str, tuple[SectionBuilder, SectionHandler]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._background = BackgroundTasks(state.metrics)
        self._full_datagram_bytes = self._brief_datagram_bytes = 0
        self._suspended_seconds = read_suspended_seconds()
        self._host_view = HostView("", frozenset(), 1)
        self._host_view_at = float("-inf")
        self.on_pause: list[Callable[[], None]] = []
        self.members = SeedMembership(
            HostIdentity(settings.peers, new_incarnation()),
            settings.name,
            settings.failure_domain,
            self._get_gossip_addresses(settings.seeds),
            random.Random(state.random.random()),
            read_clock(),
        )

    def add_section(
        self, name: str, build: SectionBuilder, handle: SectionHandler
    ) -> None:
        """Send peers what build() returns, and pass their sections to handle().

        build returns data for msgpack, or None to send nothing now. handle gets the
        peer's name, the data, and its age in seconds beyond the usual delay. The data
        comes from the network and must be checked; SECTION_ERRORS that handle raises
        count as a malformed section.
        """
        self._sections[name] = (build, handle)

    def apply_settings(self) -> None:
        """Apply the seeds of changed settings."""
        self.members.set_seeds(self._get_gossip_addresses(self._state.settings.seeds))

    def get_names(self) -> tuple[str, ...]:
        """Return the names of the peers that were heard, without leaving ones."""
        peers = self.members.get_peers()
        return tuple(peer.name for peer in peers if peer.name and not peer.is_leaving)

    def get_active_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the peers that were heard, without leaving ones."""
        peers = self.members.get_peers()
        return tuple(peer.identity.address for peer in peers if not peer.is_leaving)

    def get_domain(self, address: Address) -> str:
        """Return the failure domain of a peer, "" if it is not known."""
        peer = self.members.get_peer(address)
        return peer.failure_domain if peer is not None else ""

    def get_known_ips(self) -> frozenset[str]:
        """Return the IP addresses of the hosts that this one knows, lost ones too."""
        known = self.members.get_known_addresses(read_clock())
        return frozenset(address.host for address in known)

    def count_sharing_hosts(self) -> int:
        """Return by how many hosts shared limits are divided, never too few."""
        return self.members.get_max_host_count(read_clock())

    def get_host_view(self) -> HostView:
        """Return the hosts that this one knows, refreshed at a fixed interval."""
        now = read_clock()
        if now - self._host_view_at >= c.HOST_VIEW_REFRESH_SECONDS:
            known = self.members.get_known_addresses(now)
            most = max(len(known), self.members.get_max_known_host_count(now))
            names = frozenset(map(str, known))
            is_starting = now - self._state.started_at < c.HOST_VIEW_STARTING_SECONDS
            own = str(self.members.own.address)
            view = HostView(own, names, most, is_starting)
            if view != self._host_view:
                self._host_view = view
            self._host_view_at = now
        return self._host_view

    def get_control_address(self, name: str) -> Address | None:
        """Return a peer's address for TCP requests; ports are alike on all hosts."""
        for peer in self.members.get_peers():
            if peer.name == name:
                address = peer.identity.address
                return Address(address.host, self._state.settings.control.port)
        return None

    async def async_setup(self) -> None:
        """Listen, and start to greet the seeds."""
        address = self._state.settings.peers
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )
        self._background.start(TASK_NAME, self._async_run_rounds)

    async def async_unload(self) -> None:
        """Notify the peers that this host leaves, and stop."""
        await self._background.async_unload()
        if self._transport is not None:
            self.set_leaving()
            self._transport.close()

    def send_now(self, is_urgent: bool = False) -> None:
        """Send all sections to the cell peers without waiting for the next round.

        is_urgent: also if the budget of the rounds does not allow it soon.
        """
        data = self._pack(self._build_sections(), is_brief=True)
        now = read_clock()
        self._send_data(
            data, self.members.choose_immediate_receivers(len(data), now, is_urgent)
        )

    def send_section_to_all(self, section: str) -> None:
        """Send one section to each known peer, regardless of the rounds' budget."""
        data = self._pack(self._build_sections(section), is_brief=True)
        self._send_data(data, self.members.get_addresses())

    def send_section_to(self, section: str, addresses: Iterable[Address]) -> int:
        """Send one section to the hosts at these addresses.

        Return the size of the datagram in bytes.
        """
        data = self._pack(self._build_sections(section), is_brief=True)
        self._send_data(data, addresses)
        return len(data)

    def is_cell_peer(self, name: str) -> bool:
        """Return whether a peer is one of the cell peers."""
        addresses = self.members.get_cell_peers()
        peers = (self.members.get_peer(address) for address in addresses)
        return any(peer is not None and peer.name == name for peer in peers)

    def set_cell_peers(self, addresses: Collection[Address]) -> None:
        """Set the hosts that get all sections in each round."""
        self.members.set_cell_peers(addresses)

    def set_leaving(self) -> None:
        """Notify the peers now that this host accepts no more requests."""
        self.members.is_leaving = True
        peers = self.members.get_peers()
        self._send([peer.identity.address for peer in peers], with_sections=False)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Process a peer's hello and its sections; drop malformed datagrams."""
        try:
            hello, sections = self._unpack(data, Address(addr[0], addr[1]))
        except TarragonwardError:
            self._state.metrics.count("peer_datagrams_refused")
            return
        now = read_clock()
        self._record_suspension(now)
        known = self.members.get_peer(hello.identity.address)
        last_timestamp = known.last_timestamp if known is not None else -1
        self._apply_effects(self.members.handle(HelloReceived(hello), now))
        peer = self.members.get_peer(hello.identity.address)
        is_stale = (
            peer is None
            or peer.identity != hello.identity
            or (known is peer and hello.timestamp <= last_timestamp)
        )
        if not is_stale:
            self._handle_sections(peer, hello, sections, now)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors from a peer's port that nothing listens on."""

    async def _async_run_rounds(self) -> None:
        expected_at = read_clock()
        while True:
            now = read_clock()
            is_paused = now - expected_at > c.MIN_PROCESS_PAUSE_SECONDS
            if is_paused:
                self._report_pause(now - expected_at)
            event = RoundDue(self._full_datagram_bytes, self._brief_datagram_bytes)
            # After a process pause the sections are outdated. This round only shows
            # that the host is alive, so that no peer takes its old data for fresh.
            self._apply_effects(
                self.members.handle(event, now), with_sections=not is_paused
            )
            jitter = self._state.random.uniform(-1.0, 1.0) * c.PEER_ROUND_JITTER
            wait = HELLO_INTERVAL_SECONDS * (1.0 + jitter)
            expected_at = read_clock() + wait
            await asyncio.sleep(wait)

    def _record_suspension(self, now: float) -> None:
        before, self._suspended_seconds = (
            self._suspended_seconds,
            read_suspended_seconds(),
        )
        if self._suspended_seconds - before > c.MIN_SUSPENDED_SECONDS:
            self.members.record_suspension(self._suspended_seconds - before, now)

    def _report_pause(self, seconds: float) -> None:
        log_event("pause_noticed", seconds=seconds)
        for notify in self.on_pause:
            notify()

    def _get_gossip_addresses(self, controls: Iterable[Address]) -> list[Address]:
        return [Address(control.host, self._port) for control in controls]

    def _apply_effects(
        self, effects: Iterable[SeedEffect], with_sections: bool = True
    ) -> None:
        for effect in effects:
            if isinstance(effect, SendHello):
                self._send(effect.addresses, with_sections, effect.is_brief)
            elif isinstance(effect, PeerFound):
                log_event("peer_found", peer=effect.identity)
            elif isinstance(effect, PeerLost):
                log_event("peer_lost", peer=effect.identity, name=effect.name)

    def _send(
        self,
        addresses: Iterable[Address],
        with_sections: bool,
        is_brief: bool = False,
    ) -> None:
        recipients = list(addresses)
        if self._transport is None or not recipients:
            return
        data = self._pack(self._build_sections() if with_sections else {}, is_brief)
        if is_brief:
            self._brief_datagram_bytes = len(data)
        else:
            self._full_datagram_bytes = len(data)
        self._send_data(data, recipients)

    def _send_data(self, data: bytes, recipients: Iterable[Address]) -> None:
        if self._transport is None:
            return
        for recipient in recipients:
            # The link may be down or full; hints may be lost.
            with suppress(OSError):
                self._transport.sendto(data, (recipient.host, recipient.port))

    def _build_sections(self, only: str = "") -> dict[str, bytes]:
        sections = {}
        bytes_left = c.MAX_SENT_DATAGRAM_BYTES
        for name, (build, _) in self._sections.items():
            if only not in ("", name):
                continue
            content = build()
            if content is None:
                continue
            packed = msgpack.packb(content)
            if len(packed) > bytes_left:
                self._state.metrics.count("peer_sections_left_out", name)
                continue
            bytes_left -= len(packed)
            sections[name] = packed
        return sections

    def _pack(self, sections: dict[str, bytes], is_brief: bool = False) -> bytes:
        hello = self.members.build_hello(read_clock(), is_brief)
        return msgpack.packb((c.PEER_FORMAT, hello.pack(), sections))

    def _unpack(self, data: bytes, sender: Address) -> tuple[Hello, dict[str, bytes]]:
        if len(data) > c.MAX_RECEIVED_DATAGRAM_BYTES:
            raise FrameError("datagram exceeds the size limit")
        try:
            format_number, packed_hello, sections = msgpack.unpackb(data)
        except (ValueError, TypeError, msgpack.UnpackException) as err:
            raise FrameError(f"datagram is not a peer's message: {err}") from None
        if format_number != c.PEER_FORMAT or not isinstance(sections, dict):
            raise FrameError("datagram has another format or no sections")
        return Hello.unpack(sender, packed_hello), sections

    def _handle_sections(
        self, peer: KnownPeer, hello: Hello, sections: dict[str, bytes], now: float
    ) -> None:
        age = self.members.compute_age(peer, hello.timestamp, now)
        for name, packed in sections.items():
            if name not in self._sections:
                continue
            try:
                self._sections[name][1](hello.name, msgpack.unpackb(packed), age)
            except (*SECTION_ERRORS, msgpack.UnpackException):
                self._state.metrics.count("peer_sections_refused", name)
