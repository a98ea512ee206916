"""Decide who is there: the host list says who should be, gossip finds out who is."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from functools import singledispatch

import msgpack

from tarragonward_core import Address, FrameError, HostIdentity, invariants

from . import const as c
from .demands import DemandDigest
from .doubts import Doubts
from .loads import LoadDigest
from .members import NOT_THERE, KnownHost, Members
from .messages import (
    Effect,
    Event,
    Gossip,
    GossipReceived,
    HostListRead,
    IndirectProbeAnswered,
    ListedHost,
    Member,
    MemberChanged,
    MemberRecord,
    MemberState,
    PeerHasNewerConfiguration,
    ProbeAnswered,
    ProbeFailed,
    RecordState,
    RequestIndirectProbe,
    SendAnswer,
    SendProbe,
    Tick,
)
from .probing import ProbeSchedule, get_round_seconds, get_suspicion_seconds
from .rumours import Rumours, measure_record
from .sightings import Sightings
from .watchers import choose_hosts

__all__ = ["Membership"]


@dataclass
class _Probe:
    address: Address
    sent_at: float
    deadline: float
    is_indirect: bool = False


class Membership:
    """Hold this host's view of the others: a hint, never ground for a promise."""

    def __init__(
        self,
        identity: HostIdentity,
        failure_domain: str = "",
        region: str = "",
        rng: random.Random | None = None,
    ) -> None:
        self.identity = identity
        self.failure_domain = failure_domain
        self._rng = rng or random.Random(identity.incarnation)
        self._own = MemberRecord(identity, 0, RecordState.ALIVE)
        self._members = Members(identity.address)
        self._schedule = ProbeSchedule(
            identity.address, failure_domain, region, self._rng
        )
        self.rumours = Rumours()
        self._sightings = Sightings()
        self._probes: dict[int, _Probe] = {}
        self._probe_number = 0
        self._doubts = Doubts()
        self._watched: dict[str, bool] = {}
        self._listed: tuple[ListedHost, ...] = ()
        self._suspects: set[Address] = set()
        self._rotation: list[Address] = []
        self._last_tick: float | None = None
        self._next_round = 0.0
        self._next_heartbeat = 0.0
        self._effects: list[Effect] = []
        self.configuration_sequence = 0
        self.loads = LoadDigest()
        self.demands = DemandDigest(identity.address, failure_domain)

    # What others ask.

    def get_members(self) -> list[Member]:
        """Return all other hosts that are listed or were heard of."""
        return [host.build_member() for host in self._members]

    def count_live_hosts(self) -> int:
        """Return how many hosts are there, this one with them."""
        return 1 + self._members.count_heard()

    def is_watcher(self, target_name: str, failure_domain: str) -> bool:
        """Return whether this host is one of the few of the domain for a target.

        Where a domain has no host left, hosts of all others take its targets over.
        """
        if target_name not in self._watched:
            own = self.identity.address
            hosts = self._get_watching_hosts(failure_domain)
            watchers = choose_hosts(f"target {target_name}", hosts, c.TARGET_WATCHERS)
            self._watched[target_name] = own in watchers
        return self._watched[target_name]

    def _get_watching_hosts(self, failure_domain: str) -> list[Address]:
        there = self._members.get_there(failure_domain)
        if failure_domain == self.failure_domain:
            return [*there, self.identity.address]
        if there:
            return there
        heard = [host.address for host in self._members if host.is_heard]
        return [*heard, self.identity.address]

    def is_gone(self, identity: HostIdentity, now: float) -> bool:
        """Return whether that life of a host is over, as far as this host can tell.

        True only where it was declared dead after suspicion, or another incarnation
        has answered at its address since. A life never heard of is probed, and the
        answer is known some seconds later.
        """
        if identity == self.identity or self._was_frozen(now):
            return False
        address = identity.address
        if address == self.identity.address:
            return True
        if self._sightings.is_over(address, identity.incarnation):
            return True
        host = self._members.get(address)
        if host is not None and host.record is not None:
            if host.record.identity == identity:
                return host.is_dead
        self._sightings.note(address, identity.incarnation, now)
        self._doubts.add(identity, now)
        return self._doubts.is_silent(identity, self._get_suspicion_seconds(), now)

    def get_demand(self, now: float) -> dict[str, float]:
        """Return tokens a second by client account on the other live hosts."""
        live = [host for host in self._members if host.is_heard]
        addresses = {host.address for host in live}
        domains = {host.failure_domain for host in live}
        near = sum(host.failure_domain == self.failure_domain for host in live)
        is_large = len(self._members) >= c.LARGE_FLEET_HOSTS
        return self.demands.get_demand(addresses, domains, now, near if is_large else 0)

    def set_leaving(self) -> None:
        """Tell the others that this host drains."""
        self._raise_version(self._own.version + 1, RecordState.LEAVING)

    # What happens.

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take an event and return what is to be done; now in monotonic seconds."""
        self._effects = []
        self._notice_freeze(now)
        _handle(event, self, now)
        invariants.check(
            self._own.identity == self.identity
            and self._own.state in (RecordState.ALIVE, RecordState.LEAVING),
            "own_record_is_own",
            found=self._own,
        )
        effects, self._effects = self._effects, []
        return effects

    def build_gossip(self, address: Address, now: float) -> Gossip:
        """Return what this host says to a peer now."""
        is_large = len(self._members) >= c.LARGE_FLEET_HOSTS
        spare = c.MAX_DIGESTS_BYTES if is_large else c.MAX_DIGESTS_BYTES_SMALL
        demand_bytes = c.MAX_DEMANDS_BYTES if is_large else c.MAX_DEMANDS_BYTES_SMALL
        belief = self._members.get(address)
        record = belief.record if belief is not None else None
        domain = belief.failure_domain if belief is not None else ""
        is_near = domain == self.failure_domain
        records = self._choose_records(address)
        demands = self.demands.take(demand_bytes, is_near, now)
        spare -= sum(measure_record(r) for r in records) + len(msgpack.packb(demands))
        return Gossip(
            incarnation=self.identity.incarnation,
            version=self._own.version,
            state=int(self._own.state),
            failure_domain=self.failure_domain,
            configuration_sequence=self.configuration_sequence,
            receiver_record=() if record is None else record.pack(),
            records=tuple(r.pack() for r in records),
            loads=self.loads.take(max(spare, 0), is_near, now),
            demands=demands,
        )

    # Rounds.

    def _start_round(self, now: float) -> None:
        # Spread by a random part, so that hosts started together don't keep step.
        length = get_round_seconds(len(self._members) + 1)
        self._next_round = now + length * self._rng.uniform(0.8, 1.2)
        self._members.forget_silent(now)
        for address in self._schedule.choose(self._members):
            self._probe(address, now)

    def _probe(self, address: Address, now: float) -> None:
        self._probe_number += 1
        deadline = now + c.PROBE_TIMEOUT_SECONDS
        self._probes[self._probe_number] = _Probe(address, now, deadline)
        message = self.build_gossip(address, now)
        self._effects.append(SendProbe(self._probe_number, address, message))

    def _expire_probes(self, now: float) -> None:
        for number, probe in list(self._probes.items()):
            if now < probe.deadline:
                continue
            if probe.is_indirect:
                del self._probes[number]
                self._suspect(probe, now)
            else:
                self._ask_helpers(number, probe, now)

    def _ask_helpers(self, number: int, probe: _Probe, now: float) -> None:
        """Let others try: one broken path is no death."""
        probe.is_indirect = True
        probe.deadline = now + c.INDIRECT_TIMEOUT_SECONDS
        host = self._members.get(probe.address)
        is_dead = host is None or host.is_dead
        if is_dead and not self._doubts.is_asked(probe.address):
            return
        for helper in self._schedule.choose_helpers(self._members, probe.address):
            self._effects.append(RequestIndirectProbe(number, helper, probe.address))

    def _suspect(self, probe: _Probe, now: float) -> None:
        self._doubts.note_failure(probe.address, probe.sent_at)
        host = self._members.get(probe.address)
        if host is None:
            return
        if host.record is None:
            old_state, host.is_unreachable = host.state, True
            self._note_watchers_changed(host, old_state)
            return
        if (
            host.last_seen_at > probe.sent_at
            or host.record.state >= RecordState.SUSPECT
        ):
            return
        self._take_record(_restate(host.record, RecordState.SUSPECT), now)

    def _expire_suspicions(self, now: float) -> None:
        for address in list(self._suspects):
            host = self._members.get(address)
            if host is None or host.state is not MemberState.SUSPECT:
                self._suspects.discard(address)
            elif now >= host.suspect_until:
                self._suspects.discard(address)
                self._declare_dead(host)

    def _declare_dead(self, host: KnownHost) -> None:
        record = host.record
        invariants.check(
            record is not None and record.state is RecordState.SUSPECT,
            "death_follows_suspicion",
            address=host.address,
        )
        if record is None:
            return
        # Nobody takes another's word for a death. A host that was cut off declares
        # everybody dead; were it believed, live hosts would be dead to all until each
        # had refuted. What is passed on counts as suspicion, and each host waits for
        # itself whether it is refuted.
        self.rumours.discard(host.address)
        self._replace(host, _restate(record, RecordState.DEAD))

    def _beat(self, now: float) -> None:
        """Raise the own version, by which hosts that took it for dead learn better."""
        hosts = len(self._members) + 1
        period = max(hosts * c.HEARTBEAT_SECONDS_A_HOST, c.MIN_HEARTBEAT_SECONDS)
        self._next_heartbeat = now + period * self._rng.uniform(0.8, 1.2)
        self._raise_version(self._own.version + 1, self._own.state)

    def _raise_version(self, version: int, state: RecordState) -> None:
        invariants.check(
            version > self._own.version, "own_version_only_grows", found=version
        )
        self._own = MemberRecord(self.identity, version, state)

    # A pause of this process.

    def _was_frozen(self, now: float) -> bool:
        return self._last_tick is not None and now - self._last_tick > c.FREEZE_SECONDS

    def _notice_freeze(self, now: float) -> None:
        # A paused process wakes with all probes overdue. Symptom: it declares every
        # other host dead, though it was itself that did not listen. Dropping the
        # probes and starting suspicions afresh is enough, as nothing else here
        # measures the others' silence.
        if self._was_frozen(now):
            self._probes.clear()
            self._doubts.start_again(now)
            for address in self._suspects:
                host = self._members.get(address)
                if host is not None:
                    host.suspect_until = now + self._get_suspicion_seconds()
        self._last_tick = now

    # Records.

    def _take_direct(self, record: MemberRecord, domain: str, now: float) -> None:
        host = self._take_record(record, now)
        if host is None:
            return
        host.last_seen_at = now
        if host.listed is None and domain:
            host.failure_domain = domain

    def _take_record(self, record: MemberRecord, now: float) -> KnownHost | None:
        """Take over a record if it is newer than the one held."""
        address = record.identity.address
        if address == self.identity.address:
            self._refute(record)
            return None
        host = self._members.get(address)
        if host is None:
            host = self._members.add_unlisted(address, now)
        if record.state is RecordState.DEAD:
            record = _restate(record, RecordState.SUSPECT)
        if host is None or not _is_newer(record, host.record):
            return host
        self._sightings.note(address, record.identity.incarnation, now)
        host.last_seen_at = now
        host.is_unreachable = False
        if record.state is RecordState.SUSPECT:
            host.suspect_until = now + self._get_suspicion_seconds()
            self._suspects.add(address)
        self._pass_on(host, record)
        self._replace(host, record)
        return host

    def _pass_on(self, host: KnownHost, record: MemberRecord) -> None:
        old = host.record
        is_heartbeat = (
            old is not None
            and old.identity == record.identity
            and old.state == record.state
        )
        doublings = math.ceil(math.log2(len(self._members) + 2))
        transmissions = (
            c.HEARTBEAT_TRANSMISSIONS
            if is_heartbeat
            else c.CHANGE_TRANSMISSIONS_A_DOUBLING * doublings
        )
        self.rumours.add(record, transmissions, is_heartbeat)

    def _replace(self, host: KnownHost, record: MemberRecord) -> None:
        old_state = host.state
        host.record = record
        if host.state is not old_state:
            self._note_watchers_changed(host, old_state)
            self._effects.append(
                MemberChanged(record.identity, host.address, old_state, host.state)
            )

    def _note_watchers_changed(self, host: KnownHost, old_state: MemberState) -> None:
        """Choose watchers anew, but only where hosts came or went: it is dear."""
        was_there = old_state not in NOT_THERE
        if was_there == (host.state not in NOT_THERE):
            return
        is_near = host.failure_domain == self.failure_domain
        if is_near or len(self._members.get_there(host.failure_domain)) <= 1:
            self._watched.clear()

    def _refute(self, record: MemberRecord) -> None:
        """Rise above what is said of this address, if it is not what is so."""
        if record != self._own and record.precedence >= self._own.precedence:
            self._raise_version(record.version + 1, self._own.state)

    def _take_news(self, peer: Address, message: Gossip, now: float) -> None:
        if message.receiver_record:
            self._take_record(MemberRecord.unpack(message.receiver_record), now)
        for item in message.records:
            self._take_record(MemberRecord.unpack(item), now)
        self.loads.merge(message.loads, now)
        self.demands.merge(message.demands, now)
        if message.configuration_sequence > self.configuration_sequence:
            self._effects.append(
                PeerHasNewerConfiguration(peer, message.configuration_sequence)
            )

    def _choose_records(self, receiver: Address) -> list[MemberRecord]:
        """Return rumours, then a few records in turn, so that none is missed."""
        chosen = self.rumours.take(c.MAX_RECORDS_BYTES, c.MAX_HEARTBEATS_BYTES)
        spare = c.MAX_HEARTBEATS_BYTES - sum(measure_record(r) for r in chosen)
        for _ in range(max(spare // c.MAX_RECORD_BYTES, 0)):
            record = self._take_rotated()
            if record is not None and record.identity.address != receiver:
                chosen.append(record)
        return chosen

    def _take_rotated(self) -> MemberRecord | None:
        if not self._rotation:
            self._rotation = [host.address for host in self._members if host.record]
            self._rng.shuffle(self._rotation)
        if not self._rotation:
            return None
        host = self._members.get(self._rotation.pop())
        return host.record if host is not None else None

    def _get_suspicion_seconds(self) -> float:
        return get_suspicion_seconds(len(self._members) + 1)


@singledispatch
def _handle(event: Event, membership: Membership, now: float) -> None:
    raise TypeError(f"not an event: {event!r}")


@_handle.register
def _(event: HostListRead, membership: Membership, now: float) -> None:
    membership._members.apply_list(event.hosts, now)
    # Choosing watchers anew hashes every target with every host; most lists are
    # read unchanged.
    if event.hosts != membership._listed:
        membership._listed = event.hosts
        membership._watched.clear()


@_handle.register
def _(event: Tick, membership: Membership, now: float) -> None:
    membership._expire_probes(now)
    membership._expire_suspicions(now)
    for address in membership._doubts.take_due(now):
        membership._probe(address, now)
    if now >= membership._next_heartbeat:
        membership._beat(now)
    if now >= membership._next_round:
        membership._start_round(now)


@_handle.register
def _(event: GossipReceived, membership: Membership, now: float) -> None:
    message = event.message
    membership._sightings.note(event.peer.address, event.peer.incarnation, now)
    record = _read_sender(event.peer, message)
    membership._take_direct(record, message.failure_domain, now)
    membership._take_news(event.peer.address, message, now)
    answer = membership.build_gossip(event.peer.address, now)
    membership._effects.append(SendAnswer(answer))


@_handle.register
def _(event: ProbeAnswered, membership: Membership, now: float) -> None:
    probe = membership._probes.pop(event.probe_id, None)
    if probe is None:
        return
    message = event.message
    peer = HostIdentity(probe.address, message.incarnation)
    membership._sightings.note_answer(probe.address, peer.incarnation, probe.sent_at)
    membership._doubts.note_answer(probe.address)
    membership._sightings.note(probe.address, peer.incarnation, now)
    membership._take_direct(_read_sender(peer, message), message.failure_domain, now)
    membership._take_news(probe.address, message, now)


@_handle.register
def _(event: IndirectProbeAnswered, membership: Membership, now: float) -> None:
    probe = membership._probes.get(event.probe_id)
    if probe is None or event.record.identity.address != probe.address:
        return
    del membership._probes[event.probe_id]
    membership._doubts.note_answer(probe.address)
    membership._take_direct(event.record, "", now)


@_handle.register
def _(event: ProbeFailed, membership: Membership, now: float) -> None:
    probe = membership._probes.get(event.probe_id)
    if probe is not None and not probe.is_indirect:
        membership._ask_helpers(event.probe_id, probe, now)


def _read_sender(peer: HostIdentity, message: Gossip) -> MemberRecord:
    try:
        state = RecordState(message.state)
    except ValueError as err:
        raise FrameError(f"not a member's state: {message.state}") from err
    return MemberRecord(peer, message.version, state)


def _restate(record: MemberRecord, state: RecordState) -> MemberRecord:
    return MemberRecord(record.identity, record.version, state)


def _is_newer(record: MemberRecord, held: MemberRecord | None) -> bool:
    return held is None or record.precedence > held.precedence
