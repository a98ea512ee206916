"""A simulated host: membership, and the sections that hosts exchange by gossip."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

import msgpack

from tarragonward_core import Address, HostIdentity
from tarragonward_membership import (
    Hello,
    HelloReceived,
    PeerEntry,
    RoundDue,
    SeedEffect,
    SeedMembership,
    SendHello,
)
from tarragonward_membership.const import HELLO_INTERVAL_SECONDS

from ..hearing.host import build_address
from ..hearing.world import Links, World

__all__ = ["GossipFleet", "GossipHost", "Section"]

SEED_COUNT = 3
GOSSIP_INTERVAL_JITTER = (0.9, 1.1)
NEVER = float("-inf")


@dataclass(frozen=True)
class Section:
    """A section of a hello: builds its content, and applies that of a peer."""

    build: Callable[[], Any]
    apply: Callable[[Any, float], None]


@dataclass
class GossipFleet:
    """What all hosts of a run share; sent_bytes counts hellos and sections."""

    world: World
    links: Links
    domains: int
    hosts: dict[Address, GossipHost] = field(default_factory=dict)
    sent_bytes: int = 0
    message_count: int = 0


class GossipHost:
    """One incarnation of a host; disturbed_until is when its last fault ended."""

    def __init__(self, fleet: GossipFleet, number: int) -> None:
        self.fleet, self.world = fleet, fleet.world
        self.number = number
        self.domain = f"domain-{number % fleet.domains}"
        self.address = build_address(number)
        self.random = random.Random(self.world.random.random())
        seeds = [build_address(seed) for seed in range(SEED_COUNT)]
        self.members = SeedMembership(
            HostIdentity(self.address, self.random.getrandbits(48)),
            f"host-{number}",
            self.domain,
            seeds,
            self.random,
            self.world.now,
        )
        self.sections: dict[str, Section] = {}
        self.is_dead = False
        self.paused_until = NEVER
        self.disturbed_until = self.world.now
        self._hello_bytes = self._brief_hello_bytes = 0
        self._run_gossip_round()

    def has_been_connected(self, seconds: float) -> bool:
        """Return whether the host has run and been connected for so many seconds."""
        links = self.fleet.links
        is_partitioned = (
            self.number in links.partition or self.number in links.isolated_hosts
        )
        connected_seconds = self.world.now - self.disturbed_until
        return not self.is_dead and not is_partitioned and connected_seconds >= seconds

    def pause(self, seconds: float) -> None:
        """Pause the host's process."""
        self.paused_until = self.disturbed_until = self.world.now + seconds

    def learn_all_hosts(self) -> None:
        """Add all hosts of the fleet to the host's members."""
        hosts = self.fleet.hosts.values()
        entries = tuple(PeerEntry(h.members.own, 0.0, h.domain) for h in hosts)
        other = next(host for host in hosts if host is not self)
        hello = other.members.build_hello(self.world.now)
        event = HelloReceived(replace(hello, entries=entries))
        self.members.handle(event, self.world.now)

    def run_or_defer(self, action: Callable[..., None], *details: Any) -> bool:
        """Return whether the host runs; if it is paused, run action when it resumes."""
        if self.is_dead:
            return False
        if self.world.now < self.paused_until:
            self.world.schedule_at(self.paused_until, lambda: action(*details))
            return False
        return True

    def send_section(
        self, addresses: Iterable[Address], name: str, content: Any
    ) -> None:
        """Send one section to hosts, outside the gossip rounds."""
        hello = self.members.build_hello(self.world.now, is_brief=True)
        self._send_to(addresses, hello, {name: content})

    def _run_gossip_round(self) -> None:
        if not self.run_or_defer(self._run_gossip_round):
            return
        event = RoundDue(self._hello_bytes, self._brief_hello_bytes)
        self._apply_effects(self.members.handle(event, self.world.now))
        delay = HELLO_INTERVAL_SECONDS * self.random.uniform(*GOSSIP_INTERVAL_JITTER)
        self.world.schedule_after(delay, self._run_gossip_round)

    def _apply_effects(self, effects: Iterable[SeedEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendHello) and effect.addresses:
                self._send_hello(effect.addresses, effect.is_brief)

    def _send_hello(self, addresses: Collection[Address], is_brief: bool) -> None:
        hello = self.members.build_hello(self.world.now, is_brief)
        sections = {
            name: content
            for name, section in self.sections.items()
            if (content := section.build()) is not None
        }
        size = self._send_to(addresses, hello, sections)
        if is_brief:
            self._brief_hello_bytes = size
        else:
            self._hello_bytes = size

    def _send_to(
        self, addresses: Iterable[Address], hello: Hello, sections: dict[str, Any]
    ) -> int:
        packed = {name: msgpack.packb(content) for name, content in sections.items()}
        size = len(msgpack.packb((1, hello.pack(), packed)))
        fleet = self.fleet
        for address in addresses:
            fleet.sent_bytes += size
            fleet.message_count += 1
            if self.world.random.random() >= fleet.links.loss:
                self.world.schedule_after(
                    self.world.sample_delay(),
                    lambda to=address: self._deliver(to, hello, packed),
                )
        return size

    def _deliver(self, to: Address, hello: Hello, sections: dict[str, bytes]) -> None:
        other = self.fleet.hosts.get(to)
        if other is None or self.fleet.links.is_cut(self.number, other.number):
            return
        other.receive_hello(hello, sections)

    def receive_hello(self, hello: Hello, sections: dict[str, bytes]) -> None:
        """Handle a peer's hello and its sections as the product does."""
        if not self.run_or_defer(self.receive_hello, hello, sections):
            return
        now, address = self.world.now, hello.identity.address
        before = self.members.get_peer(address)
        last_timestamp = before.last_timestamp if before is not None else -1
        self._apply_effects(self.members.handle(HelloReceived(hello), now))
        peer = self.members.get_peer(address)
        if peer is None or peer.identity != hello.identity:
            return
        if before is peer and hello.timestamp <= last_timestamp:
            return
        age = self.members.compute_age(peer, hello.timestamp, now)
        for name, content in sections.items():
            if name in self.sections:
                self.sections[name].apply(msgpack.unpackb(content), age)
