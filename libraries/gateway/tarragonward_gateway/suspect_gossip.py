"""Decide which hosts are sent which suspect requests, and when."""

from __future__ import annotations

import hashlib
import random
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from tarragonward_core import Address
from tarragonward_membership import KnownPeer, SeedMembership
from tarragonward_membership.const import MAX_MESH_PEERS

from . import const as c
from .joins import PeerJoins
from .turns import Rotation

__all__ = ["CrashTracker", "SuspectGossip", "SuspectMessage", "choose_aggregators"]

RANK_BYTES = 8
NOW = float("-inf")


class CrashTracker(Protocol):
    """What the exchange of suspects needs of a tracker of requests or segments."""

    def items(self) -> Iterable[tuple[bytes, Any]]:
        """Iterate over the suspects by fingerprint."""

    def is_for_all_hosts(self, fingerprint: bytes) -> bool:
        """Return whether all hosts should know of a suspect, not only a few."""

    def is_common(self, fingerprint: bytes) -> bool:
        """Return whether most prompts have it, so that all hosts see its answers."""

    def is_near_verdict(self, fingerprint: bytes) -> bool:
        """Return whether it has almost enough crashes to be refused."""

    def has_enough_crashes(self, fingerprint: bytes) -> bool:
        """Return whether it is refused unless something explains its crashes."""

    def build_entry(self, fingerprint: bytes, now: float) -> Any | None:
        """Return an entry with a fingerprint and pack(), None without a suspect."""

    def unpack_entry(self, item: Any) -> Any:
        """Parse a peer's entry; raise ValueError if it is malformed."""

    def merge(self, entry: Any, now: float, age: float) -> bool:
        """Merge a peer's entry; return whether the result should be relayed."""

    def is_covered_by(self, entry: Any) -> bool:
        """Return whether an entry contains all that this host knows."""


@dataclass(frozen=True)
class SuspectMessage:
    """Suspects to be sent to some hosts now."""

    hosts: tuple[Address, ...]
    fingerprints: tuple[bytes, ...]


class SuspectGossip:
    """Schedules what one host sends of its suspects; times in seconds.

    In a small fleet each crash is sent to all hosts. In a large one a first crash is
    sent to a few aggregators in each failure domain, chosen by the fingerprint, which
    add up the crashes that different hosts saw. From the second crash on, all hosts are
    notified at once. The gossip rounds repeat it for hosts that start, resume or
    reconnect; with tells_joined such a host is sent what is refused at once, in a small
    fleet.
    """

    def __init__(
        self,
        tracker: CrashTracker,
        members: SeedMembership,
        rng: random.Random,
        tells_joined: bool = False,
    ) -> None:
        self._tracker = tracker
        self._members = members
        self._random = rng
        self._due: dict[bytes, float] = {}
        self._rotation = Rotation()
        self._rounds = 0
        self._joins = PeerJoins(members.own) if tells_joined else None
        # Messages to peers that have just joined.
        self._catch_ups: list[SuspectMessage] = []

    @property
    def due_at(self) -> float | None:
        """Return when the next message is due, None if there is none."""
        if self._catch_ups:
            return NOW
        return min(self._due.values(), default=None)

    def record_round(self, now: float) -> None:
        """Schedule what is refused for peers that have joined since the last round."""
        if self._joins is None:
            return
        peers = self._members.get_peers()
        joined = self._joins.update(peers, now)
        # In a large fleet hosts learn of each other one by one, so a peer that is new
        # to this host has mostly been there for long.
        if not joined or len(peers) > MAX_MESH_PEERS:
            return
        refused = [
            fingerprint
            for fingerprint, _ in self._tracker.items()
            if self._tracker.has_enough_crashes(fingerprint)
        ]
        del refused[c.MAX_SUSPECTS_PER_JOINED_PEER :]
        for address in joined:
            self._catch_ups += _split_messages((address,), refused)

    def record_change(
        self, fingerprint: bytes, now: float, is_urgent: bool = True
    ) -> None:
        """Schedule a suspect to be sent, with all that change until then.

        What is not urgent waits for a random time, as other hosts may send it first.
        """
        delay = c.SUSPECT_BATCH_SECONDS
        if not is_urgent:
            delay = self._random.random() * c.SUSPECT_RELAY_JITTER_SECONDS
        due_at = min(now + delay, self._due.get(fingerprint, float("inf")))
        self._due[fingerprint] = due_at

    def take_due(self, now: float) -> list[SuspectMessage]:
        """Return the messages that are due now."""
        by_hosts: dict[tuple[Address, ...], list[bytes]] = defaultdict(list)
        for fingerprint in [f for f, due_at in self._due.items() if due_at <= now]:
            del self._due[fingerprint]
            by_hosts[self._choose_recipients(fingerprint)].append(fingerprint)
        messages, self._catch_ups = self._catch_ups, []
        for hosts, sent in by_hosts.items():
            messages += _split_messages(hosts, sent)
        return messages

    def build(self, fingerprints: Iterable[bytes], now: float) -> list[Any]:
        """Return the entries of these suspects in wire form."""
        entries = (self._tracker.build_entry(each, now) for each in fingerprints)
        return [entry.pack() for entry in entries if entry is not None]

    def choose_next(self) -> list[bytes]:
        """Return the next few of the suspects that all hosts should know.

        In a small fleet a round reaches all peers, so only some rounds have any.
        """
        self._rounds += 1
        is_mesh = len(self._members.get_peers()) <= MAX_MESH_PEERS
        if is_mesh and self._rounds % c.MESH_ROUNDS_PER_SUSPECT_ROUND:
            return []
        return self._rotation.take(self._list_public(), c.MAX_SUSPECTS_PER_ROUND)

    def merge(self, data: Iterable[Any], age: float, now: float) -> None:
        """Apply the entries of another host; raise ValueError if one is malformed."""
        for item in data:
            entry = self._tracker.unpack_entry(item)
            if self._tracker.merge(entry, now, age):
                self.record_change(entry.fingerprint, now, is_urgent=False)
            elif self._tracker.is_covered_by(entry):
                self._due.pop(entry.fingerprint, None)

    def _list_public(self) -> list[bytes]:
        """Return the suspects that all hosts should know."""
        return [
            fingerprint
            for fingerprint, _ in self._tracker.items()
            if self._tracker.is_for_all_hosts(fingerprint)
        ]

    def _choose_recipients(self, fingerprint: bytes) -> tuple[Address, ...]:
        peers = self._members.get_peers()
        everyone = tuple(peer.identity.address for peer in peers)
        if len(peers) <= MAX_MESH_PEERS:
            return everyone
        is_public = self._tracker.is_for_all_hosts(fingerprint)
        if is_public and not self._tracker.is_common(fingerprint):
            return everyone
        own = KnownPeer(
            self._members.own, 0.0, failure_domain=self._members.failure_domain
        )
        aggregators = choose_aggregators(fingerprint, (*peers, own))
        others = tuple(each for each in aggregators if each != own.identity.address)
        # After a mass crash each host has seen other crashes under what is common, and
        # all of them would tell all others.
        is_spreading = is_public and len(others) < len(aggregators)
        if is_spreading and self._tracker.is_near_verdict(fingerprint):
            return everyone
        return others

    def get_trial_delay(self, fingerprint: bytes) -> float:
        """Return by how many seconds this host's trials come later than others'.

        Hosts with the same view have a delay each, so that one of them begins and the
        others hear of it first.
        """
        own = _rank(fingerprint, self._members.own.address)
        peers = self._members.get_peers()
        earlier = sum(_rank(fingerprint, p.identity.address) < own for p in peers)
        steps = min(earlier, c.MAX_TRIAL_DELAY_STEPS)
        return steps * c.TRIAL_DELAY_STEP_SECONDS


def _split_messages(
    hosts: tuple[Address, ...], fingerprints: Sequence[bytes]
) -> list[SuspectMessage]:
    size = c.MAX_SUSPECTS_PER_MESSAGE
    return [
        SuspectMessage(hosts, tuple(fingerprints[start : start + size]))
        for start in range(0, len(fingerprints), size)
    ]


def choose_aggregators(
    fingerprint: bytes, peers: Iterable[KnownPeer]
) -> tuple[Address, ...]:
    """Return the hosts in each failure domain that are sent a first crash.

    Hosts with the same view choose the same ones, and hosts with different views still
    agree on most. A failure domain that is cut off has its own aggregators.
    """
    by_domain: dict[str, list[Address]] = defaultdict(list)
    for peer in peers:
        by_domain[peer.failure_domain].append(peer.identity.address)
    aggregators: list[Address] = []
    for _, addresses in sorted(by_domain.items()):
        addresses.sort(key=lambda address: _rank(fingerprint, address))
        aggregators += addresses[: c.SUSPECT_AGGREGATORS_PER_DOMAIN]
    return tuple(aggregators)


def _rank(fingerprint: bytes, address: Address) -> bytes:
    name = fingerprint + str(address).encode()
    return hashlib.blake2b(name, digest_size=RANK_BYTES).digest()
