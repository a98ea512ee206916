"""Decide whom to tell of requests that targets end under, and when."""

from __future__ import annotations

import hashlib
import random
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from tarragonward_core import Address
from tarragonward_membership import KnownPeer, SeedMembership
from tarragonward_membership.const import MAX_MESH_PEERS
from tarragonward_requests import SuspectEntry, SuspectTracker
from tarragonward_requests.const import RUN_ALONE_AFTER_CRASHES

from . import const as c
from .turns import Rotation

__all__ = ["SuspectGossip", "SuspectMessage", "choose_aggregators"]

RANK_BYTES = 8


@dataclass(frozen=True)
class SuspectMessage:
    """Tell these hosts of these requests now."""

    hosts: tuple[Address, ...]
    fingerprints: tuple[bytes, ...]


class SuspectGossip:
    """What one host tells of its ledger of suspects; times in seconds.

    In a small fleet all hosts hear of each crash. In a large one a first crash is told
    to a few hosts of each failure domain, chosen by the fingerprint, so that crashes
    seen by different hosts meet there; from the second on all are told at once. Rounds
    repeat what all should know, for hosts that start, wake or come back from a cut.
    """

    def __init__(
        self, ledger: SuspectTracker, members: SeedMembership, rng: random.Random
    ) -> None:
        self._ledger = ledger
        self._members = members
        self._random = rng
        self._due: dict[bytes, float] = {}
        self._rotation = Rotation()

    @property
    def due_at(self) -> float | None:
        """Return when something is to be told next, None for nothing."""
        return min(self._due.values(), default=None)

    def note_changed(
        self, fingerprint: bytes, now: float, delay: float = c.SUSPECT_BATCH_SECONDS
    ) -> None:
        """Note that the others should hear of a request, together with others."""
        self._due.setdefault(fingerprint, now + delay)

    def take_due(self, now: float) -> list[SuspectMessage]:
        """Return what is to be told now."""
        by_hosts: dict[tuple[Address, ...], list[bytes]] = defaultdict(list)
        for fingerprint in [f for f, due_at in self._due.items() if due_at <= now]:
            del self._due[fingerprint]
            by_hosts[self._choose_recipients(fingerprint)].append(fingerprint)
        size = c.MAX_SUSPECTS_PER_MESSAGE
        return [
            SuspectMessage(hosts, tuple(sent[start : start + size]))
            for hosts, sent in by_hosts.items()
            for start in range(0, len(sent), size)
        ]

    def build(self, fingerprints: Iterable[bytes], now: float) -> list[Any]:
        """Return what is known of these requests, as it travels."""
        entries = (self._ledger.build_entry(each, now) for each in fingerprints)
        return [entry.pack() for entry in entries if entry is not None]

    def choose_next(self) -> list[bytes]:
        """Return a few of those that all should know, others at each call."""
        known = [
            fingerprint
            for fingerprint, suspect in self._ledger.items()
            if len(suspect.crashes) >= RUN_ALONE_AFTER_CRASHES
        ]
        return self._rotation.take(known, c.MAX_SUSPECTS_PER_ROUND)

    def take(self, data: Iterable[Any], age: float, now: float) -> None:
        """Take what another host told; raise ValueError where it is malformed."""
        for item in data:
            entry = SuspectEntry.unpack(item)
            if self._ledger.merge(entry, now, age):
                turn = self._random.random() * c.SUSPECT_RELAY_JITTER_SECONDS
                self.note_changed(entry.fingerprint, now, turn)
            elif self._is_covered_by(entry):
                self._due.pop(entry.fingerprint, None)

    def _choose_recipients(self, fingerprint: bytes) -> tuple[Address, ...]:
        peers = self._members.get_peers()
        suspect = self._ledger.get(fingerprint)
        is_for_all = suspect is None or len(suspect.crashes) >= RUN_ALONE_AFTER_CRASHES
        if is_for_all or len(peers) <= MAX_MESH_PEERS:
            return tuple(peer.identity.address for peer in peers)
        return choose_aggregators(fingerprint, peers)

    def _is_covered_by(self, entry: SuspectEntry) -> bool:
        """Return whether all that this host knows of a request was just told."""
        suspect = self._ledger.get(entry.fingerprint)
        return suspect is not None and set(entry.crashes).issuperset(suspect.crashes)


def choose_aggregators(
    fingerprint: bytes, peers: Iterable[KnownPeer]
) -> tuple[Address, ...]:
    """Return the hosts, some of each failure domain, that hear of a first crash.

    Hosts with the same view choose the same; where views differ, most of them agree.
    A failure domain that is cut off has its own.
    """
    by_domain: dict[str, list[Address]] = defaultdict(list)
    for peer in peers:
        by_domain[peer.failure_domain].append(peer.identity.address)
    keepers: list[Address] = []
    for _, addresses in sorted(by_domain.items()):
        addresses.sort(key=lambda address: _rank(fingerprint, address))
        keepers += addresses[: c.SUSPECT_AGGREGATORS_PER_DOMAIN]
    return tuple(keepers)


def _rank(fingerprint: bytes, address: Address) -> bytes:
    name = fingerprint + str(address).encode()
    return hashlib.blake2b(name, digest_size=RANK_BYTES).digest()
