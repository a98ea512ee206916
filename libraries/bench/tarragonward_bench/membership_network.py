"""Run the membership state machine on a simulated network and clock."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from tarragonward_core import Address, HostIdentity, InvariantViolationError
from tarragonward_membership import (
    Effect,
    Event,
    Gossip,
    GossipReceived,
    HostListRead,
    IndirectProbeAnswered,
    ListedHost,
    MemberRecord,
    Membership,
    MemberState,
    ProbeAnswered,
    ProbeFailed,
    RecordState,
    RequestIndirectProbe,
    SendAnswer,
    SendProbe,
    Tick,
)
from tarragonward_wire import encode_message, register_message

__all__ = ["FakeHost", "FakeNetwork", "NetworkPlan"]

TICK_SECONDS = 0.1
PROBE_TIMEOUT_SECONDS = 0.5
INDIRECT_PROBE_TIMEOUT_SECONDS = 0.9
INCARNATION_BITS = 48
PORT = 7_000
# About ten times what the largest seed needs; stops a run that never settles.
MAX_EVENTS = 400_000

register_message(Gossip)


@dataclass(frozen=True)
class NetworkPlan:
    """Parameters of a fake network; delays are one-way, in seconds."""

    failure_domains: tuple[str, ...] = ("a", "b", "c")
    hosts_per_domain: int = 3
    loss: float = 0.0
    min_delay: float = 0.0005
    max_delay: float = 0.02
    regions: int = 1


@dataclass
class FakeHost:
    """Host with the membership of its current incarnation.

    While it is paused, held_actions collects what it receives; otherwise it is None.
    """

    listed: ListedHost
    membership: Membership
    is_up: bool = True
    held_actions: list[Callable[[], None]] | None = None
    previous_identities: list[HostIdentity] = field(default_factory=list)
    bytes_sent: int = 0
    largest_message: int = 0
    messages_sent: int = 0

    @property
    def address(self) -> Address:
        """Return the peer address."""
        return self.listed.address


class FakeNetwork:
    """Simulated network with delay, loss and one-way partitions.

    Hosts can be killed, restarted, paused and resumed.
    """

    def __init__(self, plan: NetworkPlan, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = 0
        self.blocked: set[tuple[Address, Address]] = set()
        self.hosts: dict[Address, FakeHost] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        for host in self._build_host_list():
            self.hosts[host.address] = FakeHost(host, self._build_membership(host))
        for host in self.hosts.values():
            self._load_host_list(host)
            self._start_ticks(host)

    def run(self, seconds: float) -> None:
        """Run the simulation for a number of seconds."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            self.events += 1
            if self.events > MAX_EVENTS:
                raise InvariantViolationError(f"events_are_bounded: {MAX_EVENTS}")
            action()
        self.now = end

    def kill(self, host: FakeHost) -> None:
        """Stop a host without notice."""
        host.is_up = False
        host.held_actions = None

    def start(self, host: FakeHost) -> None:
        """Start a new incarnation at the host's address."""
        host.previous_identities.append(host.membership.identity)
        host.membership = self._build_membership(host.listed)
        host.is_up = True
        self._load_host_list(host)
        self._start_ticks(host)

    def pause(self, host: FakeHost) -> None:
        """Pause a host's process; events for it are held back."""
        if host.is_up and host.held_actions is None:
            host.held_actions = []

    def resume(self, host: FakeHost) -> None:
        """Resume a paused host; the events held back are handled in random order."""
        pending, host.held_actions = host.held_actions or [], None
        self.rng.shuffle(pending)
        for action in pending:
            action()

    def block(self, senders: Iterable[FakeHost], receivers: Iterable[FakeHost]) -> None:
        """Drop messages from senders to receivers; the opposite way stays open."""
        sources = list(senders)
        for receiver in receivers:
            self.blocked |= {(source.address, receiver.address) for source in sources}

    def heal(self) -> None:
        """Remove all partitions."""
        self.blocked.clear()

    def get_running(self) -> list[FakeHost]:
        """Return the hosts that run and are not paused."""
        return [h for h in self.hosts.values() if h.is_up and h.held_actions is None]

    def find_disagreement(self) -> str | None:
        """Return a description of a wrong view, or None if all hosts agree."""
        for host in self.get_running():
            views = {m.listed.address: m for m in host.membership.get_members()}
            for other in self.hosts.values():
                if other is host:
                    continue
                wrong = self._find_wrong_view(host, other, views[other.address])
                if wrong is not None:
                    return wrong
        return None

    def _find_wrong_view(
        self, host: FakeHost, other: FakeHost, view: Any
    ) -> str | None:
        view_text = f"{host.address} of {other.address}: {view.state.value}"
        is_gone = host.membership.is_gone(other.membership.identity, self.now)
        if not other.is_up:
            return None if view.state is MemberState.DEAD else f"{view_text}, but down"
        if view.state is not MemberState.ALIVE or is_gone:
            return f"{view_text}, but up, gone={is_gone}"
        if view.identity != other.membership.identity:
            return f"{view_text}, but another incarnation"
        return None

    def _build_host_list(self) -> list[ListedHost]:
        domains = enumerate(self.plan.failure_domains)
        numbers = range(1, self.plan.hosts_per_domain + 1)
        return [
            ListedHost(
                name=f"{domain}-{n}",
                address=Address(f"10.0.{d}.{n}", PORT),
                failure_domain=domain,
                region=f"region-{d % self.plan.regions}",
                is_leaving=False,
            )
            for (d, domain), n in itertools.product(domains, numbers)
        ]

    def _build_membership(self, listed: ListedHost) -> Membership:
        identity = HostIdentity(listed.address, self.rng.getrandbits(INCARNATION_BITS))
        rng = random.Random(self.rng.random())
        return Membership(identity, listed.failure_domain, listed.region, rng)

    def _load_host_list(self, host: FakeHost) -> None:
        listed = tuple(h.listed for h in self.hosts.values())
        self._handle(host, HostListRead(listed))

    def _start_ticks(self, host: FakeHost) -> None:
        incarnation = host.membership

        def tick() -> None:
            if host.membership is incarnation and host.is_up:
                self._handle(host, Tick())
                self._schedule(TICK_SECONDS, lambda: self._run_on(host, tick))

        self._schedule(
            self.rng.uniform(0, TICK_SECONDS), lambda: self._run_on(host, tick)
        )

    def _run_on(self, host: FakeHost, action: Callable[[], None]) -> None:
        """Run an action on the host, once it is resumed if it is paused."""
        if host.held_actions is not None:
            host.held_actions.append(action)
        else:
            action()

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay, next(self._numbers), action))

    def _handle(self, host: FakeHost, event: Event) -> Gossip | None:
        answer = None
        for effect in host.membership.handle(event, self.now):
            if isinstance(effect, SendAnswer):
                answer = effect.message
            else:
                self._apply(host, effect)
        return answer

    def _apply(self, host: FakeHost, effect: Effect) -> None:
        if isinstance(effect, SendProbe):
            self._probe(host, effect)
        elif isinstance(effect, RequestIndirectProbe):
            self._request_indirect_probe(host, effect)

    def _probe(self, host: FakeHost, effect: SendProbe) -> None:
        number = effect.probe_id

        def on_answer(message: Gossip, _: HostIdentity) -> None:
            self._handle(host, ProbeAnswered(number, message))

        self._exchange(host, effect.address, effect.message, on_answer)
        self._schedule_for_incarnation(host, PROBE_TIMEOUT_SECONDS, ProbeFailed(number))

    def _request_indirect_probe(
        self, host: FakeHost, effect: RequestIndirectProbe
    ) -> None:
        helper = self.hosts.get(effect.helper)
        requested_at = self.now

        def on_answer(message: Gossip, identity: HostIdentity) -> None:
            state = RecordState(message.state)
            record = MemberRecord(identity, message.version, state)
            if (
                helper is not None
                and self.now - requested_at < INDIRECT_PROBE_TIMEOUT_SECONDS
            ):
                event = IndirectProbeAnswered(effect.probe_id, record)
                self._send(helper, host, lambda: self._handle(host, event))

        def probe_for_host() -> None:
            if helper is not None:
                probe = helper.membership.build_gossip(effect.address, self.now)
                self._exchange(helper, effect.address, probe, on_answer)

        if helper is not None:
            self._send(host, helper, probe_for_host)

    def _exchange(
        self,
        host: FakeHost,
        address: Address,
        message: Gossip,
        on_answer: Callable[[Gossip, HostIdentity], None],
    ) -> None:
        """Send a probe; call on_answer if its answer arrives in time."""
        other = self.hosts.get(address)
        self._record_sent(host, message)
        sent_at = self.now
        sender = host.membership.identity
        if other is None:
            return

        def arrive() -> None:
            identity = other.membership.identity
            answer = self._handle(other, GossipReceived(sender, message))
            if answer is not None:
                self._record_sent(other, answer)
                self._send(other, host, lambda: return_answer(answer, identity))

        def return_answer(answer: Gossip, identity: HostIdentity) -> None:
            is_same_incarnation = host.membership.identity == sender
            if is_same_incarnation and self.now - sent_at < PROBE_TIMEOUT_SECONDS:
                on_answer(answer, identity)

        self._send(host, other, arrive)

    def _send(
        self, sender: FakeHost, receiver: FakeHost, action: Callable[[], None]
    ) -> None:
        pair = (sender.address, receiver.address)
        if pair in self.blocked or self.rng.random() < self.plan.loss:
            return
        incarnation = receiver.membership

        def deliver() -> None:
            if receiver.is_up and receiver.membership is incarnation:
                action()

        delay = self.rng.uniform(self.plan.min_delay, self.plan.max_delay)
        self._schedule(delay, lambda: self._run_on(receiver, deliver))

    def _schedule_for_incarnation(
        self, host: FakeHost, delay: float, event: Event
    ) -> None:
        incarnation = host.membership

        def deliver_event() -> None:
            if host.is_up and host.membership is incarnation:
                self._handle(host, event)

        self._schedule(delay, lambda: self._run_on(host, deliver_event))

    def _record_sent(self, host: FakeHost, message: Gossip) -> None:
        size = len(encode_message(message))
        host.bytes_sent += size
        host.messages_sent += 1
        host.largest_message = max(host.largest_message, size)
