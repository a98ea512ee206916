"""Run the decisions of membership on a fake network with a clock of its own."""

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
TIMEOUT_SECONDS = 0.5
HELP_TIMEOUT_SECONDS = 0.9
INCARNATION_BITS = 48
PORT = 7_000
# Some ten times what the largest seed needs; without end, a run would say nothing.
MAX_EVENTS = 400_000

register_message(Gossip)


@dataclass(frozen=True)
class NetworkPlan:
    """What a fake network has; delays in seconds one way."""

    failure_domains: tuple[str, ...] = ("a", "b", "c")
    hosts_per_domain: int = 3
    loss: float = 0.0
    min_delay: float = 0.0005
    max_delay: float = 0.02
    regions: int = 1


@dataclass
class FakeHost:
    """One host: the decisions of its present life, and what befalls it."""

    listed: ListedHost
    membership: Membership
    is_up: bool = True
    frozen: list[Callable[[], None]] | None = None
    former: list[HostIdentity] = field(default_factory=list)
    bytes_sent: int = 0
    largest_message: int = 0
    messages_sent: int = 0

    @property
    def address(self) -> Address:
        """Return the peer address."""
        return self.listed.address


class FakeNetwork:
    """Carries probes with delay, loss and cuts; kills, freezes and returns hosts."""

    def __init__(self, plan: NetworkPlan, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = 0
        self.cuts: set[tuple[Address, Address]] = set()
        self.hosts: dict[Address, FakeHost] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        for host in self._build_list():
            self.hosts[host.address] = FakeHost(host, self._new_life(host))
        for host in self.hosts.values():
            self._read_list(host)
            self._start_ticks(host)

    # What befalls the hosts.

    def run(self, seconds: float) -> None:
        """Let this much time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            self.events += 1
            if self.events > MAX_EVENTS:
                raise InvariantViolationError(f"events_are_bounded: {MAX_EVENTS}")
            action()
        self.now = end

    def kill(self, host: FakeHost) -> None:
        """End a host's present life."""
        host.is_up = False
        host.frozen = None

    def start(self, host: FakeHost) -> None:
        """Begin a new life under the host's old address."""
        host.former.append(host.membership.identity)
        host.membership = self._new_life(host.listed)
        host.is_up = True
        self._read_list(host)
        self._start_ticks(host)

    def freeze(self, host: FakeHost) -> None:
        """Stop a host; what reaches it waits."""
        if host.is_up and host.frozen is None:
            host.frozen = []

    def wake(self, host: FakeHost) -> None:
        """Let a frozen host go on, with all that waited in any order."""
        waiting, host.frozen = host.frozen or [], None
        self.rng.shuffle(waiting)
        for action in waiting:
            action()

    def cut(self, ones: Iterable[FakeHost], others: Iterable[FakeHost]) -> None:
        """Let nothing pass from ones to others; the way back stays."""
        senders = list(ones)
        for other in others:
            self.cuts |= {(one.address, other.address) for one in senders}

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    # What is asked of it.

    def get_up(self) -> list[FakeHost]:
        """Return the hosts that run."""
        return [h for h in self.hosts.values() if h.is_up and h.frozen is None]

    def find_disagreement(self) -> str | None:
        """Return where a view is wrong about who is up, or None where none is."""
        for host in self.get_up():
            views = {m.listed.address: m for m in host.membership.get_members()}
            for other in self.hosts.values():
                if other is host:
                    continue
                wrong = self._find_wrong(host, other, views[other.address])
                if wrong is not None:
                    return wrong
        return None

    def _find_wrong(self, host: FakeHost, other: FakeHost, view: Any) -> str | None:
        who = f"{host.address} of {other.address}: {view.state.value}"
        is_gone = host.membership.is_gone(other.membership.identity, self.now)
        if not other.is_up:
            return None if view.state is MemberState.DEAD else f"{who}, but down"
        if view.state is not MemberState.ALIVE or is_gone:
            return f"{who}, but up, gone={is_gone}"
        if view.identity != other.membership.identity:
            return f"{who}, but another life"
        return None

    # The network.

    def _build_list(self) -> list[ListedHost]:
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

    def _new_life(self, listed: ListedHost) -> Membership:
        identity = HostIdentity(listed.address, self.rng.getrandbits(INCARNATION_BITS))
        rng = random.Random(self.rng.random())
        return Membership(identity, listed.failure_domain, listed.region, rng)

    def _read_list(self, host: FakeHost) -> None:
        listed = tuple(h.listed for h in self.hosts.values())
        self._handle(host, HostListRead(listed))

    def _start_ticks(self, host: FakeHost) -> None:
        life = host.membership

        def tick() -> None:
            if host.membership is life and host.is_up:
                self._handle(host, Tick())
                self._later(TICK_SECONDS, lambda: self._on(host, tick))

        self._later(self.rng.uniform(0, TICK_SECONDS), lambda: self._on(host, tick))

    def _on(self, host: FakeHost, action: Callable[[], None]) -> None:
        """Do it on the host, or when it wakes."""
        if host.frozen is not None:
            host.frozen.append(action)
        else:
            action()

    def _later(self, delay: float, action: Callable[[], None]) -> None:
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
            self._ask_helper(host, effect)

    def _probe(self, host: FakeHost, effect: SendProbe) -> None:
        number = effect.probe_id

        def answered(message: Gossip, _: HostIdentity) -> None:
            self._handle(host, ProbeAnswered(number, message))

        self._exchange(host, effect.address, effect.message, answered)
        self._for_life(host, TIMEOUT_SECONDS, ProbeFailed(number))

    def _ask_helper(self, host: FakeHost, effect: RequestIndirectProbe) -> None:
        helper = self.hosts.get(effect.helper)
        asked_at = self.now

        def answered(message: Gossip, identity: HostIdentity) -> None:
            state = RecordState(message.state)
            record = MemberRecord(identity, message.version, state)
            if helper is not None and self.now - asked_at < HELP_TIMEOUT_SECONDS:
                event = IndirectProbeAnswered(effect.probe_id, record)
                self._send(helper, host, lambda: self._handle(host, event))

        def help_out() -> None:
            if helper is not None:
                probe = helper.membership.build_gossip(effect.address, self.now)
                self._exchange(helper, effect.address, probe, answered)

        if helper is not None:
            self._send(host, helper, help_out)

    def _exchange(
        self,
        host: FakeHost,
        address: Address,
        message: Gossip,
        answered: Callable[[Gossip, HostIdentity], None],
    ) -> None:
        """Send a probe, and its answer back if both get through in time."""
        other = self.hosts.get(address)
        self._count(host, message)
        sent_at = self.now
        sender = host.membership.identity
        if other is None:
            return

        def arrive() -> None:
            identity = other.membership.identity
            answer = self._handle(other, GossipReceived(sender, message))
            if answer is not None:
                self._count(other, answer)
                self._send(other, host, lambda: come_back(answer, identity))

        def come_back(answer: Gossip, identity: HostIdentity) -> None:
            is_same_life = host.membership.identity == sender
            if is_same_life and self.now - sent_at < TIMEOUT_SECONDS:
                answered(answer, identity)

        self._send(host, other, arrive)

    def _send(
        self, sender: FakeHost, receiver: FakeHost, action: Callable[[], None]
    ) -> None:
        pair = (sender.address, receiver.address)
        if pair in self.cuts or self.rng.random() < self.plan.loss:
            return
        life = receiver.membership

        def deliver() -> None:
            if receiver.is_up and receiver.membership is life:
                action()

        delay = self.rng.uniform(self.plan.min_delay, self.plan.max_delay)
        self._later(delay, lambda: self._on(receiver, deliver))

    def _for_life(self, host: FakeHost, delay: float, event: Event) -> None:
        life = host.membership

        def happen() -> None:
            if host.is_up and host.membership is life:
                self._handle(host, event)

        self._later(delay, lambda: self._on(host, happen))

    def _count(self, host: FakeHost, message: Gossip) -> None:
        size = len(encode_message(message))
        host.bytes_sent += size
        host.messages_sent += 1
        host.largest_message = max(host.largest_message, size)
