"""One host of the propagation runs: the product's decisions in simulated time."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import msgpack

from tarragonward_core import Address, HostIdentity
from tarragonward_gateway import const as gateway_const
from tarragonward_gateway import get_epoch
from tarragonward_gateway.follow_events import (
    ConfirmationAged,
    FollowEvent,
    HistoryLost,
    MarkConfirmed,
    PageRead,
    Pause,
    PeerDataApplied,
    PeerPullFailed,
    PeerReported,
    PullFromPeer,
    QuerySource,
    ReadAll,
    SourceAnswered,
    SourceFailed,
    Step,
)
from tarragonward_gateway.following import Follower
from tarragonward_gateway.paged_read import PagedRead
from tarragonward_gateway.ports import Page, Record, Records
from tarragonward_gateway.pulls import PullLimit
from tarragonward_gateway.readers import KnownHost, PollingOrder, choose_polling_order
from tarragonward_gateway.record_exchange import pack_age, unpack_age
from tarragonward_gateway.record_store import RecordBatch, RecordStore
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
from tarragonward_placement import LocatedMember
from tarragonward_wire import const as wire_const

from .transfers import RecordSizes, Transfer, Transfers
from .world import TABLE_KEY, Answer, FakeSource, Links, NoResponse, World

# The latest revision, its confirmed age as packed for the wire, the table's version.
PublicationSection = tuple[int, int | None, int]

__all__ = ["Fleet", "Host", "build_address"]

PORT = 7_340
SEED_COUNT = 3
# The size of a digest of three prompts in flight, which most hellos carry.
DIGEST_BYTES = 170
CELL_UPDATE_INTERVAL_SECONDS = 1.0
HOSTS_PER_OCTET = 200


def build_address(number: int) -> Address:
    """Return the address of a host by its number."""
    host = f"10.{number // HOSTS_PER_OCTET}.0.{number % HOSTS_PER_OCTET + 1}"
    return Address(host, PORT)


def _get_version(record: Record) -> int | None:
    is_table = record.key == TABLE_KEY and record.value is not None
    return int(record.value) if is_table else None


@dataclass
class Fleet:
    """What all hosts of a run share: clock, source, network, and hosts by address."""

    world: World
    source: FakeSource
    links: Links
    domains: int
    sizes: RecordSizes
    transfers: Transfers
    hosts: dict[Address, Host] = field(default_factory=dict)
    sent_bytes: int = 0
    messages: int = 0


@dataclass(frozen=True)
class _SourceCall:
    """One call to the source: its number, its time, and the revision it reads after.

    suspended_seconds is the total time that the host had been paused by then.
    """

    call_id: int
    sent_at: float
    after: int
    suspended_seconds: float


class Host:
    """One incarnation of a host, with the gateway's tasks simulated by events."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet, self._world = fleet, fleet.world
        self.number = number
        self.domain = f"domain-{number % fleet.domains}"
        self.address = build_address(number)
        rng = random.Random(self._world.random.random())
        self._random = rng
        identity = HostIdentity(self.address, rng.getrandbits(48))
        seeds = [build_address(seed) for seed in range(SEED_COUNT)]
        self.members = SeedMembership(
            identity, f"host-{number}", self.domain, seeds, rng, self._world.now
        )
        delay = 0.0 if number < SEED_COUNT else gateway_const.START_WAIT_SECONDS
        self.follower = Follower(rng, self._world.now, delay)
        self._paged_read = PagedRead()
        self._open_answers = 0
        self._pulls = PullLimit()
        self._incoming: Transfer | None = None
        self.record_store = RecordStore(_get_version)
        self.version = 0
        self._has_announced = False
        self.confirmed_at = -math.inf
        self.is_dead = False
        self.paused_until = -math.inf
        self._suspended_seconds = self._reported_suspension = 0.0
        self._call_id = 0
        self._hello_bytes = self._brief_hello_bytes = 0
        self._cell_updated_at = -math.inf
        self.polling_order = PollingOrder(1, 0)
        self._run_gossip_round()
        self._run_follower()

    def pause(self, until: float) -> None:
        """Pause the host's process until a time."""
        self._suspended_seconds += max(
            0.0, until - max(self._world.now, self.paused_until)
        )
        self.paused_until = max(until, self.paused_until)

    def learn_all_hosts(self) -> None:
        """Add all hosts of the fleet to the host's members."""
        now = self._world.now
        entries = tuple(
            PeerEntry(host.members.own, 0.0, host.domain)
            for host in self._fleet.hosts.values()
        )
        other = next(h for h in self._fleet.hosts.values() if h is not self)
        hello = replace(other.members.build_hello(now), entries=entries)
        self.members.handle(HelloReceived(hello), now)
        self._update_cell()

    # Events for a paused host are handled when it resumes.

    def _run_or_defer(self, action: Callable[..., None], *details: Any) -> bool:
        """Return whether the host runs; if it is paused, run action when it resumes."""
        if self.is_dead:
            return False
        if self._world.now < self.paused_until:
            self._world.schedule_at(self.paused_until, lambda: action(*details))
            return False
        return True

    def _run_follower(self, call_id: int = 0) -> None:
        if call_id != self._call_id or not self._run_or_defer(
            self._run_follower, call_id
        ):
            return
        now = self._world.now
        step = self._choose_step(now)
        self._cancel_incoming()
        self._call_id += 1
        call_id = self._call_id
        if isinstance(step, Pause):
            self._world.schedule_after(
                step.seconds, lambda: self._run_follower(call_id)
            )
            return
        self._send_call(step, call_id)

    def _choose_step(self, now: float) -> Step:
        return self.follower.choose_step(
            self.polling_order, now - self.confirmed_at, now
        )

    def _send_call(self, step: Step, call_id: int) -> None:
        call = _SourceCall(
            call_id,
            self._world.now,
            self.record_store.complete_revision,
            self._suspended_seconds,
        )
        source = self._fleet.source
        timeout = gateway_const.READ_SILENCE_TIMEOUT_SECONDS
        if not isinstance(step, ReadAll):
            timeout = step.seconds + gateway_const.WATCH_SILENCE_TIMEOUT_SECONDS
        self._world.schedule_after(timeout, lambda: self._time_out_call(call))
        if self._fleet.links.is_cut_off_from_source(self.number):
            source.calls += 1
        elif isinstance(step, ReadAll):
            key = self._paged_read.get_after_key(self._world.now)
            source.read_page(self.number, key, lambda a: self._start_transfer(call, a))
        else:
            source.watch(
                self.number,
                call.after,
                step.seconds,
                lambda a: self._start_transfer(call, a),
            )
        self._check_confirmed_age(call_id)

    def _time_out_call(self, call: _SourceCall) -> None:
        if self._incoming is None:
            self._handle_answer(call, NoResponse())

    def _start_transfer(self, call: _SourceCall, answer: Answer) -> None:
        """Start the transfer of the source's answer over this host's link."""
        if call.call_id != self._call_id or isinstance(answer, NoResponse):
            self._handle_answer(call, answer)
            return
        sent_at = self._world.now

        def complete() -> None:
            age = self._world.now - sent_at
            is_watch = isinstance(answer, Records)
            aged = replace(answer, age_seconds=age) if is_watch else answer
            self._handle_answer(call, aged)

        size = self._fleet.sizes.compute_source_bytes(answer.records)
        self._incoming = self._fleet.transfers.start(None, self.number, size, complete)
        self._world.schedule_after(
            wire_const.MAX_TRANSFER_SECONDS,
            lambda: self._handle_answer(call, NoResponse()),
        )

    def _cancel_incoming(self) -> None:
        if self._incoming is not None:
            self._fleet.transfers.cancel(self._incoming)
            self._incoming = None

    def _check_confirmed_age(self, call_id: int) -> None:
        if call_id != self._call_id or not self._run_or_defer(
            self._check_confirmed_age, call_id
        ):
            return
        age = self._world.now - self.confirmed_at
        self._handle(ConfirmationAged(age))
        remaining = gateway_const.MAX_CONFIRMED_AGE_SECONDS - age
        delay = max(remaining, gateway_const.CONFIRMED_AGE_CHECK_SECONDS)
        self._world.schedule_after(delay, lambda: self._check_confirmed_age(call_id))

    def _handle_answer(self, call: _SourceCall, answer: Answer) -> None:
        if call.call_id != self._call_id:
            return
        self._incoming = None
        if not self._run_or_defer(self._handle_answer, call, answer):
            return
        if self._fleet.links.is_cut_off_from_source(self.number):
            answer = NoResponse()
        if isinstance(answer, NoResponse):
            if answer.is_history_lost:
                self._paged_read.clear()
            self._handle(HistoryLost() if answer.is_history_lost else SourceFailed())
        elif isinstance(answer, Page):
            self._handle(self._take_page(answer, call.sent_at))
        else:
            applied = self.apply(
                RecordBatch(answer.records, answer.revision, False), call.after
            )
            is_gap = not answer.records and answer.revision > call.after
            age = answer.age_seconds + self._suspended_seconds - call.suspended_seconds
            self._handle(SourceAnswered(bool(applied), is_gap, age))
            if self.polling_order.group:
                self._announce_records(bool(applied))
        self._run_follower(self._call_id)

    def _take_page(self, page: Page, sent_at: float) -> SourceAnswered | PageRead:
        read = self._paged_read.add_page(page, sent_at)
        if read is None:
            return PageRead()
        batch = RecordBatch(read.records, read.revision, True)
        applied = self.apply(batch, self.record_store.complete_revision)
        if not self._has_announced:
            self._has_announced = True
            self._announce_records_to(self.members.get_addresses())
        age = self._paged_read.compute_age(self._world.now)
        return SourceAnswered(bool(applied), age_seconds=age)

    def apply(self, batch: RecordBatch, after: int) -> list[Record]:
        """Apply records, and put a new table in force."""
        applied = self.record_store.apply(batch, after)
        for record in applied:
            if record.key == TABLE_KEY and record.value is not None:
                version = int(record.value)
                # Only a source that came back from a copy is sent a table again.
                is_repeat = version == self.version and get_epoch(record.revision) > 0
                assert is_repeat or version > self.version, (
                    "a table's version did not increase"
                )
                self.version = version
        return applied

    def _handle(self, event: FollowEvent) -> None:
        now = self._world.now
        hosts = self.members.count_hosts()
        for effect in self.follower.handle(
            event, self.record_store.complete_revision, hosts, now
        ):
            if isinstance(effect, MarkConfirmed):
                self.confirmed_at = max(self.confirmed_at, now - effect.age_seconds)
            elif isinstance(effect, PullFromPeer) and self._pulls.begin(now):
                self._pull(effect)
            elif isinstance(effect, QuerySource):
                self._call_id += 1
                call_id = self._call_id
                self._world.schedule_after(0.0, lambda: self._run_follower(call_id))

    def _pull(self, effect: PullFromPeer) -> None:
        name = effect.name
        other = build_address(int(name.rpartition("-")[2]))
        after = 0 if effect.is_full else self.record_store.complete_revision
        sent_at = self._world.now
        fleet = self._fleet

        def end_pull() -> None:
            self._pulls.end(sent_at)

        def fail() -> None:
            end_pull()
            if self._run_or_defer(fail):
                self._handle(PeerPullFailed(name))

        def fail_later() -> None:
            delay = self._random.random() * gateway_const.MAX_NEXT_PEER_DELAY_SECONDS
            self._world.schedule_after(delay, fail)

        def answer() -> None:
            peer = fleet.hosts[other]
            is_cut = fleet.links.is_cut(self.number, peer.number)
            if peer.is_dead or is_cut or self._world.now < peer.paused_until:
                self._world.schedule_after(
                    gateway_const.PEER_PULL_TIMEOUT_SECONDS, fail_later
                )
                return
            if peer.is_refusing_pulls:
                fail_later()
                return
            batch = peer.record_store.get_since(after)
            age = self._world.now - peer.confirmed_at
            peer.send_records(
                batch, self, lambda: apply(batch, age, peer.number), fail_later
            )

        def apply(batch: RecordBatch, age: float, number: int) -> None:
            end_pull()
            if fleet.links.is_cut(self.number, number):
                return
            if self._run_or_defer(apply, batch, age, number):
                self.apply(batch, after)
                self._handle(PeerDataApplied())
                if not self._has_announced:
                    self._has_announced = True
                    self._announce_records(True)
                if batch.complete_revision >= self.record_store.latest_revision:
                    self.confirmed_at = max(self.confirmed_at, sent_at - age)

        self._world.schedule_after(self._world.sample_delay(), answer)

    @property
    def is_refusing_pulls(self) -> bool:
        """Return whether further pulls of records by peers are refused."""
        return self._open_answers >= gateway_const.MAX_CONCURRENT_RECORD_ANSWERS

    def send_records(
        self,
        batch: RecordBatch,
        receiver: Host,
        on_received: Callable[[], None],
        on_timeout: Callable[[], None],
    ) -> None:
        """Send records to a peer, which cancels a transfer that takes too long."""
        fleet = self._fleet
        self._open_answers += 1

        def handle_sent() -> None:
            self._open_answers -= 1
            self._world.schedule_after(self._world.sample_delay(), on_received)

        def time_out() -> None:
            if fleet.transfers.cancel(transfer):
                self._open_answers -= 1
                on_timeout()

        size = fleet.sizes.compute_peer_bytes(batch.records)
        transfer = fleet.transfers.start(
            self.number, receiver.number, size, handle_sent
        )
        self._world.schedule_after(wire_const.MAX_TRANSFER_SECONDS, time_out)

    def _run_gossip_round(self) -> None:
        if not self._run_or_defer(self._run_gossip_round):
            return
        now = self._world.now
        if now - self._cell_updated_at >= CELL_UPDATE_INTERVAL_SECONDS:
            self._cell_updated_at = now
            self._update_cell()
        self._apply_effects(
            self.members.handle(
                RoundDue(self._hello_bytes, self._brief_hello_bytes), now
            )
        )
        delay = HELLO_INTERVAL_SECONDS * self._random.uniform(0.9, 1.1)
        self._world.schedule_after(delay, self._run_gossip_round)

    def _update_cell(self) -> None:
        own, now = LocatedMember(str(self.address), self.domain), self._world.now
        others = [
            KnownHost(
                LocatedMember(str(peer.identity.address), peer.failure_domain),
                now - peer.last_seen_at,
            )
            for peer in self.members.get_peers()
            if peer.failure_domain and not peer.is_leaving
        ]
        self.polling_order = choose_polling_order(own, others)
        group = self.polling_order.group or [other.located.name for other in others]
        self.members.set_cell_peers([Address.parse(name) for name in group])

    def send_now(self) -> None:
        """Send a hello to cell peers at once, as the product does for a long prompt."""
        if self._run_or_defer(self.send_now):
            receivers = self.members.choose_immediate_receivers(
                self._brief_hello_bytes, self._world.now
            )
            self._apply_effects([SendHello(receivers, is_brief=True)])

    def _announce_records(self, has_changes: bool) -> None:
        section = self._build_section()
        hello, size = self._pack(section, is_brief=True)
        receivers = self.members.choose_immediate_receivers(
            size, self._world.now, has_changes
        )
        self._send_to(receivers, hello, section, size)

    def _announce_records_to(self, receivers: tuple[Address, ...]) -> None:
        section = self._build_section()
        hello, size = self._pack(section, is_brief=True)
        self._send_to(receivers, hello, section, size)

    def _apply_effects(self, effects: list[SeedEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendHello) and effect.addresses:
                self._send_hello(effect.addresses, effect.is_brief)

    def _build_section(self) -> PublicationSection:
        age = self._world.now - self.confirmed_at
        return self.record_store.latest_revision, pack_age(age), self.version

    def _pack(self, section: PublicationSection, is_brief: bool) -> tuple[Hello, int]:
        hello = self.members.build_hello(self._world.now, is_brief)
        sections = {"publications": msgpack.packb(section)}
        return hello, len(msgpack.packb((1, hello.pack(), sections)))

    def _send_hello(self, addresses: tuple[Address, ...], is_brief: bool) -> None:
        section = self._build_section()
        hello, size = self._pack(section, is_brief)
        size += DIGEST_BYTES
        if is_brief:
            self._brief_hello_bytes = size
        else:
            self._hello_bytes = size
        self._send_to(addresses, hello, section, size)

    def _send_to(
        self,
        addresses: tuple[Address, ...],
        hello: Hello,
        section: PublicationSection,
        size: int,
    ) -> None:
        fleet = self._fleet
        for address in addresses:
            fleet.sent_bytes += size
            fleet.messages += 1
            is_lost = self._world.random.random() < fleet.links.loss
            if address in fleet.hosts and not is_lost:
                delay = self._world.sample_delay()
                self._world.schedule_after(
                    delay, lambda to=address: self._deliver(to, hello, section)
                )

    def _deliver(
        self, address: Address, hello: Hello, section: tuple[Any, ...]
    ) -> None:
        other = self._fleet.hosts[address]
        if not self._fleet.links.is_cut(self.number, other.number):
            other.receive_hello(hello, section)

    def receive_hello(self, hello: Hello, section: PublicationSection) -> None:
        """Handle a peer's hello and its section about the records."""
        if not self._run_or_defer(self.receive_hello, hello, section):
            return
        now, address = self._world.now, hello.identity.address
        if self._suspended_seconds > self._reported_suspension:
            self.members.record_suspension(
                self._suspended_seconds - self._reported_suspension, now
            )
            self._reported_suspension = self._suspended_seconds
        previous = self.members.get_peer(address)
        last_timestamp = previous.last_timestamp if previous is not None else -1
        self._apply_effects(self.members.handle(HelloReceived(hello), now))
        peer = self.members.get_peer(address)
        if peer is None or peer.identity != hello.identity:
            return
        if previous is peer and hello.timestamp <= last_timestamp:
            return
        latest_revision, packed_age, version = section
        transfer_age = self.members.compute_age(peer, hello.timestamp, now)
        previous_confirmed_at = self.confirmed_at
        self._handle(
            PeerReported(
                hello.name,
                latest_revision,
                unpack_age(packed_age) + transfer_age,
                has_later_table=0 < self.version < version,
            )
        )
        is_newer = (
            self.confirmed_at - previous_confirmed_at
            > gateway_const.RELAY_MIN_GAIN_SECONDS
        )
        if (
            is_newer
            and self.polling_order.group
            and str(address) not in self.polling_order.group
        ):
            self._announce_records(has_changes=False)
