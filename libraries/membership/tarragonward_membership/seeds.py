"""Decide which hosts are up without a host list, from seeds, hellos and time-outs."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import singledispatch
from operator import attrgetter

from tarragonward_core import Address, HostIdentity, invariants

from . import const as c
from .hellos import Hello, PeerEntry
from .seed_events import (
    HelloReceived,
    KnownPeer,
    PeerFound,
    PeerLost,
    RoundDue,
    SeedEffect,
    SeedEvent,
    SendHello,
)

__all__ = ["SeedMembership"]

MICROSECONDS_PER_SECOND = 1_000_000


@dataclass
class _RecentMaximum:
    """The highest number recorded within HOST_COUNT_RETENTION_SECONDS, about."""

    number: int = 0
    recorded_at: float = float("-inf")

    def get(self, now: float) -> int:
        """Return the number, or 0 if it has expired."""
        return (
            self.number
            if now - self.recorded_at < c.HOST_COUNT_RETENTION_SECONDS
            else 0
        )

    def record(self, number: int, now: float) -> None:
        """Record a number; a lower one is ignored until the highest expires."""
        if number >= self.get(now):
            self.number, self.recorded_at = number, now


class SeedMembership:
    """The other hosts by address: hints that may be out of date or wrong.

    Incarnations are random, as a diskless host can't remember the last one. Of two
    incarnations at an address the one heard from later is the newer. Gossiped entries
    carry their age, which only grows in transit, so an old entry can't pass for new.
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
        self._rng = rng
        self._started_at = now
        self._resumed_at = float("-inf")
        self._suspended_seconds = 0.0
        self._peers: dict[Address, KnownPeer] = {}
        self._lost_peers: dict[Address, KnownPeer] = {}
        self._seeds_contacted_at = float("-inf")
        self._byte_credit = 0.0
        self._cell_byte_credit = 0.0
        self._cell_peers: tuple[Address, ...] = ()
        self._cell_peers_sent_at: dict[Address, float] = {}
        self._round_at = now
        # Only the own count is gossiped. If counts reported by others were passed on
        # too, an old one would circulate between hosts forever.
        self._max_counted_hosts = _RecentMaximum()
        self._max_reported_hosts = _RecentMaximum()

    @property
    def failure_domain(self) -> str:
        """Return the failure domain of this host."""
        return self._failure_domain

    def handle(self, event: SeedEvent, now: float) -> list[SeedEffect]:
        """Handle an event and return its effects; now is in monotonic seconds."""
        return _handle(event, self, now)

    def record_suspension(self, seconds: float, now: float) -> None:
        """Record that the host was suspended for this long and has just resumed."""
        self._resumed_at = now
        self._suspended_seconds = seconds

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Apply the seeds of changed settings."""
        self._seeds = tuple(seed for seed in seeds if seed != self.own.address)

    def build_hello(self, now: float, is_brief: bool = False) -> Hello:
        """Return the hello to send now."""
        return Hello(
            self.own,
            self._name,
            self._failure_domain,
            int(now * MICROSECONDS_PER_SECOND),
            max(self.count_hosts(), self._max_counted_hosts.get(now)),
            self.is_leaving,
            () if is_brief else self._choose_entries(now),
        )

    def get_peers(self) -> tuple[KnownPeer, ...]:
        """Return the peers that have not timed out, including leaving ones."""
        return tuple(self._peers.values())

    def get_peer(self, address: Address) -> KnownPeer | None:
        """Return the peer at an address, or None."""
        return self._peers.get(address)

    @property
    def is_isolated(self) -> bool:
        """Return whether other hosts are configured as seeds, but no peer is known."""
        return bool(self._seeds) and not self._peers

    def get_known_addresses(self, now: float) -> frozenset[Address]:
        """Return the addresses of this host, its peers and recently lost peers."""
        oldest = now - c.HOST_COUNT_RETENTION_SECONDS
        lost = (a for a, peer in self._lost_peers.items() if peer.last_seen_at > oldest)
        return frozenset((self.own.address, *self._peers, *lost))

    def count_hosts(self) -> int:
        """Return the number of known hosts, including this one."""
        return len(self._peers) + 1

    def get_max_host_count(self, now: float) -> int:
        """Return the highest recent host count of this host and its peers.

        Shared limits are divided by this count. A host that is partitioned or has just
        started knows few others and would take too large a share. So the count includes
        what peers report, is never lower than the number of seeds, and is at least
        STARTUP_HOSTS_PER_SEED times that for HOST_COUNT_STARTUP_SECONDS after start.
        """
        floor = self._seed_count
        if now - self._started_at < c.HOST_COUNT_STARTUP_SECONDS:
            floor *= c.STARTUP_HOSTS_PER_SEED
        return max(floor, self.get_max_known_host_count(now))

    def get_max_known_host_count(self, now: float) -> int:
        """Return the highest recent host count without the minimum during start-up."""
        counted = self._max_counted_hosts.get(now), self._max_reported_hosts.get(now)
        return max(self._seed_count, self.count_hosts(), *counted)

    def _choose_entries(self, now: float) -> tuple[PeerEntry, ...]:
        count = c.GOSSIP_HELLO_ENTRIES
        if len(self._peers) <= c.MAX_MESH_PEERS:
            count = c.MESH_HELLO_ENTRIES
        peers = list(self._peers.values())
        # A random start gives turns to peers that were sent equally often.
        start = self._rng.randrange(len(peers)) if peers else 0
        rotated = peers[start:] + peers[:start]
        known = [peer for peer in rotated if not peer.is_leaving]
        known.sort(key=attrgetter("times_sent"))
        for peer in known[:count]:
            peer.times_sent += 1
        return tuple(
            PeerEntry(
                peer.identity, max(0.0, now - peer.last_seen_at), peer.failure_domain
            )
            for peer in known[:count]
        )

    @property
    def peer_timeout_seconds(self) -> float:
        """Return the silence after which a peer is removed."""
        hosts = max(len(self._peers), self._max_reported_hosts.number)
        by_size = c.PEER_TIMEOUT_SECONDS_PER_PEER * hosts
        return max(c.PEER_TIMEOUT_SECONDS, by_size)

    def apply_hello(self, hello: Hello, now: float) -> list[SeedEffect]:
        """Apply what a host announces about itself, then its entries of other hosts."""
        if hello.identity.address == self.own.address:
            return []
        known = self._peers.get(hello.identity.address)
        effects: list[SeedEffect] = []
        is_same_incarnation = known is not None and known.identity == hello.identity
        if known is None or not is_same_incarnation:
            if not self._has_room(known):
                return []
            if known is not None:
                effects.append(PeerLost(known.identity, known.name))
            known = self._add(PeerEntry(hello.identity, 0.0), now)
            # Answer at once: in a large fleet its turn in the rounds may be far off.
            effects += [
                PeerFound(hello.identity),
                SendHello((hello.identity.address,)),
            ]
        if hello.timestamp <= known.last_timestamp:
            return effects
        self._update_peer(known, hello, now)
        self._max_reported_hosts.record(hello.host_count, now)
        for entry in hello.entries:
            effects += self._apply_entry(entry, now)
        self._max_counted_hosts.record(self.count_hosts(), now)
        return effects

    def _update_peer(self, peer: KnownPeer, hello: Hello, now: float) -> None:
        peer.last_timestamp = hello.timestamp
        peer.name = hello.name
        peer.failure_domain = hello.failure_domain
        peer.is_leaving = hello.is_leaving
        delay = now - hello.timestamp / MICROSECONDS_PER_SECOND
        # A hello that waited in the socket buffer during a suspension may be the first
        # from its peer. It would set a minimum delay that includes the wait, and old
        # data would count as new. After RESUME_SETTLE_SECONDS the buffer has been read,
        # and later hellos show the actual delay.
        if now - self._resumed_at >= c.RESUME_SETTLE_SECONDS:
            peer.delay_uncertainty_seconds = 0.0
        elif peer.min_delay == float("inf"):
            peer.delay_uncertainty_seconds = self._suspended_seconds
        peer.min_delay = min(peer.min_delay, delay)
        peer.last_seen_at = max(peer.last_seen_at, now - (delay - peer.min_delay))
        peer.times_sent = 0

    def compute_age(self, peer: KnownPeer, timestamp: int, now: float) -> float:
        """Return by how many seconds a message's delay exceeds the peer's minimum.

        After a process pause the socket buffer holds messages that are seconds old, and
        their loads must not count as current. The clocks of two hosts differ by a
        constant, so the delay above the minimum is a good lower bound of the age.
        """
        late = now - timestamp / MICROSECONDS_PER_SECOND - peer.min_delay
        return max(0.0, late) + peer.delay_uncertainty_seconds

    def _apply_entry(self, entry: PeerEntry, now: float) -> list[SeedEffect]:
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
                known.times_sent = 0
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
        lost = self._lost_peers.pop(address, None)
        peer = KnownPeer(
            entry.identity,
            now - entry.age_seconds,
            failure_domain=entry.failure_domain,
        )
        if lost is not None and lost.identity == entry.identity:
            # A host that was suspended removes all peers, then reads what its socket
            # buffered. The first old message would set the minimum delay and count as
            # current; the delay known of the same incarnation shows how old it is.
            peer.min_delay, peer.last_timestamp = (
                lost.min_delay,
                lost.last_timestamp,
            )
        self._peers[address] = peer
        return peer

    def remove_silent(self, now: float) -> list[SeedEffect]:
        """Remove the peers that timed out."""
        limit = now - self.peer_timeout_seconds
        silent = [peer for peer in self._peers.values() if peer.last_seen_at < limit]
        for peer in silent:
            del self._peers[peer.identity.address]
            self._lost_peers[peer.identity.address] = peer
        while len(self._lost_peers) > c.MAX_LOST_PEERS:
            self._lost_peers.pop(next(iter(self._lost_peers)))
        return [PeerLost(peer.identity, peer.name) for peer in silent]

    def end_round(self, now: float) -> float:
        """Start the next round; return the seconds since the last one."""
        elapsed = max(0.0, now - self._round_at)
        self._round_at = now
        return elapsed

    def choose_receivers(
        self, now: float, hello_bytes: int, elapsed: float
    ) -> tuple[Address, ...]:
        """Return the receivers of this round's full hellos."""
        chosen = dict.fromkeys(self._choose_unknown(now))
        rate = self._get_rate_limit(
            c.MAX_GOSSIP_BYTES_PER_SECOND, c.FLEET_GOSSIP_BYTES_PER_SECOND
        )
        self._byte_credit = min(rate, self._byte_credit + rate * elapsed)
        self._byte_credit -= hello_bytes * len(chosen)
        peers = list(self._peers.values())
        if len(peers) <= c.MAX_MESH_PEERS:
            chosen.update(dict.fromkeys(peer.identity.address for peer in peers))
        else:
            chosen.update(dict.fromkeys(self._sample(peers, hello_bytes)))
        invariants.check(self.own.address not in chosen, "no_hello_to_itself")
        return tuple(chosen)

    def set_cell_peers(self, addresses: Collection[Address]) -> None:
        """Set the cell peers, which the rounds also reach in a large fleet."""
        if set(addresses) != set(self._cell_peers):
            self._cell_peers = tuple(sorted(addresses))
            self._cell_peers_sent_at = {
                address: self._cell_peers_sent_at[address]
                for address in self._cell_peers
                if address in self._cell_peers_sent_at
            }

    def get_cell_peers(self) -> list[Address]:
        """Return the addresses of the cell peers that are known."""
        return [address for address in self._cell_peers if address in self._peers]

    def choose_brief_receivers(
        self,
        full_receivers: Collection[Address],
        brief_hello_bytes: int,
        elapsed: float,
        now: float,
    ) -> tuple[Address, ...]:
        """Return the cell peers that get a brief hello, as they get no full one now.

        Cell peers need each other's sections often. The entries of other hosts are most
        of a full hello's bytes and spread without these messages. In a very large fleet
        the cell peers take turns, as many as the byte limit allows.
        """
        rate = self._get_rate_limit(
            c.MAX_CELL_GOSSIP_BYTES_PER_SECOND, c.FLEET_CELL_GOSSIP_BYTES_PER_SECOND
        )
        self._cell_byte_credit = min(rate, self._cell_byte_credit + rate * elapsed)
        if len(self._peers) <= c.MAX_MESH_PEERS:
            return ()
        waiting = [
            address
            for address in self.get_cell_peers()
            if address not in full_receivers and self._is_due(address, now)
        ]
        if brief_hello_bytes:
            room = int(max(0.0, self._cell_byte_credit) // brief_hello_bytes)
            waiting = waiting[:room]
        self._charge_cell_peers(waiting, brief_hello_bytes, now)
        return tuple(waiting)

    def _is_due(self, address: Address, now: float) -> bool:
        """Return whether it is time to send to a cell peer again.

        Important changes are sent to all cell peers at once. If tens of them were also
        sent to in each round, most of the traffic would repeat what they know.
        """
        if len(self._cell_peers) <= c.MAX_MESH_PEERS:
            return True
        sent_at = self._cell_peers_sent_at.get(address, float("-inf"))
        return now - sent_at >= c.CELL_REFRESH_SECONDS

    def choose_immediate_receivers(
        self, brief_hello_bytes: int, now: float, is_urgent: bool = False
    ) -> tuple[Address, ...]:
        """Return the receivers of an update to send outside the rounds.

        Its bytes are charged to the credit of the following rounds. Urgent updates are
        sent even if the credit is overdrawn by more than MAX_CELL_DEBT_SECONDS.
        """
        if len(self._peers) <= c.MAX_MESH_PEERS:
            return tuple(self._peers)
        rate = self._get_rate_limit(
            c.MAX_CELL_GOSSIP_BYTES_PER_SECOND, c.FLEET_CELL_GOSSIP_BYTES_PER_SECOND
        )
        is_overdrawn = self._cell_byte_credit < -rate * c.MAX_CELL_DEBT_SECONDS
        if is_overdrawn and not is_urgent:
            return ()
        cell_peers = self.get_cell_peers()
        self._charge_cell_peers(cell_peers, brief_hello_bytes, now)
        return tuple(cell_peers)

    def get_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of all peers."""
        return tuple(self._peers)

    def _charge_cell_peers(
        self, receivers: list[Address], brief_hello_bytes: int, now: float
    ) -> None:
        self._cell_byte_credit -= len(receivers) * brief_hello_bytes
        self._cell_peers_sent_at.update(dict.fromkeys(receivers, now))
        # The receivers go to the end of the order for the next round.
        rest = [address for address in self._cell_peers if address not in receivers]
        self._cell_peers = (*rest, *receivers)

    def _get_rate_limit(self, rate: float, fleet_rate: float) -> float:
        """Return the bytes per second that this host may send."""
        return min(rate, fleet_rate / self.count_hosts())

    def _choose_unknown(self, now: float) -> list[Address]:
        is_starting = now - self._started_at < c.SEED_STARTUP_SECONDS
        if not is_starting and now - self._seeds_contacted_at < c.SEED_RETRY_SECONDS:
            return []
        self._seeds_contacted_at = now
        unknown = [seed for seed in self._seeds if seed not in self._peers]
        if self._lost_peers:
            # After a network partition the two sides may share no live seed.
            unknown.append(self._rng.choice(list(self._lost_peers)))
        return unknown

    def _sample(self, peers: list[KnownPeer], hello_bytes: int) -> list[Address]:
        local_peers = [p for p in peers if p.failure_domain == self._failure_domain]
        chosen = []
        for _ in range(c.HELLO_FANOUT):
            if self._byte_credit < hello_bytes:
                break
            self._byte_credit -= hello_bytes
            is_any_domain = (
                not local_peers or self._rng.random() < c.CROSS_DOMAIN_HELLO_SHARE
            )
            chosen.append(self._rng.choice(peers if is_any_domain else local_peers))
        return [peer.identity.address for peer in chosen]


@singledispatch
def _handle(event: SeedEvent, members: SeedMembership, now: float) -> list[SeedEffect]:
    raise TypeError(f"unknown seed membership event: {event!r}")


@_handle.register
def _(event: HelloReceived, members: SeedMembership, now: float) -> list[SeedEffect]:
    return members.apply_hello(event.hello, now)


@_handle.register
def _(event: RoundDue, members: SeedMembership, now: float) -> list[SeedEffect]:
    lost = members.remove_silent(now)
    elapsed = members.end_round(now)
    receivers = members.choose_receivers(now, event.hello_bytes, elapsed)
    cell_peers = members.choose_brief_receivers(
        receivers, event.brief_hello_bytes, elapsed, now
    )
    return [
        *lost,
        SendHello(receivers),
        *([SendHello(cell_peers, is_brief=True)] if cell_peers else []),
    ]
