"""Play arrivals on modelled engines and hosts that hear late, in simulated time."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonward_membership import const as membership_const
from tarragonward_placement import PromptNeed
from tarragonward_standins.platform_engine import PassWork

from .experiment_arrivals import Arrival
from .experiment_calls import CallService
from .experiment_engine import EngineNode, Run
from .experiment_policies import POLICY_KINDS, HostPolicy, PolicyPlan, Sending
from .experiment_site import CallKind, PromptKind, Site

__all__ = ["Outcome", "Played", "play"]

HANDSHAKE_SECONDS = 0.001
# What a host and a runner themselves need of a request's way, one way.
HANDLING_SECONDS = 0.002
MAX_SENDS = 2
TAIL_SECONDS = 16.0
MIN_LEAVE_SECONDS = 2.0
LEAVE_AIMS = 4
LEAVE_PAUSES = 8


@dataclass
class Outcome:
    """What a caller saw; times in seconds from its first attempt."""

    arrival: Arrival
    first: float | None = None
    worst_pause: float = 0.0
    is_whole: bool = False
    is_refused: bool = False
    sends: int = 0
    readers: tuple[str, ...] = ()
    predicted: float | None = None
    placed_at: float = 0.0
    last_event: float = field(default=0.0, repr=False)


@dataclass
class Played:
    """One policy's run."""

    policy: str
    seed: int
    outcomes: list[Outcome]
    engines: list[EngineNode]
    decisions: int
    decision_seconds: float


@dataclass(eq=False)
class _Host:
    zone: str
    policy: HostPolicy


def play(
    site: Site, plan: PolicyPlan, arrivals: list[Arrival], seed: int, seconds: float
) -> Played:
    """Play one policy on the arrivals."""
    return _Fleet(site, plan, seed).run(arrivals, seconds)


class _Fleet:
    def __init__(self, site: Site, plan: PolicyPlan, seed: int) -> None:
        self._site, self._plan = site, plan
        self._rng = random.Random(f"fleet {seed}")
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.now = 0.0
        self.engines = {
            name: EngineNode(name, zone, site.sizes, site.event_tokens, self._at)
            for name, zone in self._name_engines()
        }
        # The hosts share an order of the engines that says nothing of zones.
        names = sorted(self.engines, key=lambda _: self._rng.random())
        model = site.build_engine_model()
        policy = POLICY_KINDS[plan.kind]
        self.hosts = [
            _Host(zone.name, policy(names, model, random.Random(f"{seed} {zone} {n}")))
            for zone in site.zones
            for n in range(zone.hosts)
        ]
        self._calls = CallService(site, self._at, random.Random(f"calls {seed}"))
        self._decisions, self._decision_seconds = 0, 0.0
        self._outcomes: list[Outcome] = []
        if plan.tells_peers and self.hosts[0].policy.book is not None:
            self._start_gossip()

    def run(self, arrivals: list[Arrival], seconds: float) -> Played:
        for arrival in arrivals:
            outcome = Outcome(arrival)
            self._outcomes.append(outcome)
            self._at(arrival.at + self._site.client_seconds, self._make_arrive(outcome))
        end = seconds + TAIL_SECONDS
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return Played(
            self._plan.name,
            0,
            self._outcomes,
            list(self.engines.values()),
            self._decisions,
            self._decision_seconds,
        )

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._numbers), action))

    def _name_engines(self) -> list[tuple[str, str]]:
        return [
            (f"{zone.name}-{number}", zone.name)
            for zone in self._site.zones
            for number in range(zone.engines)
        ]

    def _make_arrive(self, outcome: Outcome) -> Callable[[], None]:
        def arrive() -> None:
            if isinstance(outcome.arrival.kind, CallKind):
                self._calls.send(outcome, self.now)
            else:
                _Prompt(self, outcome).send()

        return arrive

    # What hosts tell each other.

    def _start_gossip(self) -> None:
        for number, host in enumerate(self.hosts):
            begin = self._rng.uniform(0, membership_const.HELLO_INTERVAL_SECONDS)
            self._at(begin, self._make_tell(number, host))
            book = host.policy.book
            if self._plan.tells_at_once and book is not None:
                book.on_change.append(self._make_tell_at_once(number, host))

    def _make_tell(self, number: int, host: _Host) -> Callable[[], None]:
        def tell() -> None:
            self._tell(number, host)
            self._at(self.now + membership_const.HELLO_INTERVAL_SECONDS, tell)

        return tell

    def _make_tell_at_once(self, number: int, host: _Host) -> Callable[[], None]:
        return lambda: self._tell(number, host)

    def _tell(self, number: int, host: _Host) -> None:
        others = [other for other in self.hosts if other is not host]
        if len(others) > membership_const.MAX_MESH_PEERS:
            others = self._rng.sample(others, membership_const.HELLO_FANOUT)
        assert host.policy.book is not None
        digest = host.policy.book.build_digest(self.now)
        for other in others:
            delay = self._site.get_delay(host.zone, other.zone) + HANDLING_SECONDS / 2
            self._at(self.now + delay, self._make_hear(number, other, digest, delay))

    def _make_hear(
        self, number: int, other: _Host, digest: dict, age: float
    ) -> Callable[[], None]:
        book = other.policy.book
        assert book is not None
        return lambda: book.take_digest(str(number), digest, age, self.now)

    def choose(self, host: _Host, need: PromptNeed, tried: set[str]) -> Sending | None:
        """Let a host decide, and count what it took."""
        began = time.perf_counter()
        sending = host.policy.choose(need, tried, self.now)
        self._decision_seconds += time.perf_counter() - began
        self._decisions += 1
        return sending

    @property
    def hears_counts(self) -> bool:
        return self._plan.hears_counts

    @property
    def site(self) -> Site:
        return self._site

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        self._at(self.now + seconds, action)


class _Prompt:
    """One prompt on its way: at its host, its engines, and its caller."""

    def __init__(self, fleet: _Fleet, outcome: Outcome) -> None:
        assert isinstance(outcome.arrival.kind, PromptKind)
        self._fleet, self._outcome = fleet, outcome
        self._kind = outcome.arrival.kind
        self._host = fleet.hosts[outcome.arrival.host]
        self._tried: set[str] = set()
        self._sending: Sending | None = None
        self._work: PassWork | None = None
        self._parts: list[tuple[EngineNode, PassWork]] = []
        self._has_ended = False

    def send(self) -> None:
        """Choose, and send once."""
        fleet, arrival = self._fleet, self._outcome.arrival
        site, kind = fleet.site, self._kind
        answer = arrival.events * site.event_tokens
        need = PromptNeed(
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=answer,
            aim_seconds=arrival.at + kind.aim_ms / 1_000 - fleet.now,
            pause_aim_seconds=kind.pause_aim_ms / 1_000,
        )
        sending = None
        if self._outcome.sends < MAX_SENDS:
            sending = fleet.choose(self._host, need, self._tried)
        if sending is None:
            self._outcome.is_refused = self._has_ended = True
            return
        self._sending = sending
        self._outcome.sends += 1
        self._outcome.readers = (sending.leader, *sending.helpers)
        self._outcome.predicted = sending.predicted_seconds
        self._outcome.placed_at = fleet.now
        self._tried.add(sending.leader)
        self._host.policy.begin(sending)
        engine = fleet.engines[sending.leader]
        fleet.after(self._get_way(engine) + HANDSHAKE_SECONDS, self._reach)

    def _get_way(self, engine: EngineNode) -> float:
        return (
            self._fleet.site.get_delay(self._host.zone, engine.zone)
            + HANDLING_SECONDS / 2
        )

    def _reach(self) -> None:
        fleet, arrival, sending = self._fleet, self._outcome.arrival, self._sending
        assert sending is not None
        engine, site = fleet.engines[sending.leader], fleet.site
        answer = arrival.events * site.event_tokens
        is_too_large = arrival.prompt_tokens + answer > site.sizes.memory_tokens
        helpers = [fleet.engines[name] for name in sending.helpers]
        is_full = len(engine.engine.waiting) >= site.queue
        if is_too_large or is_full or any(h.parts >= site.sizes.slots for h in helpers):
            fleet.after(self._get_way(engine), self._turned_away)
            return
        readers = len(helpers) + 1
        part = -(-arrival.prompt_tokens // readers)
        self._work = PassWork(
            str(arrival.number),
            arrival.prompt_tokens,
            answer,
            part_tokens=part,
            waits_for=len(helpers),
            hop_ms=site.sizes.hop_ms if helpers else 0.0,
            # The first engine holds what its helpers read.
            ticket_tokens=part - arrival.prompt_tokens,
        )
        run = Run(self._work, self._note_event, self._note_end, arrival.events)
        engine.add(run, fleet.now)
        for helper in helpers:
            fleet.after(
                site.get_delay(engine.zone, helper.zone),
                self._make_part(helper, engine, part),
            )
        fleet.after(self._get_patience(), self._check_patience)

    def _make_part(
        self, helper: EngineNode, engine: EngineNode, tokens: int
    ) -> Callable[[], None]:
        prompt = self._outcome.arrival.prompt_tokens
        work = PassWork(
            f"part of {self._outcome.arrival.number}",
            prompt,
            0,
            part_tokens=tokens,
            is_part=True,
            ticket_tokens=tokens,
        )
        delay = self._fleet.site.get_delay(engine.zone, helper.zone)

        def begin() -> None:
            if not self._has_ended:
                self._parts.append((helper, work))
                helper.add_part(work, told, self._fleet.now)

        def told() -> None:
            self._fleet.after(delay, read)

        def read() -> None:
            own = self._work
            assert own is not None
            own.waits_for -= 1
            if own.is_read and not own.waits_for and not self._has_ended:
                engine.give_first(own, self._fleet.now)
                engine.wake(self._fleet.now)

        return begin

    def _turned_away(self) -> None:
        assert self._sending is not None
        self._host.policy.end(self._sending)
        self.send()

    def _note_event(self, now: float) -> None:
        outcome, site = self._outcome, self._fleet.site
        assert self._sending is not None
        engine = self._fleet.engines[self._sending.leader]
        way = self._get_way(engine)
        if outcome.first is None:
            outcome.first = now + way + site.client_seconds - outcome.arrival.at
            requests = engine.requests
            self._fleet.after(way, lambda: self._hear_first(engine.name, requests))
        else:
            pause = now - outcome.last_event
            outcome.worst_pause = max(outcome.worst_pause, pause)
        outcome.last_event = now

    def _hear_first(self, engine: str, requests: int) -> None:
        assert self._sending is not None
        if self._sending.work is not None:
            self._sending.work.first_event_at = self._fleet.now
        book = self._host.policy.book
        if book is not None and self._fleet.hears_counts:
            book.note_count(engine, requests, self._fleet.now)

    def _note_end(self, now: float) -> None:
        self._outcome.is_whole = self._has_ended = True
        self._free(now)

    def _free(self, now: float) -> None:
        assert self._sending is not None
        sending = self._sending
        way = self._get_way(self._fleet.engines[sending.leader])
        self._fleet.after(way, lambda: self._host.policy.end(sending))

    # A caller leaves after a long gap, and at its deadline.

    def _get_patience(self) -> float:
        kind = self._kind
        aims = LEAVE_AIMS * kind.aim_ms, LEAVE_PAUSES * kind.pause_aim_ms
        return max(MIN_LEAVE_SECONDS, *(aim / 1_000 for aim in aims))

    def _check_patience(self) -> None:
        if self._has_ended:
            return
        outcome, fleet = self._outcome, self._fleet
        since = outcome.last_event or outcome.arrival.at
        gone_at = min(
            since + self._get_patience(),
            outcome.arrival.at + self._kind.deadline_ms / 1_000,
        )
        if fleet.now < gone_at:
            fleet.after(gone_at - fleet.now, self._check_patience)
            return
        self._has_ended = True
        assert self._sending is not None and self._work is not None
        fleet.engines[self._sending.leader].remove(self._work)
        for helper, work in self._parts:
            helper.remove(work)
        self._free(fleet.now)
