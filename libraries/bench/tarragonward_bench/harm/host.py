"""A host of the runs of harm: membership, and sections that hosts tell each other."""

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

__all__ = ["HarmFleet", "HarmHost", "Section"]

SEEDS = 3
ROUND_JITTER = (0.9, 1.1)
NEVER = float("-inf")


@dataclass(frozen=True)
class Section:
    """What a part of a host tells in each hello, and what takes a peer's word of it."""

    build: Callable[[], Any]
    take: Callable[[Any, float], None]


@dataclass
class HarmFleet:
    """What all hosts share in a run; bytes are those of hellos and sections."""

    world: World
    links: Links
    domains: int
    hosts: dict[Address, HarmHost] = field(default_factory=dict)
    sent_bytes: int = 0
    messages: int = 0


class HarmHost:
    """One life of a host; troubled_until is when its last trouble ended."""

    def __init__(self, fleet: HarmFleet, number: int) -> None:
        self.fleet, self.world = fleet, fleet.world
        self.number = number
        self.domain = f"domain-{number % fleet.domains}"
        self.address = build_address(number)
        self.random = random.Random(self.world.random.random())
        seeds = [build_address(seed) for seed in range(SEEDS)]
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
        self.frozen_until = NEVER
        self.troubled_until = self.world.now
        self._sent = self._sent_brief = 0
        self._round()

    def is_in_touch(self, stable_seconds: float) -> bool:
        """Return whether the host ran and was connected for so long."""
        links = self.fleet.links
        is_cut = self.number in links.side or self.number in links.alone
        calm = self.world.now - self.troubled_until
        return not self.is_dead and not is_cut and calm >= stable_seconds

    def freeze(self, seconds: float) -> None:
        """Let the host stand still for so long."""
        self.frozen_until = self.troubled_until = self.world.now + seconds

    def settle(self) -> None:
        """Let the host know all that are there."""
        hosts = self.fleet.hosts.values()
        entries = tuple(PeerEntry(h.members.own, 0.0, h.domain) for h in hosts)
        other = next(host for host in hosts if host is not self)
        hello = other.members.build_hello(self.world.now)
        heard = HelloReceived(replace(hello, entries=entries))
        self.members.handle(heard, self.world.now)

    def wake_at(self, act: Callable[..., None], *details: Any) -> bool:
        """Return whether to act now; else act when the host runs again, if ever."""
        if self.is_dead:
            return False
        if self.world.now < self.frozen_until:
            self.world.at(self.frozen_until, lambda: act(*details))
            return False
        return True

    def tell(self, addresses: Iterable[Address], name: str, content: Any) -> None:
        """Send hosts one section, beyond the rounds."""
        hello = self.members.build_hello(self.world.now, is_brief=True)
        self._send_to(addresses, hello, {name: content})

    def _round(self) -> None:
        if not self.wake_at(self._round):
            return
        event = RoundDue(self._sent, self._sent_brief)
        self._carry_out(self.members.handle(event, self.world.now))
        wait = HELLO_INTERVAL_SECONDS * self.random.uniform(*ROUND_JITTER)
        self.world.after(wait, self._round)

    def _carry_out(self, effects: Iterable[SeedEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendHello) and effect.addresses:
                self._greet(effect.addresses, effect.is_brief)

    def _greet(self, addresses: Collection[Address], is_brief: bool) -> None:
        hello = self.members.build_hello(self.world.now, is_brief)
        sections = {
            name: content
            for name, section in self.sections.items()
            if (content := section.build()) is not None
        }
        size = self._send_to(addresses, hello, sections)
        if is_brief:
            self._sent_brief = size
        else:
            self._sent = size

    def _send_to(
        self, addresses: Iterable[Address], hello: Hello, sections: dict[str, Any]
    ) -> int:
        packed = {name: msgpack.packb(content) for name, content in sections.items()}
        size = len(msgpack.packb((1, hello.pack(), packed)))
        fleet = self.fleet
        for address in addresses:
            fleet.sent_bytes += size
            fleet.messages += 1
            if self.world.random.random() >= fleet.links.loss:
                self.world.after(
                    self.world.draw_delay(),
                    lambda to=address: self._deliver(to, hello, packed),
                )
        return size

    def _deliver(self, to: Address, hello: Hello, sections: dict[str, bytes]) -> None:
        other = self.fleet.hosts.get(to)
        if other is None or self.fleet.links.is_cut(self.number, other.number):
            return
        other.take_datagram(hello, sections)

    def take_datagram(self, hello: Hello, sections: dict[str, bytes]) -> None:
        """Take a peer's hello and its sections, as the product's peers do."""
        if not self.wake_at(self.take_datagram, hello, sections):
            return
        now, address = self.world.now, hello.identity.address
        known = self.members.get_peer(address)
        last_timestamp = known.last_timestamp if known is not None else -1
        self._carry_out(self.members.handle(HelloReceived(hello), now))
        peer = self.members.get_peer(address)
        if peer is None or peer.identity != hello.identity:
            return
        if known is peer and hello.timestamp <= last_timestamp:
            return
        age = self.members.compute_age(peer, hello.timestamp, now)
        for name, content in sections.items():
            if name in self.sections:
                self.sections[name].take(msgpack.unpackb(content), age)
