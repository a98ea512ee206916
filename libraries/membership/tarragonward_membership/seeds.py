"""Decide who is there without a host list: from seeds, hellos and silence."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import singledispatch
from operator import attrgetter

from tarragonward_core import Address, HostIdentity, invariants

from . import const as c
from .hellos import Hello, PeerEntry

__all__ = [
    "SendHello",
    "HelloReceived",
    "PeerFound",
    "PeerLost",
    "RoundDue",
    "SeedEffect",
    "SeedEvent",
    "SeedMembership",
    "KnownPeer",
]

MICROSECONDS = 1_000_000


@dataclass
class KnownPeer:
    """Another host; last_seen_at is when anyone heard it, as far as this host was told.

    name is empty until the peer itself was heard, failure_domain until anyone told it.
    doubt_seconds is by how much the least delay may be too long.
    """

    identity: HostIdentity
    last_seen_at: float
    name: str = ""
    failure_domain: str = ""
    is_leaving: bool = False
    last_timestamp: int = -1
    least_delay: float = float("inf")
    doubt_seconds: float = 0.0
    told: int = 0


@dataclass
class _Peak:
    """The greatest number noted within the last minutes, or a little longer ago."""

    number: int = 0
    noted_at: float = float("-inf")

    def get(self, now: float) -> int:
        """Return the number, 0 where it is too old."""
        return self.number if now - self.noted_at < c.HOST_COUNT_MEMORY_SECONDS else 0

    def note(self, number: int, now: float) -> None:
        """Take a number in."""
        if number >= self.get(now):
            self.number, self.noted_at = number, now


@dataclass(frozen=True)
class RoundDue:
    """It is time to tell others; the bytes are what the last hellos took."""

    sent_bytes: int = 0
    brief_bytes: int = 0


@dataclass(frozen=True)
class HelloReceived:
    """A hello came, straight from its sender."""

    hello: Hello


@dataclass(frozen=True)
class SendHello:
    """Send a hello to these addresses; a brief one tells of no other hosts."""

    addresses: tuple[Address, ...]
    is_brief: bool = False


@dataclass(frozen=True)
class PeerFound:
    """A host, or a new life of one, is there."""

    identity: HostIdentity


@dataclass(frozen=True)
class PeerLost:
    """A host has been silent for long, or another life took its address."""

    identity: HostIdentity
    name: str


SeedEvent = RoundDue | HelloReceived
SeedEffect = SendHello | PeerFound | PeerLost


class SeedMembership:
    """The other hosts, by address; all of it is a hint that may be late or wrong.

    Incarnations are random, as a diskless host remembers none. Of two lives of one
    address the one heard later is the newer; ages travel with what is passed on and
    only grow on the way, so nothing old comes back as new.
    """

    def __init__(
        self,
        own: HostIdentity,
        name: str,
        failure_domain: str,
        seeds: Iterable[Address],
        rng: random.Random,
        now: float,
    ) -> None:
        self.own = own
        self.is_leaving = False
        self._name = name
        self._failure_domain = failure_domain
        listed = tuple(seeds)
        self._seeds = tuple(seed for seed in listed if seed != own.address)
        self._seed_count = max(1, len(listed))
        self._random = rng
        self._started_at = now
        self._woken_at = float("-inf")
        self._suspended_seconds = 0.0
        self._peers: dict[Address, KnownPeer] = {}
        self._lost: dict[Address, KnownPeer] = {}
        self._seeds_asked_at = float("-inf")
        self._credit = 0.0
        self._mates_credit = 0.0
        self._mates: tuple[Address, ...] = ()
        self._mates_told_at: dict[Address, float] = {}
        self._round_at = now
        # What this host itself counted, and what others did, are kept apart: told
        # on as one, an old figure would go from host to host for good.
        self._most_counted = _Peak()
        self._most_told = _Peak()

    def handle(self, event: SeedEvent, now: float) -> list[SeedEffect]:
        """Take an event; return what follows from it."""
        return _handle(event, self, now)

    def note_suspended(self, seconds: float, now: float) -> None:
        """Note that the host stood still for so long, until now."""
        self._woken_at = now
        self._suspended_seconds = seconds

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Take over the seeds of new settings."""
        self._seeds = tuple(seed for seed in seeds if seed != self.own.address)

    def build_hello(self, now: float, is_brief: bool = False) -> Hello:
        """Return what this host says now."""
        return Hello(
            self.own,
            self._name,
            self._failure_domain,
            int(now * MICROSECONDS),
            max(self.count_hosts(), self._most_counted.get(now)),
            self.is_leaving,
            () if is_brief else self._choose_entries(now),
        )

    def get_peers(self) -> tuple[KnownPeer, ...]:
        """Return the peers that were heard of lately, leaving ones too."""
        return tuple(self._peers.values())

    def get_peer(self, address: Address) -> KnownPeer | None:
        """Return the peer at an address, None where none is known there."""
        return self._peers.get(address)

    @property
    def is_isolated(self) -> bool:
        """Return whether there should be other hosts and none is known."""
        return bool(self._seeds) and not self._peers

    def get_known_addresses(self, now: float) -> frozenset[Address]:
        """Return the hosts known lately, this one and those lost since then too."""
        long_ago = now - c.HOST_COUNT_MEMORY_SECONDS
        lost = (a for a, peer in self._lost.items() if peer.last_seen_at > long_ago)
        return frozenset((self.own.address, *self._peers, *lost))

    def count_hosts(self) -> int:
        """Return how many hosts are there, this one with them."""
        return len(self._peers) + 1

    def get_max_host_count(self, now: float) -> int:
        """Return the most hosts that anyone heard of knew in the last minutes.

        A host that is cut off, or has just started, knows few. Symptom: it takes a
        large part of what all share. So the most counts, also as peers tell it, and
        never less than the seeds; in the first minute some more are guessed.
        """
        floor = self._seed_count
        if now - self._started_at < c.HOST_COUNT_GUESS_SECONDS:
            floor *= c.STARTUP_HOSTS_PER_SEED
        return max(floor, self.get_max_known_host_count(now))

    def get_max_known_host_count(self, now: float) -> int:
        """Return the same without a guess."""
        counted = self._most_counted.get(now), self._most_told.get(now)
        return max(self._seed_count, self.count_hosts(), *counted)

    def _choose_entries(self, now: float) -> tuple[PeerEntry, ...]:
        count = c.GOSSIP_HELLO_ENTRIES
        if len(self._peers) <= c.MAX_MESH_PEERS:
            count = c.MESH_HELLO_ENTRIES
        peers = list(self._peers.values())
        # From a place by chance, so that those told equally often come in turn.
        place = self._random.randrange(len(peers)) if peers else 0
        turned = peers[place:] + peers[:place]
        known = [peer for peer in turned if not peer.is_leaving]
        known.sort(key=attrgetter("told"))
        for peer in known[:count]:
            peer.told += 1
        return tuple(
            PeerEntry(
                peer.identity, max(0.0, now - peer.last_seen_at), peer.failure_domain
            )
            for peer in known[:count]
        )

    @property
    def peer_timeout_seconds(self) -> float:
        """Return the silence after which a peer is dropped."""
        hosts = max(len(self._peers), self._most_told.number)
        by_size = c.PEER_SILENT_SECONDS_A_PEER * hosts
        return max(c.PEER_SILENT_SECONDS, by_size)

    def take_hello(self, hello: Hello, now: float) -> list[SeedEffect]:
        """Take over what a host says of itself, then whom it knows."""
        if hello.identity.address == self.own.address:
            return []
        known = self._peers.get(hello.identity.address)
        effects: list[SeedEffect] = []
        is_same_life = known is not None and known.identity == hello.identity
        if known is None or not is_same_life:
            if not self._has_room(known):
                return []
            if known is not None:
                effects.append(PeerLost(known.identity, known.name))
            known = self._add(PeerEntry(hello.identity, 0.0), now)
            # In a large fleet a new host would wait long until its turn to be told.
            effects += [
                PeerFound(hello.identity),
                SendHello((hello.identity.address,)),
            ]
        if hello.timestamp <= known.last_timestamp:
            return effects
        self._note_hello(known, hello, now)
        self._most_told.note(hello.hosts, now)
        for entry in hello.entries:
            effects += self._take_entry(entry, now)
        self._most_counted.note(self.count_hosts(), now)
        return effects

    def _note_hello(self, peer: KnownPeer, hello: Hello, now: float) -> None:
        peer.last_timestamp = hello.timestamp
        peer.name = hello.name
        peer.failure_domain = hello.failure_domain
        peer.is_leaving = hello.is_leaving
        delay = now - hello.timestamp / MICROSECONDS
        # What lay in the socket of a host that stood still may be the first that it
        # has from a peer. Symptom: old word sets the least delay, and counts as fresh.
        # The socket is empty moments later, and what comes then shows the true delay.
        if now - self._woken_at >= c.WOKEN_SECONDS:
            peer.doubt_seconds = 0.0
        elif peer.least_delay == float("inf"):
            peer.doubt_seconds = self._suspended_seconds
        peer.least_delay = min(peer.least_delay, delay)
        peer.last_seen_at = max(peer.last_seen_at, now - (delay - peer.least_delay))
        peer.told = 0

    def compute_age(self, peer: KnownPeer, stamp: int, now: float) -> float:
        """Return how much longer than at best a message of a stamp was on its way.

        After a pause, messages of before it lie in the socket. Symptom: seconds old
        loads are taken for fresh. The clocks of two hosts differ by a constant, so
        the delay above the least seen bounds the age from below well enough.
        """
        late = now - stamp / MICROSECONDS - peer.least_delay
        return max(0.0, late) + peer.doubt_seconds

    def _take_entry(self, entry: PeerEntry, now: float) -> list[SeedEffect]:
        address = entry.identity.address
        is_old = entry.age_seconds > self.peer_timeout_seconds
        if address == self.own.address or (is_old and address not in self._peers):
            return []
        known = self._peers.get(address)
        last_seen_at = now - entry.age_seconds
        if known is None:
            if not self._has_room(None):
                return []
            self._add(entry, now)
            return [PeerFound(entry.identity)]
        if known.identity == entry.identity:
            known.failure_domain = known.failure_domain or entry.failure_domain
            if last_seen_at > known.last_seen_at + c.HELLO_INTERVAL_SECONDS:
                known.told = 0
            known.last_seen_at = max(known.last_seen_at, last_seen_at)
        elif last_seen_at > known.last_seen_at + c.HELLO_INTERVAL_SECONDS:
            self._add(entry, now)
            return [
                PeerLost(known.identity, known.name),
                PeerFound(entry.identity),
            ]
        return []

    def _has_room(self, known: KnownPeer | None) -> bool:
        return known is not None or len(self._peers) < c.MAX_SEED_PEERS

    def _add(self, entry: PeerEntry, now: float) -> KnownPeer:
        address = entry.identity.address
        lost = self._lost.pop(address, None)
        peer = KnownPeer(
            entry.identity,
            now - entry.age_seconds,
            failure_domain=entry.failure_domain,
        )
        if lost is not None and lost.identity == entry.identity:
            # A host that stood still drops all, then takes what lay in its socket.
            # Symptom: the first of it sets the least delay, so old word counts as
            # fresh. What was known of the same life tells how late it is.
            peer.least_delay, peer.last_timestamp = (
                lost.least_delay,
                lost.last_timestamp,
            )
        self._peers[address] = peer
        return peer

    def remove_silent(self, now: float) -> list[SeedEffect]:
        """Drop who was silent for long."""
        limit = now - self.peer_timeout_seconds
        silent = [peer for peer in self._peers.values() if peer.last_seen_at < limit]
        for peer in silent:
            del self._peers[peer.identity.address]
            self._lost[peer.identity.address] = peer
        while len(self._lost) > c.MAX_LOST_PEERS:
            self._lost.pop(next(iter(self._lost)))
        return [PeerLost(peer.identity, peer.name) for peer in silent]

    def end_round(self, now: float) -> float:
        """Return how many seconds the last round took."""
        elapsed = max(0.0, now - self._round_at)
        self._round_at = now
        return elapsed

    def choose_greeted(
        self, now: float, sent_bytes: int, elapsed: float
    ) -> tuple[Address, ...]:
        """Return whom to tell in this round."""
        chosen = dict.fromkeys(self._choose_unheard(now))
        rate = self._limit_rate(c.MAX_GOSSIP_BYTES_PER_SECOND, c.FLEET_GOSSIP_BYTES)
        self._credit = min(rate, self._credit + rate * elapsed)
        self._credit -= sent_bytes * len(chosen)
        peers = list(self._peers.values())
        if len(peers) <= c.MAX_MESH_PEERS:
            chosen.update(dict.fromkeys(peer.identity.address for peer in peers))
        else:
            chosen.update(dict.fromkeys(self._sample(peers, sent_bytes)))
        invariants.check(self.own.address not in chosen, "no_hello_to_itself")
        return tuple(chosen)

    def set_cell_peers(self, addresses: Collection[Address]) -> None:
        """Tell the hosts of these addresses in each round, also in a large fleet."""
        if set(addresses) != set(self._mates):
            self._mates = tuple(sorted(addresses))
            self._mates_told_at = {
                mate: self._mates_told_at[mate]
                for mate in self._mates
                if mate in self._mates_told_at
            }

    def get_cell_peers(self) -> list[Address]:
        """Return the addresses of the mates that are there."""
        return [address for address in self._mates if address in self._peers]

    def choose_brief(
        self,
        greeted: Collection[Address],
        brief_bytes: int,
        elapsed: float,
        now: float,
    ) -> tuple[Address, ...]:
        """Return the mates that this round's whole hellos leave out.

        Mates want each other's sections often; word of other hosts spreads without
        them, and is most of a hello's bytes. In a very large fleet they are told in
        turn, as many as the bytes allow.
        """
        rate = self._limit_rate(c.MAX_MATES_BYTES_PER_SECOND, c.FLEET_MATES_BYTES)
        self._mates_credit = min(rate, self._mates_credit + rate * elapsed)
        if len(self._peers) <= c.MAX_MESH_PEERS:
            return ()
        waiting = [
            mate
            for mate in self.get_cell_peers()
            if mate not in greeted and self._is_due(mate, now)
        ]
        if brief_bytes:
            room = int(max(0.0, self._mates_credit) // brief_bytes)
            waiting = waiting[:room]
        self._spend_on_mates(waiting, brief_bytes, now)
        return tuple(waiting)

    def _is_due(self, mate: Address, now: float) -> bool:
        """Return whether a mate's turn has come to be told again.

        Tens of mates are told at once of all that counts. Symptom, were they told in
        each round besides: most of what each host sends and reads says nothing new.
        """
        if len(self._mates) <= c.MAX_MESH_PEERS:
            return True
        told_at = self._mates_told_at.get(mate, float("-inf"))
        return now - told_at >= c.MATES_ROUND_SECONDS

    def choose_immediate_receivers(
        self, brief_bytes: int, now: float, is_urgent: bool = False
    ) -> tuple[Address, ...]:
        """Return whom to tell at once; the rounds after it pay for its bytes.

        What is urgent is told also where rounds can't pay for it soon.
        """
        if len(self._peers) <= c.MAX_MESH_PEERS:
            return tuple(self._peers)
        rate = self._limit_rate(c.MAX_MATES_BYTES_PER_SECOND, c.FLEET_MATES_BYTES)
        is_in_debt = self._mates_credit < -rate * c.MATES_DEBT_SECONDS
        if is_in_debt and not is_urgent:
            return ()
        mates = self.get_cell_peers()
        self._spend_on_mates(mates, brief_bytes, now)
        return tuple(mates)

    def get_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of all that are there."""
        return tuple(self._peers)

    def _spend_on_mates(
        self, told: list[Address], brief_bytes: int, now: float
    ) -> None:
        self._mates_credit -= len(told) * brief_bytes
        self._mates_told_at.update(dict.fromkeys(told, now))
        # Who was told comes last in the next round.
        rest = [mate for mate in self._mates if mate not in told]
        self._mates = (*rest, *told)

    def _limit_rate(self, rate: float, fleet_rate: float) -> float:
        """Return the bytes a second that one of so many hosts may tell."""
        return min(rate, fleet_rate / self.count_hosts())

    def _choose_unheard(self, now: float) -> list[Address]:
        is_hurried = now - self._started_at < c.SEED_HURRY_SECONDS
        if not is_hurried and now - self._seeds_asked_at < c.SEED_RETRY_SECONDS:
            return []
        self._seeds_asked_at = now
        asked = [seed for seed in self._seeds if seed not in self._peers]
        if self._lost:
            # Both sides of a healed cut may know no common seed that is alive.
            asked.append(self._random.choice(list(self._lost)))
        return asked

    def _sample(self, peers: list[KnownPeer], sent_bytes: int) -> list[Address]:
        near = [p for p in peers if p.failure_domain == self._failure_domain]
        chosen = []
        for _ in range(c.HELLO_FANOUT):
            if self._credit < sent_bytes:
                break
            self._credit -= sent_bytes
            is_far = not near or self._random.random() < c.CROSS_DOMAIN_HELLO_SHARE
            chosen.append(self._random.choice(peers if is_far else near))
        return [peer.identity.address for peer in chosen]


@singledispatch
def _handle(event: SeedEvent, members: SeedMembership, now: float) -> list[SeedEffect]:
    raise TypeError(f"not an event: {event!r}")


@_handle.register
def _(event: HelloReceived, members: SeedMembership, now: float) -> list[SeedEffect]:
    return members.take_hello(event.hello, now)


@_handle.register
def _(event: RoundDue, members: SeedMembership, now: float) -> list[SeedEffect]:
    lost = members.remove_silent(now)
    elapsed = members.end_round(now)
    greeted = members.choose_greeted(now, event.sent_bytes, elapsed)
    mates = members.choose_brief(greeted, event.brief_bytes, elapsed, now)
    return [
        *lost,
        SendHello(greeted),
        *([SendHello(mates, is_brief=True)] if mates else []),
    ]
