"""Randomised runs of targets that refuse requests and ask for a cooldown."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from tarragonward_gateway import const as gateway_const
from tarragonward_gateway.cooldown_gossip import CooldownGossip
from tarragonward_placement import TargetCooldowns

from ..hearing.host import build_address
from .host import GossipHost, Section
from .target_run import TargetRun

__all__ = ["CooldownPlan", "CooldownRun", "run_cooldown_seed"]

SECTION = "cooldowns"
# The requirement of the users: between NOTICE_SECONDS after a host was asked for a
# cooldown and its end, it sends the target at most MAX_SENDS_DURING_COOLDOWN requests.
NOTICE_SECONDS = 0.5
MAX_SENDS_DURING_COOLDOWN = 2
MAX_SENDS_PER_REQUEST = 2
WORK_SECONDS = (0.05, 1.0)
ANSWER_SECONDS = 0.003
COOLDOWN_SECONDS = (0.2, 1.0, 3.0, 3.0, 5.0)
SERVING_SECONDS = (1.0, 8.0)
REFUSING_SECONDS = (2.0, 10.0)
FLEET_SIZES = (5, 9)
CELL_HOSTS = 9


@dataclass(frozen=True)
class CooldownPlan:
    """The settings of one run; seconds are simulated time.

    share is the share of the targets that refuse requests, each for a while.
    shares_cooldowns: hosts tell each other what targets asked of them.
    """

    hosts: int = 9
    domains: int = 3
    targets: int = 18
    share: float = 0.25
    requests_a_second: float = 40.0
    seconds: float = 25.0
    has_troubles: bool = True
    shares_cooldowns: bool = True

    @property
    def cells(self) -> int:
        """Return into how many cells hosts and targets are divided."""
        is_small = self.hosts <= gateway_const.MAX_COOLDOWN_RECEIVERS
        return 1 if is_small else self.hosts // CELL_HOSTS


@dataclass(eq=False)
class _AskedCooldown:
    """A cooldown that a target asked of a host, and the requests that it got in it."""

    notice_ends_at: float
    ends_at: float
    sends: int = 0


@dataclass(eq=False)
class _Target:
    id: str
    cooldown_seconds: float | None = None
    asked: dict[GossipHost, list[_AskedCooldown]] = field(
        default_factory=lambda: defaultdict(list)
    )


class _Host(GossipHost):
    def __init__(self, run: CooldownRun, number: int) -> None:
        super().__init__(run.fleet, number)
        self.cooldowns = TargetCooldowns()
        self.in_flight: dict[str, int] = defaultdict(int)
        self.gossip = CooldownGossip(self.cooldowns, self.random)
        self.shares = run.plan.shares_cooldowns
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
        available = self.cooldowns.get_available(targets, now)
        selected = self.cooldowns.prefer(available, now, is_retry)
        if not selected:
            return None
        return min(selected, key=lambda t: (self.in_flight[t.id], self.random.random()))

    def record_cooldown(self, target: _Target, seconds: float) -> None:
        now = self.world.now
        if self.cooldowns.begin(target.id, seconds, now) and self.shares:
            self.gossip.record_own(target.id, now + seconds)
            self.world.schedule_after(
                gateway_const.COOLDOWN_BATCH_SECONDS, self._send_pending
            )

    def _apply(self, data: object, age: float) -> None:
        self.gossip.merge(data, age, self.world.now)

    def _send_pending(self) -> None:
        if self.run_or_defer(self._send_pending):
            content = self.gossip.take_pending(self.world.now)
            if content is not None:
                self.send_section(self.cell_peers, SECTION, content)


class CooldownRun(TargetRun):
    """One run: callers, hosts, and targets that refuse for a while."""

    def __init__(self, plan: CooldownPlan, seed: int) -> None:
        self.plan = plan
        self.targets = [_Target(f"t{number}") for number in range(plan.targets)]
        self.refused_sends = 0
        super().__init__(seed, plan.hosts, plan.domains, plan.requests_a_second)

    def run(self) -> CooldownRun:
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
            f"cooldowns asked={self.request_count} refused={self.refused_count} "
            f"refused_sends={self.refused_sends}"
        )

    def build_host(self, number: int) -> GossipHost:
        """Return a new incarnation of a host."""
        return _Host(self, number)

    def send_request(self, host: GossipHost) -> None:
        """Let a host send a request to one target, and once more if it is refused."""
        self._send(host, ())

    def _begin_refusing(self, target: _Target) -> None:
        target.cooldown_seconds = self.random.choice(COOLDOWN_SECONDS)
        duration = self.random.uniform(*REFUSING_SECONDS)
        self.world.schedule_after(duration, lambda: self._end_refusing(target))

    def _end_refusing(self, target: _Target) -> None:
        target.cooldown_seconds = None
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
        seconds = target.cooldown_seconds
        if seconds is None:
            delay = self.random.uniform(*WORK_SECONDS)
            self.world.schedule_after(delay, lambda: self._finish(target, host))
            return
        self.refused_sends += 1
        now = self.world.now
        target.asked[host].append(_AskedCooldown(now + NOTICE_SECONDS, now + seconds))
        self.world.schedule_after(
            ANSWER_SECONDS, lambda: self._refuse(target, host, seconds, tried)
        )

    def _check(self, target: _Target, host: _Host) -> None:
        now = self.world.now
        asked = [cooldown for cooldown in target.asked[host] if cooldown.ends_at > now]
        target.asked[host] = asked
        for cooldown in asked:
            cooldown.sends += now >= cooldown.notice_ends_at
            if cooldown.sends > MAX_SENDS_DURING_COOLDOWN:
                self.violations.append(
                    f"{cooldown.sends} sends of host {host.number} during"
                    f" a cooldown of {target.id}"
                )

    def _finish(self, target: _Target, host: _Host) -> None:
        if host.run_or_defer(self._finish, target, host):
            host.in_flight[target.id] -= 1
            host.cooldowns.record_accepted(target.id, self.world.now)

    def _refuse(
        self,
        target: _Target,
        host: _Host,
        seconds: float,
        tried: tuple[_Target, ...],
    ) -> None:
        if host.run_or_defer(self._refuse, target, host, seconds, tried):
            host.in_flight[target.id] -= 1
            host.record_cooldown(target, seconds)
            self._send(host, (*tried, target))


def choose_plan(seed: int) -> CooldownPlan:
    """Return a seed's plan: a small fleet; in every third all targets refuse."""
    hosts = FLEET_SIZES[seed % len(FLEET_SIZES)]
    return CooldownPlan(
        hosts=hosts,
        targets=2 * hosts,
        share=1.0 if seed % 3 == 0 else 0.3,
        requests_a_second=5.0 * hosts,
        seconds=15.0,
    )


def run_cooldown_seed(seed: int) -> int:
    """Run one seed; raise AssertionError if the requirement is violated."""
    return CooldownRun(choose_plan(seed), seed).run().world.events
