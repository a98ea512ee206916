"""Randomised runs of targets that advertise request rate limits."""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonward_gateway import const as gateway_const
from tarragonward_gateway.limit_gossip import LimitGossip
from tarragonward_placement import HostView, TargetLimits
from tarragonward_standins.platform_checker import count_max_in_window

from .host import GossipHost, Section
from .target_run import TargetRun
from .views import HostViewCache

__all__ = ["LimitPlan", "LimitRun", "run_limit_seed"]

SECTION = "limits"
# The requirement of the users: sends count from SETTLED_SECONDS after a limit was first
# advertised, and only from hosts that were notified NOTICE_SECONDS before.
SETTLED_SECONDS = 3.0
NOTICE_SECONDS = 0.5
WINDOW_SECONDS = 4.0
ALLOWED_RATE_FACTOR = 1.5
ALLOWED_EXTRA_REQUESTS = 5
ANSWER_SECONDS = (0.005, 0.3)
RATES = (0.1, 0.5, 1.0, 1.0, 3.0, 20.0)
UNLIMITED_SECONDS = (0.2, 3.0)
LIMITED_SECONDS = (4.0, 20.0)
FLEET_SIZES = (5, 9)


@dataclass(frozen=True)
class LimitPlan:
    """The settings of one run; seconds are simulated time.

    share is the share of the targets that advertise limits, each for a while.
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
    limited_from: float = 0.0
    # By host: when it was first notified of the current limit.
    notified_at: dict[GossipHost, float] = field(default_factory=dict)
    counted_sends: list[float] = field(default_factory=list)


class _Host(GossipHost):
    def __init__(self, run: LimitRun, number: int) -> None:
        super().__init__(run.fleet, number)
        self.limits = TargetLimits(self.random)
        self.gossip = LimitGossip(self.limits)
        self.sections[SECTION] = Section(self._build, self._apply)
        self._views = HostViewCache(self)

    @property
    def view(self) -> HostView:
        return self._views.get()

    def handle_answer(self, target: _Target, rate: float | None) -> None:
        if not self.run_or_defer(self.handle_answer, target, rate):
            return
        if self.limits.record_advertised(target.number, rate, self.world.now):
            self.gossip.record_change(target.number)
            self.world.schedule_after(
                gateway_const.LIMIT_BATCH_SECONDS, self._send_pending
            )
        if rate is not None:
            target.notified_at.setdefault(self, self.world.now)

    def _build(self) -> list[object] | None:
        targets = self.gossip.choose_next()
        return self.gossip.build(targets, self.world.now) or None

    def _apply(self, data: list[object], age: float) -> None:
        self.gossip.merge(data, age, self.world.now)

    def _send_pending(self) -> None:
        if not self.run_or_defer(self._send_pending):
            return
        for targets in self.gossip.take_pending():
            content = self.gossip.build(targets, self.world.now)
            self.send_section(self.members.get_addresses(), SECTION, content)


class LimitRun(TargetRun):
    """One run: callers, hosts, and targets that advertise limits and count requests."""

    def __init__(self, plan: LimitPlan, seed: int) -> None:
        self.plan = plan
        self.targets = [_Target(number) for number in range(plan.targets)]
        self.limited_sends = 0
        self.allowed = 0.0
        super().__init__(seed, plan.hosts, plan.domains, plan.requests_a_second)

    def run(self) -> LimitRun:
        """Run the simulation; raise AssertionError if the requirement is violated."""
        begin = self.begin(self.plan.seconds, self.plan.has_troubles)
        for target in self.pick_targets(self.targets, self.plan.share):
            at = begin + self.random.uniform(*UNLIMITED_SECONDS)
            self.world.schedule_at(at, lambda each=target: self._begin_limit(each))
        self.finish()
        return self

    def check_end(self) -> None:
        """Check the limits that are still in force."""
        for target in self.targets:
            self._check(target)

    def describe(self) -> str:
        """Return the run's figures."""
        return (
            f"limits asked={self.request_count} refused={self.refused_count} "
            f"limited_sends={self.limited_sends} allowed={self.allowed:.0f}"
        )

    def build_host(self, number: int) -> GossipHost:
        """Return a new incarnation of a host."""
        return _Host(self, number)

    def _begin_limit(self, target: _Target) -> None:
        target.rate = self.random.choice(RATES)
        target.limited_from = self.world.now
        duration = self.random.uniform(*LIMITED_SECONDS)
        self.world.schedule_after(duration, lambda: self._end_limit(target))

    def _end_limit(self, target: _Target) -> None:
        self._check(target)
        target.rate = None
        target.notified_at.clear()
        target.counted_sends.clear()
        delay = self.random.uniform(*UNLIMITED_SECONDS)
        self.world.schedule_after(delay, lambda: self._begin_limit(target))

    def _check(self, target: _Target) -> None:
        if target.rate is None:
            return
        allowed = (
            ALLOWED_RATE_FACTOR * target.rate * WINDOW_SECONDS + ALLOWED_EXTRA_REQUESTS
        )
        max_sends = count_max_in_window(sorted(target.counted_sends), WINDOW_SECONDS)
        if max_sends > allowed:
            self.violations.append(
                f"{max_sends} sends, {allowed:g} allowed at {target.rate:g} a second"
            )
        self.allowed += target.rate * (self.world.now - target.limited_from)

    def send_request(self, host: GossipHost) -> None:
        """Let a host send a request to a target that allows it one."""
        if not host.run_or_defer(self.send_request, host):
            return
        self.request_count += 1
        now = self.world.now
        candidates = [
            t for t in self.targets if host.limits.may_send(t.number, host.view, now)
        ]
        if not candidates:
            self.refused_count += 1
            return
        target = self.random.choice(candidates)
        host.limits.record_send(target.number)
        self.world.schedule_after(
            self.world.sample_delay(), lambda: self._arrive(target, host)
        )

    def _arrive(self, target: _Target, host: _Host) -> None:
        now, rate = self.world.now, target.rate
        if rate is not None:
            self.limited_sends += 1
            is_notified = (
                target.notified_at.get(host, float("inf")) + NOTICE_SECONDS <= now
            )
            is_counted = now >= target.limited_from + SETTLED_SECONDS
            if is_notified and is_counted and host.has_been_connected(SETTLED_SECONDS):
                target.counted_sends.append(now)
        delay = self.random.uniform(*ANSWER_SECONDS)
        self.world.schedule_after(delay, lambda: host.handle_answer(target, rate))


def choose_plan(seed: int) -> LimitPlan:
    """Return a seed's plan: a small fleet; in every third all targets have limits."""
    hosts = FLEET_SIZES[seed % len(FLEET_SIZES)]
    return LimitPlan(
        hosts=hosts,
        targets=2 * hosts,
        share=1.0 if seed % 3 == 0 else 0.3,
        requests_a_second=8.0 * hosts,
        seconds=12.0,
    )


def run_limit_seed(seed: int) -> int:
    """Run one seed; raise AssertionError if the requirement is violated."""
    return LimitRun(choose_plan(seed), seed).run().world.events
