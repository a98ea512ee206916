"""Randomised runs of targets that name how many requests a second they take."""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonward_gateway import const as gateway_const
from tarragonward_gateway.limit_gossip import LimitGossip
from tarragonward_placement import HostView, TargetLimits
from tarragonward_standins.platform_checker import count_max_in_window

from ..hearing.world import Links, World
from .host import HarmFleet, HarmHost, Section
from .troubles import HostTroubles

__all__ = ["LimitPlan", "LimitRun", "run_limit_seed"]

SECTION = "limits"
# The users' rule: what is counted begins so long after a limit was first named, and is
# from hosts that had been told so long before.
STABLE_SECONDS = 3.0
TOLD_SECONDS = 0.5
WINDOW_SECONDS = 4.0
FACTOR = 1.5
SLACK = 5
ANSWER_SECONDS = (0.005, 0.3)
SETTLE_SECONDS = 4.0
RATES = (0.1, 0.5, 1.0, 1.0, 3.0, 20.0)
NAME_SECONDS = (0.2, 3.0)
LAST_SECONDS = (4.0, 20.0)
LOSS = 0.02
SIZES = (5, 9)


@dataclass(frozen=True)
class LimitPlan:
    """What one run plays; seconds are those of the fake clock.

    share is the part of the targets that name a limit in the run, each for a while.
    """

    hosts: int = 9
    domains: int = 3
    targets: int = 16
    share: float = 0.3
    requests_a_second: float = 90.0
    seconds: float = 25.0
    has_troubles: bool = True


@dataclass(eq=False)
class _Target:
    number: int
    rate: float | None = None
    named_at: float = 0.0
    # By host: when it was first told of the limit that is named now.
    told_at: dict[HarmHost, float] = field(default_factory=dict)
    counted: list[float] = field(default_factory=list)


class _Host(HarmHost):
    def __init__(self, run: LimitRun, number: int) -> None:
        super().__init__(run.fleet, number)
        self.limits = TargetLimits(self.random)
        self.gossip = LimitGossip(self.limits)
        self.sections[SECTION] = Section(self._build, self._take)
        self._view: HostView | None = None
        self._view_at = float("-inf")

    @property
    def view(self) -> HostView:
        now = self.world.now
        if (
            self._view is None
            or now - self._view_at >= gateway_const.HOST_VIEW_REFRESH_SECONDS
        ):
            known = self.members.get_known_addresses(now)
            most = max(len(known), self.members.get_max_known_host_count(now))
            self._view = HostView(str(self.address), frozenset(map(str, known)), most)
            self._view_at = now
        return self._view

    def note_answer(self, target: _Target, rate: float | None) -> None:
        if not self.wake_at(self.note_answer, target, rate):
            return
        if self.limits.record_advertised(target.number, rate, self.world.now):
            self.gossip.record_change(target.number)
            self.world.after(gateway_const.LIMIT_BATCH_SECONDS, self._tell)
        if rate is not None:
            target.told_at.setdefault(self, self.world.now)

    def _build(self) -> list[object] | None:
        numbers = self.gossip.choose_next()
        return self.gossip.build(numbers, self.world.now) or None

    def _take(self, data: list[object], age: float) -> None:
        self.gossip.merge(data, age, self.world.now)

    def _tell(self) -> None:
        if not self.wake_at(self._tell):
            return
        for numbers in self.gossip.take_pending():
            content = self.gossip.build(numbers, self.world.now)
            self.tell(self.members.get_addresses(), SECTION, content)


class LimitRun:
    """One run: callers, hosts, and targets that name limits and count what comes."""

    def __init__(self, plan: LimitPlan, seed: int) -> None:
        self.plan = plan
        self.world = World(seed)
        self.random = self.world.random
        self.fleet = HarmFleet(self.world, Links(LOSS), plan.domains)
        self.targets = [_Target(number) for number in range(plan.targets)]
        self.asked = self.refused = self.limited_sends = 0
        self.allowed = 0.0
        self.broken: list[str] = []
        for number in range(plan.hosts):
            self.make_host(number)
        for host in self.fleet.hosts.values():
            host.settle()

    def run(self) -> LimitRun:
        """Play the run; raise AssertionError where the rule is broken."""
        begin = self.world.now + SETTLE_SECONDS
        self._until = begin + self.plan.seconds
        if self.plan.has_troubles:
            HostTroubles(self.fleet, self.make_host, self._until).begin()
        count = max(1, int(self.plan.share * len(self.targets)))
        for target in self.random.sample(self.targets, count):
            at = begin + self.random.uniform(*NAME_SECONDS)
            self.world.at(at, lambda each=target: self._name(each))
        self.world.at(begin, self._ask_one)
        self.world.run(self._until)
        for target in self.targets:
            self._judge(target)
        assert not self.broken, "; ".join(self.broken)
        return self

    def describe(self) -> str:
        """Return the run's figures."""
        return (
            f"limits asked={self.asked} refused={self.refused} "
            f"limited_sends={self.limited_sends} allowed={self.allowed:.0f}"
        )

    def make_host(self, number: int) -> HarmHost:
        """Start a host, or another life of it."""
        host = _Host(self, number)
        self.fleet.hosts[host.address] = host
        return host

    def _name(self, target: _Target) -> None:
        target.rate = self.random.choice(RATES)
        target.named_at = self.world.now
        lasts = self.random.uniform(*LAST_SECONDS)
        self.world.after(lasts, lambda: self._end(target))

    def _end(self, target: _Target) -> None:
        self._judge(target)
        target.rate = None
        target.told_at.clear()
        target.counted.clear()
        wait = self.random.uniform(*NAME_SECONDS)
        self.world.after(wait, lambda: self._name(target))

    def _judge(self, target: _Target) -> None:
        if target.rate is None:
            return
        allowed = FACTOR * target.rate * WINDOW_SECONDS + SLACK
        most = count_max_in_window(sorted(target.counted), WINDOW_SECONDS)
        if most > allowed:
            self.broken.append(f"{most} of {allowed:g}, {target.rate:g} a second")
        self.allowed += target.rate * (self.world.now - target.named_at)

    def _ask_one(self) -> None:
        if self.world.now >= self._until:
            return
        self._ask(self.random.choice(list(self.fleet.hosts.values())))
        wait = self.random.expovariate(self.plan.requests_a_second)
        self.world.after(wait, self._ask_one)

    def _ask(self, host: _Host) -> None:
        if not host.wake_at(self._ask, host):
            return
        self.asked += 1
        now = self.world.now
        ready = [
            t for t in self.targets if host.limits.may_send(t.number, host.view, now)
        ]
        if not ready:
            self.refused += 1
            return
        target = self.random.choice(ready)
        host.limits.record_send(target.number)
        self.world.after(self.world.draw_delay(), lambda: self._arrive(target, host))

    def _arrive(self, target: _Target, host: _Host) -> None:
        now, rate = self.world.now, target.rate
        if rate is not None:
            self.limited_sends += 1
            is_told = target.told_at.get(host, float("inf")) + TOLD_SECONDS <= now
            is_counted = now >= target.named_at + STABLE_SECONDS
            if is_told and is_counted and host.is_in_touch(STABLE_SECONDS):
                target.counted.append(now)
        wait = self.random.uniform(*ANSWER_SECONDS)
        self.world.after(wait, lambda: host.note_answer(target, rate))


def draw_plan(seed: int) -> LimitPlan:
    """Return the small plan of a seed; in each third all targets name limits."""
    hosts = SIZES[seed % len(SIZES)]
    return LimitPlan(
        hosts=hosts,
        targets=2 * hosts,
        share=1.0 if seed % 3 == 0 else 0.3,
        requests_a_second=8.0 * hosts,
        seconds=12.0,
    )


def run_limit_seed(seed: int) -> int:
    """Run one seed; raise AssertionError where the rule is broken."""
    return LimitRun(draw_plan(seed), seed).run().world.events
