"""Randomised runs of targets that refuse requests and ask for a rest."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from tarragonward_gateway import const as gateway_const
from tarragonward_gateway.rest_gossip import RestGossip
from tarragonward_placement import TargetRests

from ..hearing.host import build_address
from .host import GossipHost, Section
from .target_run import TargetRun

__all__ = ["RestPlan", "RestRun", "run_rest_seed"]

SECTION = "rests"
# The requirement of the users: between NOTICE_SECONDS after a host was asked for a rest
# and the end of the rest, it sends the target at most MAX_SENDS_DURING_REST requests.
NOTICE_SECONDS = 0.5
MAX_SENDS_DURING_REST = 2
MAX_SENDS_PER_REQUEST = 2
WORK_SECONDS = (0.05, 1.0)
ANSWER_SECONDS = 0.003
REST_SECONDS = (0.2, 1.0, 3.0, 3.0, 5.0)
SERVING_SECONDS = (1.0, 8.0)
REFUSING_SECONDS = (2.0, 10.0)
FLEET_SIZES = (5, 9)
CELL_HOSTS = 9


@dataclass(frozen=True)
class RestPlan:
    """The settings of one run; seconds are simulated time.

    share is the share of the targets that refuse requests, each for a while.
    shares_rests: hosts tell each other what targets asked of them.
    """

    hosts: int = 9
    domains: int = 3
    targets: int = 18
    share: float = 0.25
    requests_a_second: float = 40.0
    seconds: float = 25.0
    has_troubles: bool = True
    shares_rests: bool = True

    @property
    def cells(self) -> int:
        """Return into how many cells hosts and targets are divided."""
        is_small = self.hosts <= gateway_const.MAX_REST_RECEIVERS
        return 1 if is_small else self.hosts // CELL_HOSTS


@dataclass(eq=False)
class _AskedRest:
    """A rest that a target asked of a host, and the requests that it got in it."""

    notice_ends_at: float
    ends_at: float
    sends: int = 0


@dataclass(eq=False)
class _Target:
    id: str
    rest_seconds: float | None = None
    asked: dict[GossipHost, list[_AskedRest]] = field(
        default_factory=lambda: defaultdict(list)
    )


class _Host(GossipHost):
    def __init__(self, run: RestRun, number: int) -> None:
        super().__init__(run.fleet, number)
        self.rests = TargetRests()
        self.in_flight: dict[str, int] = defaultdict(int)
        self.gossip = RestGossip(self.rests, self.random)
        self.shares = run.plan.shares_rests
        self.cell = number % run.plan.cells
        self.cell_peers = [
            build_address(other)
            for other in range(self.cell, run.plan.hosts, run.plan.cells)
            if other != number
        ]
        if self.shares:
            self.sections[SECTION] = Section(lambda: None, self._apply)

    def choose(self, targets: list[_Target], is_retry: bool) -> _Target | None:
        now = self.world.now
        awake = self.rests.get_awake(targets, now)
        selected = self.rests.prefer(awake, now, is_retry)
        if not selected:
            return None
        return min(selected, key=lambda t: (self.in_flight[t.id], self.random.random()))

    def record_rest(self, target: _Target, seconds: float) -> None:
        now = self.world.now
        if self.rests.begin(target.id, seconds, now) and self.shares:
            self.gossip.record_own(target.id, now + seconds)
            self.world.schedule_after(
                gateway_const.REST_BATCH_SECONDS, self._send_pending
            )

    def _apply(self, data: object, age: float) -> None:
        self.gossip.merge(data, age, self.world.now)

    def _send_pending(self) -> None:
        if self.run_or_defer(self._send_pending):
            content = self.gossip.take_pending(self.world.now)
            if content is not None:
                self.send_section(self.cell_peers, SECTION, content)


class RestRun(TargetRun):
    """One run: callers, hosts, and targets that refuse for a while."""

    def __init__(self, plan: RestPlan, seed: int) -> None:
        self.plan = plan
        self.targets = [_Target(f"t{number}") for number in range(plan.targets)]
        self.refused_sends = 0
        super().__init__(seed, plan.hosts, plan.domains, plan.requests_a_second)

    def run(self) -> RestRun:
        """Run the simulation; raise AssertionError if the requirement is violated."""
        begin = self.begin(self.plan.seconds, self.plan.has_troubles)
        for target in self.pick_targets(self.targets, self.plan.share):
            at = begin + self.random.uniform(0.0, 1.0)
            self.world.schedule_at(at, lambda each=target: self._begin_refusing(each))
        self.finish()
        return self

    def describe(self) -> str:
        """Return the run's figures."""
        return (
            f"rests asked={self.request_count} refused={self.refused_count} "
            f"refused_sends={self.refused_sends}"
        )

    def build_host(self, number: int) -> GossipHost:
        """Return a new incarnation of a host."""
        return _Host(self, number)

    def send_request(self, host: GossipHost) -> None:
        """Let a host send a request to one target, and once more if it is refused."""
        self._send(host, ())

    def _begin_refusing(self, target: _Target) -> None:
        target.rest_seconds = self.random.choice(REST_SECONDS)
        duration = self.random.uniform(*REFUSING_SECONDS)
        self.world.schedule_after(duration, lambda: self._end_refusing(target))

    def _end_refusing(self, target: _Target) -> None:
        target.rest_seconds = None
        delay = self.random.uniform(*SERVING_SECONDS)
        self.world.schedule_after(delay, lambda: self._begin_refusing(target))

    def _send(self, host: _Host, tried: tuple[_Target, ...]) -> None:
        if not host.run_or_defer(self._send, host, tried):
            return
        self.request_count += not tried
        target = None
        if len(tried) < MAX_SENDS_PER_REQUEST:
            in_cell = self.targets[host.cell :: self.plan.cells]
            others = [target for target in in_cell if target not in tried]
            target = host.choose(others, is_retry=bool(tried))
        if target is None:
            self.refused_count += 1
            return
        host.in_flight[target.id] += 1
        self.world.schedule_after(
            self.world.sample_delay(), lambda: self._arrive(target, host, tried)
        )

    def _arrive(self, target: _Target, host: _Host, tried: tuple[_Target, ...]) -> None:
        self._check(target, host)
        seconds = target.rest_seconds
        if seconds is None:
            delay = self.random.uniform(*WORK_SECONDS)
            self.world.schedule_after(delay, lambda: self._finish(target, host))
            return
        self.refused_sends += 1
        now = self.world.now
        target.asked[host].append(_AskedRest(now + NOTICE_SECONDS, now + seconds))
        self.world.schedule_after(
            ANSWER_SECONDS, lambda: self._refuse(target, host, seconds, tried)
        )

    def _check(self, target: _Target, host: _Host) -> None:
        now = self.world.now
        asked = [rest for rest in target.asked[host] if rest.ends_at > now]
        target.asked[host] = asked
        for rest in asked:
            rest.sends += now >= rest.notice_ends_at
            if rest.sends > MAX_SENDS_DURING_REST:
                self.violations.append(
                    f"{rest.sends} sends of host {host.number} in a rest of {target.id}"
                )

    def _finish(self, target: _Target, host: _Host) -> None:
        if host.run_or_defer(self._finish, target, host):
            host.in_flight[target.id] -= 1
            host.rests.record_accepted(target.id, self.world.now)

    def _refuse(
        self,
        target: _Target,
        host: _Host,
        seconds: float,
        tried: tuple[_Target, ...],
    ) -> None:
        if host.run_or_defer(self._refuse, target, host, seconds, tried):
            host.in_flight[target.id] -= 1
            host.record_rest(target, seconds)
            self._send(host, (*tried, target))


def choose_plan(seed: int) -> RestPlan:
    """Return a seed's plan: a small fleet; in every third all targets refuse."""
    hosts = FLEET_SIZES[seed % len(FLEET_SIZES)]
    return RestPlan(
        hosts=hosts,
        targets=2 * hosts,
        share=1.0 if seed % 3 == 0 else 0.3,
        requests_a_second=5.0 * hosts,
        seconds=15.0,
    )


def run_rest_seed(seed: int) -> int:
    """Run one seed; raise AssertionError if the requirement is violated."""
    return RestRun(choose_plan(seed), seed).run().world.events
