"""One host of the runs of hearing: the product's decisions on a fake clock."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import msgpack

from tarragonward_core import Address, HostIdentity
from tarragonward_gateway import const as gateway_const
from tarragonward_gateway.following import (
    ConfirmationAged,
    Follower,
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
from .world import TABLE_KEY, Answer, FakeSource, Links, Lost, World

# The revision that is told, its confirmed age as it travels, the table's version.
Section = tuple[int, int | None, int]

__all__ = ["Fleet", "Host", "build_address"]

PORT = 7_340
SEEDS = 3
# The digest of three prompts in flight, which goes with most hellos.
DIGEST_BYTES = 170
MATES_SECONDS = 1.0
HOSTS_A_BYTE = 200


def build_address(number: int) -> Address:
    """Return the address of a host by its number."""
    host = f"10.{number // HOSTS_A_BYTE}.0.{number % HOSTS_A_BYTE + 1}"
    return Address(host, PORT)


@dataclass
class Fleet:
    """What all hosts share in a run: the world, and the hosts by address."""

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
    """One call to the source: its number, when, after which revision.

    suspended is for how long the host had stood still by then, in seconds.
    """

    asked: int
    asked_at: float
    after: int
    suspended: float


class Host:
    """One life of a host, with the tasks of the gateway played by events."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet, self._world = fleet, fleet.world
        self.number = number
        self.domain = f"domain-{number % fleet.domains}"
        self.address = build_address(number)
        rng = random.Random(self._world.random.random())
        self._random = rng
        identity = HostIdentity(self.address, rng.getrandbits(48))
        seeds = [build_address(seed) for seed in range(SEEDS)]
        self.members = SeedMembership(
            identity, f"host-{number}", self.domain, seeds, rng, self._world.now
        )
        wait = 0.0 if number < SEEDS else gateway_const.START_WAIT_SECONDS
        self.follower = Follower(rng, self._world.now, wait)
        self._reading = PagedRead()
        self._given = 0
        self._pulls = PullLimit()
        self._incoming: Transfer | None = None
        self.record_store = RecordStore()
        self.version = 0
        self._has_told = False
        self.confirmed_at = -math.inf
        self.is_dead = False
        self.frozen_until = -math.inf
        self._suspended = self._noted = 0.0
        self._asked = 0
        self._sent = self._sent_brief = 0
        self._mates_at = -math.inf
        self.place = PollingOrder(1, 0)
        self._round()
        self._follow()

    def freeze(self, until: float) -> None:
        """Let the host stand still until a time."""
        self._suspended += max(0.0, until - max(self._world.now, self.frozen_until))
        self.frozen_until = max(until, self.frozen_until)

    def settle(self) -> None:
        """Let the host know all that are there."""
        now = self._world.now
        entries = tuple(
            PeerEntry(host.members.own, 0.0, host.domain)
            for host in self._fleet.hosts.values()
        )
        other = next(h for h in self._fleet.hosts.values() if h is not self)
        hello = replace(other.members.build_hello(now), entries=entries)
        self.members.handle(HelloReceived(hello), now)
        self._set_mates()

    # What waits for a host that stands still is taken when it wakes.

    def _wake_at(self, act: Callable[..., None], *details: Any) -> bool:
        """Return whether to act now; else act when the host runs again, if ever."""
        if self.is_dead:
            return False
        if self._world.now < self.frozen_until:
            self._world.at(self.frozen_until, lambda: act(*details))
            return False
        return True

    def _follow(self, asked: int = 0) -> None:
        if asked != self._asked or not self._wake_at(self._follow, asked):
            return
        now = self._world.now
        step = self._choose_step(now)
        self._give_up_incoming()
        self._asked += 1
        asked = self._asked
        if isinstance(step, Pause):
            self._world.after(step.seconds, lambda: self._follow(asked))
            return
        self._ask(step, asked)

    def _choose_step(self, now: float) -> Step:
        return self.follower.choose_step(self.place, now - self.confirmed_at, now)

    def _ask(self, step: Step, asked: int) -> None:
        call = _SourceCall(
            asked, self._world.now, self.record_store.complete_revision, self._suspended
        )
        source = self._fleet.source
        timeout = gateway_const.READ_SILENCE_TIMEOUT_SECONDS
        if not isinstance(step, ReadAll):
            timeout = step.seconds + gateway_const.WATCH_SILENCE_TIMEOUT_SECONDS
        self._world.after(timeout, lambda: self._give_up_head(call))
        if self._fleet.links.is_out(self.number):
            source.calls += 1
        elif isinstance(step, ReadAll):
            key = self._reading.get_after_key(self._world.now)
            source.read_page(self.number, key, lambda a: self._transfer(call, a))
        else:
            source.watch(
                self.number,
                call.after,
                step.seconds,
                lambda a: self._transfer(call, a),
            )
        self._doubt(asked)

    def _give_up_head(self, call: _SourceCall) -> None:
        if self._incoming is None:
            self._take_answer(call, Lost())

    def _transfer(self, call: _SourceCall, answer: Answer) -> None:
        """Let an answer of the source take its time on this host's link."""
        if call.asked != self._asked or isinstance(answer, Lost):
            self._take_answer(call, answer)
            return
        sent_at = self._world.now

        def come() -> None:
            age = self._world.now - sent_at
            is_watch = isinstance(answer, Records)
            aged = replace(answer, age_seconds=age) if is_watch else answer
            self._take_answer(call, aged)

        size = self._fleet.sizes.compute_read(answer.records)
        self._incoming = self._fleet.transfers.start(None, self.number, size, come)
        self._world.after(
            wire_const.MAX_TRANSFER_SECONDS,
            lambda: self._take_answer(call, Lost()),
        )

    def _give_up_incoming(self) -> None:
        if self._incoming is not None:
            self._fleet.transfers.cancel(self._incoming)
            self._incoming = None

    def _doubt(self, asked: int) -> None:
        if asked != self._asked or not self._wake_at(self._doubt, asked):
            return
        age = self._world.now - self.confirmed_at
        self._hear(ConfirmationAged(age))
        left = gateway_const.MAX_CONFIRMED_AGE_SECONDS - age
        wait = max(left, gateway_const.CONFIRMED_AGE_CHECK_SECONDS)
        self._world.after(wait, lambda: self._doubt(asked))

    def _take_answer(self, call: _SourceCall, answer: Answer) -> None:
        if call.asked != self._asked:
            return
        self._incoming = None
        if not self._wake_at(self._take_answer, call, answer):
            return
        if self._fleet.links.is_out(self.number):
            answer = Lost()
        if isinstance(answer, Lost):
            if answer.is_history:
                self._reading.clear()
            self._hear(HistoryLost() if answer.is_history else SourceFailed())
        elif isinstance(answer, Page):
            self._hear(self._take_page(answer, call.asked_at))
        else:
            new = self.take(
                RecordBatch(answer.records, answer.revision, False), call.after
            )
            is_gap = not answer.records and answer.revision > call.after
            age = answer.age_seconds + self._suspended - call.suspended
            self._hear(SourceAnswered(bool(new), is_gap, age))
            if self.place.group:
                self._tell_records(bool(new))
        self._follow(self._asked)

    def _take_page(self, page: Page, asked_at: float) -> SourceAnswered | PageRead:
        read = self._reading.add_page(page, asked_at)
        if read is None:
            return PageRead()
        batch = RecordBatch(read.records, read.revision, True)
        new = self.take(batch, self.record_store.complete_revision)
        if not self._has_told:
            self._has_told = True
            self._tell_records_to(self.members.get_addresses())
        age = self._reading.compute_age(self._world.now)
        return SourceAnswered(bool(new), age_seconds=age)

    def take(self, batch: RecordBatch, after: int) -> list[Record]:
        """Take records in, put a table in force."""
        new = self.record_store.apply(batch, after)
        for record in new:
            if record.key == TABLE_KEY and record.value is not None:
                version = int(record.value)
                assert version > self.version, "a table's version fell"
                self.version = version
        return new

    def _hear(self, event: FollowEvent) -> None:
        now = self._world.now
        hosts = self.members.count_hosts()
        for effect in self.follower.handle(
            event, self.record_store.complete_revision, hosts, now
        ):
            if isinstance(effect, MarkConfirmed):
                self.confirmed_at = max(self.confirmed_at, now - effect.age_seconds)
            elif isinstance(effect, PullFromPeer) and self._pulls.begin(now):
                self._pull(effect.name)
            elif isinstance(effect, QuerySource):
                self._asked += 1
                asked = self._asked
                self._world.after(0.0, lambda: self._follow(asked))

    def _pull(self, name: str) -> None:
        other = build_address(int(name.rpartition("-")[2]))
        after, asked_at = self.record_store.complete_revision, self._world.now
        fleet = self._fleet

        def end() -> None:
            self._pulls.end(asked_at)

        def refuse() -> None:
            end()
            if self._wake_at(refuse):
                self._hear(PeerPullFailed(name))

        def refuse_soon() -> None:
            wait = self._random.random() * gateway_const.MAX_NEXT_PEER_DELAY_SECONDS
            self._world.after(wait, refuse)

        def answer() -> None:
            peer = fleet.hosts[other]
            is_cut = fleet.links.is_cut(self.number, peer.number)
            if peer.is_dead or is_cut or self._world.now < peer.frozen_until:
                self._world.after(gateway_const.PEER_PULL_TIMEOUT_SECONDS, refuse_soon)
                return
            if peer.is_giving_to_many:
                refuse_soon()
                return
            batch = peer.record_store.get_since(after)
            age = self._world.now - peer.confirmed_at
            peer.give(batch, self, lambda: take(batch, age, peer.number), refuse_soon)

        def take(batch: RecordBatch, age: float, number: int) -> None:
            end()
            if fleet.links.is_cut(self.number, number):
                return
            if self._wake_at(take, batch, age, number):
                self.take(batch, after)
                self._hear(PeerDataApplied())
                if not self._has_told:
                    self._has_told = True
                    self._tell_records(True)
                if batch.complete_revision >= self.record_store.latest_revision:
                    self.confirmed_at = max(self.confirmed_at, asked_at - age)

        self._world.after(self._world.draw_delay(), answer)

    @property
    def is_giving_to_many(self) -> bool:
        """Return whether peers that ask for records are refused."""
        return self._given >= gateway_const.MAX_CONCURRENT_RECORD_ANSWERS

    def give(
        self,
        batch: RecordBatch,
        asker: Host,
        take: Callable[[], None],
        end: Callable[[], None],
    ) -> None:
        """Send records to a peer, which gives up what is too long on its way."""
        fleet = self._fleet
        self._given += 1

        def come() -> None:
            self._given -= 1
            self._world.after(self._world.draw_delay(), take)

        def give_up() -> None:
            if fleet.transfers.cancel(transfer):
                self._given -= 1
                end()

        size = fleet.sizes.compute_given(batch.records)
        transfer = fleet.transfers.start(self.number, asker.number, size, come)
        self._world.after(wire_const.MAX_TRANSFER_SECONDS, give_up)

    def _round(self) -> None:
        if not self._wake_at(self._round):
            return
        now = self._world.now
        if now - self._mates_at >= MATES_SECONDS:
            self._mates_at = now
            self._set_mates()
        self._carry_out(
            self.members.handle(RoundDue(self._sent, self._sent_brief), now)
        )
        wait = HELLO_INTERVAL_SECONDS * self._random.uniform(0.9, 1.1)
        self._world.after(wait, self._round)

    def _set_mates(self) -> None:
        own, now = LocatedMember(str(self.address), self.domain), self._world.now
        others = [
            KnownHost(
                LocatedMember(str(peer.identity.address), peer.failure_domain),
                now - peer.last_seen_at,
            )
            for peer in self.members.get_peers()
            if peer.failure_domain and not peer.is_leaving
        ]
        self.place = choose_polling_order(own, others)
        group = self.place.group or [other.located.name for other in others]
        self.members.set_cell_peers([Address.parse(name) for name in group])

    def tell_now(self) -> None:
        """Tell the mates at once, as for a long prompt."""
        if self._wake_at(self.tell_now):
            told = self.members.choose_immediate_receivers(
                self._sent_brief, self._world.now
            )
            self._carry_out([SendHello(told, is_brief=True)])

    def _tell_records(self, has_changes: bool) -> None:
        section = self._build_section()
        hello, size = self._pack(section, is_brief=True)
        told = self.members.choose_immediate_receivers(
            size, self._world.now, has_changes
        )
        self._send_to(told, hello, section, size)

    def _tell_records_to(self, told: tuple[Address, ...]) -> None:
        section = self._build_section()
        hello, size = self._pack(section, is_brief=True)
        self._send_to(told, hello, section, size)

    def _carry_out(self, effects: list[SeedEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendHello) and effect.addresses:
                self._send(effect.addresses, effect.is_brief)

    def _build_section(self) -> Section:
        age = self._world.now - self.confirmed_at
        return self.record_store.latest_revision, pack_age(age), self.version

    def _pack(self, section: Section, is_brief: bool) -> tuple[Hello, int]:
        hello = self.members.build_hello(self._world.now, is_brief)
        sections = {"publications": msgpack.packb(section)}
        return hello, len(msgpack.packb((1, hello.pack(), sections)))

    def _send(self, addresses: tuple[Address, ...], is_brief: bool) -> None:
        section = self._build_section()
        hello, size = self._pack(section, is_brief)
        size += DIGEST_BYTES
        if is_brief:
            self._sent_brief = size
        else:
            self._sent = size
        self._send_to(addresses, hello, section, size)

    def _send_to(
        self, addresses: tuple[Address, ...], hello: Hello, section: Section, size: int
    ) -> None:
        fleet = self._fleet
        for address in addresses:
            fleet.sent_bytes += size
            fleet.messages += 1
            is_lost = self._world.random.random() < fleet.links.loss
            if address in fleet.hosts and not is_lost:
                delay = self._world.draw_delay()
                self._world.after(
                    delay, lambda to=address: self._deliver(to, hello, section)
                )

    def _deliver(
        self, address: Address, hello: Hello, section: tuple[Any, ...]
    ) -> None:
        other = self._fleet.hosts[address]
        if not self._fleet.links.is_cut(self.number, other.number):
            other.take_datagram(hello, section)

    def take_datagram(self, hello: Hello, section: Section) -> None:
        """Take a peer's hello and what it tells of the records."""
        if not self._wake_at(self.take_datagram, hello, section):
            return
        now, address = self._world.now, hello.identity.address
        if self._suspended > self._noted:
            self.members.record_suspension(self._suspended - self._noted, now)
            self._noted = self._suspended
        known = self.members.get_peer(address)
        last_timestamp = known.last_timestamp if known is not None else -1
        self._carry_out(self.members.handle(HelloReceived(hello), now))
        peer = self.members.get_peer(address)
        if peer is None or peer.identity != hello.identity:
            return
        if known is peer and hello.timestamp <= last_timestamp:
            return
        changed, packed_age, _ = section
        late = self.members.compute_age(peer, hello.timestamp, now)
        before = self.confirmed_at
        self._hear(PeerReported(hello.name, changed, unpack_age(packed_age) + late))
        is_news = self.confirmed_at - before > gateway_const.RELAY_MIN_GAIN_SECONDS
        if is_news and self.place.group and str(address) not in self.place.group:
            self._tell_records(has_changes=False)
