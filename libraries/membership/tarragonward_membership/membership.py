"""Decide which hosts are up, by host list, SWIM-style probes and gossip."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from functools import singledispatch

import msgpack

from tarragonward_core import Address, FrameError, HostIdentity, invariants

from . import const as c
from .demands import DemandDigest
from .doubts import UnconfirmedIncarnations
from .loads import LoadDigest
from .members import UNAVAILABLE_STATES, KnownHost, Members
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
from .sightings import IncarnationHistory
from .update_queue import UpdateQueue, get_record_size
from .watchers import choose_hosts

__all__ = ["Membership"]


@dataclass
class _Probe:
    address: Address
    sent_at: float
    deadline: float
    is_indirect: bool = False


class Membership:
    """View of the other hosts, kept by gossip.

    The view is a hint that may be out of date; no guarantee may depend on it.
    """

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
        self.update_queue = UpdateQueue()
        self._incarnations = IncarnationHistory()
        self._pending_probes: dict[int, _Probe] = {}
        self._last_probe_id = 0
        self._unconfirmed = UnconfirmedIncarnations()
        self._is_watcher_by_target: dict[str, bool] = {}
        self._host_list: tuple[ListedHost, ...] = ()
        self._suspects: set[Address] = set()
        self._rotation: list[Address] = []
        self._last_tick: float | None = None
        self._next_round = 0.0
        self._next_heartbeat = 0.0
        self._effects: list[Effect] = []
        self.configuration_sequence = 0
        self.loads = LoadDigest()
        self.demands = DemandDigest(identity.address, failure_domain)

    # Queries.

    def get_members(self) -> list[Member]:
        """Return all other hosts that are listed or have a record."""
        return [host.build_member() for host in self._members]

    def count_live_hosts(self) -> int:
        """Return the number of live hosts, including this one."""
        return 1 + self._members.count_live()

    def is_watcher(self, target_name: str, failure_domain: str) -> bool:
        """Return whether this host is one of the WATCHERS_PER_TARGET of a target.

        The hosts of the target's failure domain watch it; if none is available there,
        live hosts of the other domains take over.
        """
        if target_name not in self._is_watcher_by_target:
            own = self.identity.address
            hosts = self._get_watcher_candidates(failure_domain)
            watchers = choose_hosts(
                f"target {target_name}", hosts, c.WATCHERS_PER_TARGET
            )
            self._is_watcher_by_target[target_name] = own in watchers
        return self._is_watcher_by_target[target_name]

    def _get_watcher_candidates(self, failure_domain: str) -> list[Address]:
        available = self._members.get_available(failure_domain)
        if failure_domain == self.failure_domain:
            return [*available, self.identity.address]
        if available:
            return available
        live = [host.address for host in self._members if host.is_live]
        return [*live, self.identity.address]

    def is_gone(self, identity: HostIdentity, now: float) -> bool:
        """Return whether an incarnation of a host has ended, as far as is known here.

        It counts as ended if it was declared dead after suspicion, if another
        incarnation has since answered at its address, or if it has no record and its
        address does not answer probes for the suspicion time. The first call for an
        incarnation without a record starts these probes.
        """
        if identity == self.identity or self._was_paused(now):
            return False
        address = identity.address
        if address == self.identity.address:
            return True
        if self._incarnations.has_ended(address, identity.incarnation):
            return True
        host = self._members.get(address)
        if host is not None and host.record is not None:
            if host.record.identity == identity:
                return host.is_dead
        self._incarnations.record(address, identity.incarnation, now)
        self._unconfirmed.add(identity, now)
        return self._unconfirmed.is_silent(identity, self._get_suspicion_seconds(), now)

    def get_demand(self, now: float) -> dict[str, float]:
        """Return the demand on other live hosts in tokens per second by account."""
        live = [host for host in self._members if host.is_live]
        addresses = {host.address for host in live}
        domains = {host.failure_domain for host in live}
        local_hosts = sum(host.failure_domain == self.failure_domain for host in live)
        is_large_fleet = len(self._members) >= c.LARGE_FLEET_HOSTS
        return self.demands.get_demand(
            addresses, domains, now, local_hosts if is_large_fleet else 0
        )

    def set_leaving(self) -> None:
        """Announce that this host is draining."""
        self._raise_version(self._own.version + 1, RecordState.LEAVING)

    # Events.

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event and return its effects; now is in monotonic seconds."""
        self._effects = []
        self._handle_process_pause(now)
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
        """Return the message for a probe of a peer, or for the answer to its probe."""
        is_large_fleet = len(self._members) >= c.LARGE_FLEET_HOSTS
        spare_bytes = (
            c.MAX_DIGESTS_BYTES if is_large_fleet else c.MAX_DIGESTS_BYTES_SMALL
        )
        demand_bytes = (
            c.MAX_DEMANDS_BYTES if is_large_fleet else c.MAX_DEMANDS_BYTES_SMALL
        )
        receiver = self._members.get(address)
        record = receiver.record if receiver is not None else None
        domain = receiver.failure_domain if receiver is not None else ""
        is_local = domain == self.failure_domain
        records = self._choose_records(address)
        demands = self.demands.encode(demand_bytes, is_local, now)
        spare_bytes -= sum(get_record_size(r) for r in records) + len(
            msgpack.packb(demands)
        )
        return Gossip(
            incarnation=self.identity.incarnation,
            version=self._own.version,
            state=int(self._own.state),
            failure_domain=self.failure_domain,
            configuration_sequence=self.configuration_sequence,
            receiver_record=() if record is None else record.pack(),
            records=tuple(r.pack() for r in records),
            loads=self.loads.encode(max(spare_bytes, 0), is_local, now),
            demands=demands,
        )

    # Rounds.

    def _start_round(self, now: float) -> None:
        # Jitter keeps hosts that started together from probing in lockstep.
        round_seconds = get_round_seconds(len(self._members) + 1)
        self._next_round = now + round_seconds * self._rng.uniform(0.8, 1.2)
        self._members.remove_stale(now)
        for address in self._schedule.choose_probes(self._members):
            self._probe(address, now)

    def _probe(self, address: Address, now: float) -> None:
        self._last_probe_id += 1
        deadline = now + c.PROBE_TIMEOUT_SECONDS
        self._pending_probes[self._last_probe_id] = _Probe(address, now, deadline)
        message = self.build_gossip(address, now)
        self._effects.append(SendProbe(self._last_probe_id, address, message))

    def _expire_probes(self, now: float) -> None:
        for probe_id, probe in list(self._pending_probes.items()):
            if now < probe.deadline:
                continue
            if probe.is_indirect:
                del self._pending_probes[probe_id]
                self._handle_probe_failure(probe, now)
            else:
                self._request_indirect_probes(probe_id, probe, now)

    def _request_indirect_probes(
        self, probe_id: int, probe: _Probe, now: float
    ) -> None:
        """Ask other hosts to probe it: only the path from this host may be broken."""
        probe.is_indirect = True
        probe.deadline = now + c.INDIRECT_TIMEOUT_SECONDS
        host = self._members.get(probe.address)
        is_dead = host is None or host.is_dead
        if is_dead and not self._unconfirmed.has_address(probe.address):
            return
        for helper in self._schedule.choose_helpers(self._members, probe.address):
            self._effects.append(RequestIndirectProbe(probe_id, helper, probe.address))

    def _handle_probe_failure(self, probe: _Probe, now: float) -> None:
        self._unconfirmed.record_failure(probe.address, probe.sent_at)
        host = self._members.get(probe.address)
        if host is None:
            return
        if host.record is None:
            old_state, host.is_unreachable = host.state, True
            self._invalidate_watchers(host, old_state)
            return
        if (
            host.last_seen_at > probe.sent_at
            or host.record.state >= RecordState.SUSPECT
        ):
            return
        self._apply_record(_with_state(host.record, RecordState.SUSPECT), now)

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
        # Deaths are not gossiped. A host that was partitioned declares all others dead;
        # if its records were believed, live hosts would count as dead everywhere until
        # each had refuted. A received DEAD record counts as a suspicion, and every host
        # waits out the suspicion time itself.
        self.update_queue.discard(host.address)
        self._set_record(host, _with_state(record, RecordState.DEAD))

    def _update_heartbeat(self, now: float) -> None:
        """Raise the own version, which corrects hosts that consider this one dead."""
        hosts = len(self._members) + 1
        period = max(hosts * c.HEARTBEAT_SECONDS_PER_HOST, c.MIN_HEARTBEAT_SECONDS)
        self._next_heartbeat = now + period * self._rng.uniform(0.8, 1.2)
        self._raise_version(self._own.version + 1, self._own.state)

    def _raise_version(self, version: int, state: RecordState) -> None:
        invariants.check(
            version > self._own.version, "own_version_only_grows", found=version
        )
        self._own = MemberRecord(self.identity, version, state)

    # Process pauses.

    def _was_paused(self, now: float) -> bool:
        return (
            self._last_tick is not None
            and now - self._last_tick > c.PROCESS_PAUSE_SECONDS
        )

    def _handle_process_pause(self, now: float) -> None:
        # A paused process resumes with all probes overdue and would declare every other
        # host dead, although it did not read their answers itself. Dropping the probes
        # and restarting the suspicion timers is enough: nothing else here measures how
        # long the others have been silent.
        if self._was_paused(now):
            self._pending_probes.clear()
            self._unconfirmed.reset(now)
            for address in self._suspects:
                host = self._members.get(address)
                if host is not None:
                    host.suspect_until = now + self._get_suspicion_seconds()
        self._last_tick = now

    # Records.

    def _apply_direct_record(
        self, record: MemberRecord, domain: str, now: float
    ) -> None:
        host = self._apply_record(record, now)
        if host is None:
            return
        host.last_seen_at = now
        if host.listed is None and domain:
            host.failure_domain = domain

    def _apply_record(self, record: MemberRecord, now: float) -> KnownHost | None:
        """Apply a record if it takes precedence over the one held."""
        address = record.identity.address
        if address == self.identity.address:
            self._refute(record)
            return None
        host = self._members.get(address)
        if host is None:
            host = self._members.add_unlisted(address, now)
        if record.state is RecordState.DEAD:
            record = _with_state(record, RecordState.SUSPECT)
        if host is None or not _is_newer(record, host.record):
            return host
        self._incarnations.record(address, record.identity.incarnation, now)
        host.last_seen_at = now
        host.is_unreachable = False
        if record.state is RecordState.SUSPECT:
            host.suspect_until = now + self._get_suspicion_seconds()
            self._suspects.add(address)
        self._enqueue_update(host, record)
        self._set_record(host, record)
        return host

    def _enqueue_update(self, host: KnownHost, record: MemberRecord) -> None:
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
            else c.CHANGE_TRANSMISSIONS_PER_DOUBLING * doublings
        )
        self.update_queue.add(record, transmissions, is_heartbeat)

    def _set_record(self, host: KnownHost, record: MemberRecord) -> None:
        old_state = host.state
        host.record = record
        if host.state is not old_state:
            self._invalidate_watchers(host, old_state)
            self._effects.append(
                MemberChanged(record.identity, host.address, old_state, host.state)
            )

    def _invalidate_watchers(self, host: KnownHost, old_state: MemberState) -> None:
        """Clear the cached watchers if a host became available or unavailable.

        Choosing watchers again is expensive, so other changes keep the cache.
        """
        was_available = old_state not in UNAVAILABLE_STATES
        if was_available == (host.state not in UNAVAILABLE_STATES):
            return
        is_local = host.failure_domain == self.failure_domain
        if is_local or len(self._members.get_available(host.failure_domain)) <= 1:
            self._is_watcher_by_target.clear()

    def _refute(self, record: MemberRecord) -> None:
        """Exceed the version of a wrong record of this address."""
        if record != self._own and record.precedence >= self._own.precedence:
            self._raise_version(record.version + 1, self._own.state)

    def _apply_gossip(self, peer: Address, message: Gossip, now: float) -> None:
        if message.receiver_record:
            self._apply_record(MemberRecord.unpack(message.receiver_record), now)
        for item in message.records:
            self._apply_record(MemberRecord.unpack(item), now)
        self.loads.merge(message.loads, now)
        self.demands.merge(message.demands, now)
        if message.configuration_sequence > self.configuration_sequence:
            self._effects.append(
                PeerHasNewerConfiguration(peer, message.configuration_sequence)
            )

    def _choose_records(self, receiver: Address) -> list[MemberRecord]:
        """Return queued updates, then records in rotation to repair lost updates."""
        chosen = self.update_queue.take(c.MAX_RECORDS_BYTES, c.MAX_HEARTBEATS_BYTES)
        spare_bytes = c.MAX_HEARTBEATS_BYTES - sum(get_record_size(r) for r in chosen)
        for _ in range(max(spare_bytes // c.MAX_RECORD_BYTES, 0)):
            record = self._take_next_in_rotation()
            if record is not None and record.identity.address != receiver:
                chosen.append(record)
        return chosen

    def _take_next_in_rotation(self) -> MemberRecord | None:
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
    raise TypeError(f"unknown membership event: {event!r}")


@_handle.register
def _(event: HostListRead, membership: Membership, now: float) -> None:
    membership._members.apply_list(event.hosts, now)
    # Choosing watchers hashes every target with every host, and most lists that are
    # read have not changed.
    if event.hosts != membership._host_list:
        membership._host_list = event.hosts
        membership._is_watcher_by_target.clear()


@_handle.register
def _(event: Tick, membership: Membership, now: float) -> None:
    membership._expire_probes(now)
    membership._expire_suspicions(now)
    for address in membership._unconfirmed.take_due(now):
        membership._probe(address, now)
    if now >= membership._next_heartbeat:
        membership._update_heartbeat(now)
    if now >= membership._next_round:
        membership._start_round(now)


@_handle.register
def _(event: GossipReceived, membership: Membership, now: float) -> None:
    message = event.message
    membership._incarnations.record(event.peer.address, event.peer.incarnation, now)
    record = _build_sender_record(event.peer, message)
    membership._apply_direct_record(record, message.failure_domain, now)
    membership._apply_gossip(event.peer.address, message, now)
    answer = membership.build_gossip(event.peer.address, now)
    membership._effects.append(SendAnswer(answer))


@_handle.register
def _(event: ProbeAnswered, membership: Membership, now: float) -> None:
    probe = membership._pending_probes.pop(event.probe_id, None)
    if probe is None:
        return
    message = event.message
    peer = HostIdentity(probe.address, message.incarnation)
    membership._incarnations.record_answer(
        probe.address, peer.incarnation, probe.sent_at
    )
    membership._unconfirmed.record_answer(probe.address)
    membership._incarnations.record(probe.address, peer.incarnation, now)
    membership._apply_direct_record(
        _build_sender_record(peer, message), message.failure_domain, now
    )
    membership._apply_gossip(probe.address, message, now)


@_handle.register
def _(event: IndirectProbeAnswered, membership: Membership, now: float) -> None:
    probe = membership._pending_probes.get(event.probe_id)
    if probe is None or event.record.identity.address != probe.address:
        return
    del membership._pending_probes[event.probe_id]
    membership._unconfirmed.record_answer(probe.address)
    membership._apply_direct_record(event.record, "", now)


@_handle.register
def _(event: ProbeFailed, membership: Membership, now: float) -> None:
    probe = membership._pending_probes.get(event.probe_id)
    if probe is not None and not probe.is_indirect:
        membership._request_indirect_probes(event.probe_id, probe, now)


def _build_sender_record(peer: HostIdentity, message: Gossip) -> MemberRecord:
    try:
        state = RecordState(message.state)
    except ValueError as err:
        raise FrameError(f"unknown member state: {message.state}") from err
    return MemberRecord(peer, message.version, state)


def _with_state(record: MemberRecord, state: RecordState) -> MemberRecord:
    return MemberRecord(record.identity, record.version, state)


def _is_newer(record: MemberRecord, held: MemberRecord | None) -> bool:
    return held is None or record.precedence > held.precedence
