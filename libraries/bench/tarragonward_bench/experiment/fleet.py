"""Play arrivals on modelled engines and hosts that hear late, in simulated time."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from tarragonward_membership import const as membership_const
from tarragonward_placement import LocatedMember, PromptRequirements, choose_cell

from .arrivals import Arrival, Outcome
from .calls import CallService
from .engine import EngineNode
from .policies import POLICY_KINDS, PolicyPlan, Sending
from .prompt import HANDLING_SECONDS, Host, PromptRun
from .site import CallKind, Site

__all__ = ["Played", "play"]

TAIL_SECONDS = 16.0
PRODUCT = "product"
# Mates are told of each prompt at once, and all again as their bytes allow.
CELL_ROUND_SECONDS = 2.0
# Hosts of a cell know the same, so one of them builds the summary for all meanwhile.
SHARED_SUMMARY_SECONDS = 0.02


@dataclass
class Played:
    """One policy's run."""

    policy: str
    seed: int
    outcomes: list[Outcome]
    engines: list[EngineNode]
    decisions: int
    decision_seconds: float


def play(
    site: Site, plan: PolicyPlan, arrivals: list[Arrival], seed: int, seconds: float
) -> Played:
    """Play one policy on the arrivals."""
    return _Fleet(site, plan, seed).run(arrivals, seconds)


class _Fleet:
    def __init__(self, site: Site, plan: PolicyPlan, seed: int) -> None:
        self.site, self._plan = site, plan
        self.hears_counts = plan.hears_counts
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
            Host(zone.name, policy(names, model, random.Random(f"{seed} {zone} {n}")))
            for zone in site.zones
            for n in range(zone.hosts)
        ]
        self._mates = [
            [other for other in self.hosts if other is not host] for host in self.hosts
        ]
        self._is_divided = False
        self._summaries: dict[Collection[str], tuple[float, dict]] = {}
        self._round_seconds = membership_const.HELLO_INTERVAL_SECONDS
        if plan.has_cells and plan.kind == PRODUCT:
            self._divide()
        for host in self.hosts:
            host.policy.widens = plan.widens
            host.policy.own_zone = host.zone
            host.policy.zones = {n.name: n.zone for n in self.engines.values()}
        self._calls = CallService(site, self._at, random.Random(f"calls {seed}"))
        self._decisions, self._decision_seconds = 0, 0.0
        self._outcomes: list[Outcome] = []
        if plan.tells_peers and self.hosts[0].policy.book is not None:
            self._start_gossip()

    def run(self, arrivals: list[Arrival], seconds: float) -> Played:
        for arrival in arrivals:
            outcome = Outcome(arrival)
            self._outcomes.append(outcome)
            self._at(arrival.at + self.site.client_seconds, self._make_arrive(outcome))
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
            for zone in self.site.zones
            for number in range(zone.engines)
        ]

    def _make_arrive(self, outcome: Outcome) -> Callable[[], None]:
        def arrive() -> None:
            if isinstance(outcome.arrival.kind, CallKind):
                self._calls.send(outcome, self.now)
            else:
                PromptRun(self, outcome).send()

        return arrive

    def _divide(self) -> None:
        """Give each host its cell: whom it tells, and the engines that it uses."""
        hosts = [LocatedMember(str(n), host.zone) for n, host in enumerate(self.hosts)]
        engines = [
            LocatedMember(node.name, node.zone) for node in self.engines.values()
        ]
        for number, host in enumerate(self.hosts):
            cell = choose_cell(hosts[number], hosts, engines)
            if cell.covers_fleet:
                return
            host.policy.cell = cell.engines
            if host.policy.book is not None:
                host.policy.book.announces_every_prompt = True
            mates = cell.hosts - {str(number)}
            self._mates[number] = [self.hosts[int(name)] for name in sorted(mates)]
        self._is_divided = True
        self._round_seconds = CELL_ROUND_SECONDS

    # What hosts tell each other.

    def _start_gossip(self) -> None:
        for number, host in enumerate(self.hosts):
            begin = self._rng.uniform(0, self._round_seconds)
            self._at(begin, self._make_tell(number, host))
            if self._is_divided and self._plan.widens and self._plan.tells_summaries:
                self._at(begin, self._make_summarize(host))
            book = host.policy.book
            if self._plan.tells_at_once and self._is_mesh and book is not None:
                book.on_change.append(self._make_tell_at_once(number, host))

    @property
    def _is_mesh(self) -> bool:
        most = max(map(len, self._mates))
        is_small = most <= membership_const.MAX_MESH_PEERS
        return is_small or self._is_divided or self._plan.tells_all

    def _make_tell(self, number: int, host: Host) -> Callable[[], None]:
        def tell() -> None:
            self._tell(number, host)
            self._at(self.now + self._round_seconds, tell)

        return tell

    def _make_tell_at_once(self, number: int, host: Host) -> Callable[[bool], None]:
        def tell(is_reading: bool) -> None:
            self._tell(number, host, to_all=is_reading and self._plan.widens)

        return tell

    def _make_summarize(self, host: Host) -> Callable[[], None]:
        book, cell = host.policy.book, host.policy.cell
        far = [other for other in self.hosts if other.zone != host.zone]
        delay = self.site.cross_zone_seconds + HANDLING_SECONDS / 2
        assert book is not None and cell is not None

        def build() -> dict:
            made_at, summary = self._summaries.get(cell, (float("-inf"), {}))
            if self.now - made_at > SHARED_SUMMARY_SECONDS:
                summary = book.build_summary(cell, self.now)
                self._summaries[cell] = self.now, summary
            return summary

        def summarize() -> None:
            for _ in range(membership_const.HELLO_FANOUT):
                if self._rng.random() < membership_const.CROSS_DOMAIN_HELLO_SHARE:
                    summary = build()
                    other = self._rng.choice(far)
                    hear = self._make_hear_summary(other, summary, delay)
                    self._at(self.now + delay, hear)
            self._at(self.now + membership_const.HELLO_INTERVAL_SECONDS, summarize)

        return summarize

    def _make_hear_summary(
        self, other: Host, summary: dict, age: float
    ) -> Callable[[], None]:
        book = other.policy.book
        assert book is not None
        return lambda: book.apply_summary(summary, age, self.now)

    def _tell(self, number: int, host: Host, to_all: bool = False) -> None:
        others = self._mates[number]
        if to_all:
            others = [other for other in self.hosts if other is not host]
        elif not self._is_mesh:
            others = self._rng.sample(others, membership_const.HELLO_FANOUT)
        assert host.policy.book is not None
        digest = host.policy.book.build_digest(self.now)
        for other in others:
            delay = self.site.get_delay(host.zone, other.zone) + HANDLING_SECONDS / 2
            self._at(self.now + delay, self._make_hear(number, other, digest, delay))

    def _make_hear(
        self, number: int, other: Host, digest: dict, age: float
    ) -> Callable[[], None]:
        book = other.policy.book
        assert book is not None
        return lambda: book.apply_digest(str(number), digest, age, self.now)

    def choose(
        self, host: Host, need: PromptRequirements, tried: set[str]
    ) -> Sending | None:
        """Let a host decide, and count what it took."""
        began = time.thread_time()
        sending = host.policy.choose(need, tried, self.now)
        self._decision_seconds += time.thread_time() - began
        self._decisions += 1
        return sending

    def draw(self) -> float:
        return self._rng.random()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        self._at(self.now + seconds, action)
