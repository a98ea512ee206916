"""Simulate arrivals on engines and on hosts that receive gossip with a delay."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from tarragonward_membership import const as membership_const
from tarragonward_placement import (
    EngineUsage,
    LocatedMember,
    PromptRequirements,
    choose_cell,
    parse_digest,
    parse_summary,
)

from .arrivals import Arrival, Outcome
from .calls import CallService
from .engine import EngineNode
from .policies import POLICY_KINDS, Decision, PolicyPlan
from .prompt import PROCESSING_SECONDS, Host, PromptRun
from .site import CallKind, Site

__all__ = ["PolicyRun", "simulate"]

TAIL_SECONDS = 16.0
PRODUCT = "product"
# Peers of the cell get each prompt at once; the full digest only as bandwidth allows.
CELL_GOSSIP_INTERVAL_SECONDS = 2.0
# Hosts of a cell have the same data, so they share a summary for this long.
SUMMARY_REUSE_SECONDS = 0.02


@dataclass
class PolicyRun:
    """The result of one policy with one seed."""

    policy: str
    seed: int
    outcomes: list[Outcome]
    engines: list[EngineNode]
    decisions: int
    decision_seconds: float


def simulate(
    site: Site, plan: PolicyPlan, arrivals: list[Arrival], seed: int, seconds: float
) -> PolicyRun:
    """Run one policy on the arrivals."""
    return _Fleet(site, plan, seed).run(arrivals, seconds)


class _Fleet:
    def __init__(self, site: Site, plan: PolicyPlan, seed: int) -> None:
        self.site, self._plan = site, plan
        self.receives_request_counts = plan.receives_request_counts
        self._rng = random.Random(f"fleet {seed}")
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.now = 0.0
        self.engines = {
            name: EngineNode(name, zone, site.sizes, site.event_tokens, self._schedule)
            for name, zone in self._name_engines()
        }
        # All hosts use the same order of the engines, independent of zones.
        names = sorted(self.engines, key=lambda _: self._rng.random())
        model = site.build_engine_model()
        policy = POLICY_KINDS[plan.kind]
        self.hosts = [
            Host(zone.name, policy(names, model, random.Random(f"{seed} {zone} {n}")))
            for zone in site.zones
            for n in range(zone.hosts)
        ]
        self._cell_peers = [
            [other for other in self.hosts if other is not host] for host in self.hosts
        ]
        self._has_cells = False
        self._summaries: dict[
            Collection[str], tuple[float, dict[str, EngineUsage]]
        ] = {}
        self._gossip_interval_seconds = membership_const.HELLO_INTERVAL_SECONDS
        if plan.has_cells and plan.kind == PRODUCT:
            self._divide_into_cells()
        for host in self.hosts:
            host.policy.widens = plan.widens
            host.policy.own_zone = host.zone
            host.policy.zones = {n.name: n.zone for n in self.engines.values()}
        self._calls = CallService(site, self._schedule, random.Random(f"calls {seed}"))
        self._decisions, self._decision_seconds = 0, 0.0
        self._outcomes: list[Outcome] = []
        if plan.sends_gossip and self.hosts[0].policy.usage is not None:
            self._start_gossip()

    def run(self, arrivals: list[Arrival], seconds: float) -> PolicyRun:
        for arrival in arrivals:
            outcome = Outcome(arrival)
            self._outcomes.append(outcome)
            self._schedule(
                arrival.at + self.site.client_seconds,
                self._make_arrival_handler(outcome),
            )
        until = seconds + TAIL_SECONDS
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return PolicyRun(
            self._plan.name,
            0,
            self._outcomes,
            list(self.engines.values()),
            self._decisions,
            self._decision_seconds,
        )

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._sequence), action))

    def _name_engines(self) -> list[tuple[str, str]]:
        return [
            (f"{zone.name}-{index}", zone.name)
            for zone in self.site.zones
            for index in range(zone.engines)
        ]

    def _make_arrival_handler(self, outcome: Outcome) -> Callable[[], None]:
        def handle() -> None:
            if isinstance(outcome.arrival.kind, CallKind):
                self._calls.send(outcome, self.now)
            else:
                PromptRun(self, outcome).send()

        return handle

    def _divide_into_cells(self) -> None:
        """Assign each host its cell: its gossip peers and the engines that it uses."""
        hosts = [LocatedMember(str(n), host.zone) for n, host in enumerate(self.hosts)]
        engines = [
            LocatedMember(node.name, node.zone) for node in self.engines.values()
        ]
        for index, host in enumerate(self.hosts):
            cell = choose_cell(hosts[index], hosts, engines)
            if cell.covers_fleet:
                return
            host.policy.cell = cell.engines
            if host.policy.usage is not None:
                host.policy.usage.announces_every_prompt = True
            cell_peers = cell.hosts - {str(index)}
            self._cell_peers[index] = [
                self.hosts[int(name)] for name in sorted(cell_peers)
            ]
        self._has_cells = True
        self._gossip_interval_seconds = CELL_GOSSIP_INTERVAL_SECONDS

    # Gossip between hosts.

    def _start_gossip(self) -> None:
        for index, host in enumerate(self.hosts):
            begin = self._rng.uniform(0, self._gossip_interval_seconds)
            self._schedule(begin, self._make_send_digest(index, host))
            if (
                self._has_cells
                and self._plan.widens
                and self._plan.sends_cell_summaries
            ):
                self._schedule(begin, self._make_summarize(host))
            usage = host.policy.usage
            if self._plan.sends_immediately and self._is_mesh and usage is not None:
                usage.on_change.append(self._make_send_immediately(index, host))

    @property
    def _is_mesh(self) -> bool:
        largest_cell = max(map(len, self._cell_peers))
        is_small = largest_cell <= membership_const.MAX_MESH_PEERS
        return is_small or self._has_cells or self._plan.sends_to_all

    def _make_send_digest(self, index: int, host: Host) -> Callable[[], None]:
        def send() -> None:
            self._send_digest(index, host)
            self._schedule(self.now + self._gossip_interval_seconds, send)

        return send

    def _make_send_immediately(self, index: int, host: Host) -> Callable[[bool], None]:
        def send(is_prefill: bool) -> None:
            self._send_digest(index, host, to_all=is_prefill and self._plan.widens)

        return send

    def _make_summarize(self, host: Host) -> Callable[[], None]:
        usage, cell = host.policy.usage, host.policy.cell
        remote_hosts = [other for other in self.hosts if other.zone != host.zone]
        delay = self.site.cross_zone_seconds + PROCESSING_SECONDS / 2
        assert usage is not None and cell is not None

        def build() -> dict[str, EngineUsage]:
            made_at, summary = self._summaries.get(cell, (float("-inf"), {}))
            if self.now - made_at > SUMMARY_REUSE_SECONDS:
                summary = parse_summary(usage.build_summary(cell, self.now))
                self._summaries[cell] = self.now, summary
            return summary

        def summarize() -> None:
            for _ in range(membership_const.HELLO_FANOUT):
                if self._rng.random() < membership_const.CROSS_DOMAIN_HELLO_SHARE:
                    summary = build()
                    other = self._rng.choice(remote_hosts)
                    receive = self._make_receive_summary(other, summary, delay)
                    self._schedule(self.now + delay, receive)
            self._schedule(
                self.now + membership_const.HELLO_INTERVAL_SECONDS, summarize
            )

        return summarize

    def _make_receive_summary(
        self, other: Host, summary: dict[str, EngineUsage], age: float
    ) -> Callable[[], None]:
        usage = other.policy.usage
        assert usage is not None
        return lambda: usage.record_summary(summary, age, self.now)

    def _send_digest(self, index: int, host: Host, to_all: bool = False) -> None:
        others = self._cell_peers[index]
        if to_all:
            others = [other for other in self.hosts if other is not host]
        elif not self._is_mesh:
            others = self._rng.sample(others, membership_const.HELLO_FANOUT)
        assert host.policy.usage is not None
        # Hosts only read what they receive, so they can share the parsed digest.
        digest = parse_digest(host.policy.usage.build_digest(self.now))
        for other in others:
            delay = self.site.get_delay(host.zone, other.zone) + PROCESSING_SECONDS / 2
            self._schedule(
                self.now + delay, self._make_receive_digest(index, other, digest, delay)
            )

    def _make_receive_digest(
        self, index: int, other: Host, digest: dict[str, EngineUsage], age: float
    ) -> Callable[[], None]:
        usage = other.policy.usage
        assert usage is not None
        return lambda: usage.record_digest(str(index), digest, age, self.now)

    def choose(
        self, host: Host, requirements: PromptRequirements, tried: set[str]
    ) -> Decision | None:
        """Let a host decide, and record the processor time of the decision."""
        began = time.thread_time()
        decision = host.policy.choose(requirements, tried, self.now)
        self._decision_seconds += time.thread_time() - began
        self._decisions += 1
        return decision

    def random(self) -> float:
        return self._rng.random()

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        self._schedule(self.now + seconds, action)
