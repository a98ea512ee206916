"""Randomised runs of targets that become cold and tolerate few requests."""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonward_gateway import const as gateway_const
from tarragonward_placement import ColdBound, ColdTargets, HostView
from tarragonward_standins.platform_checker import count_max_in_window

from .host import GossipHost
from .target_run import TargetRun
from .views import HostViewCache

__all__ = ["ColdPlan", "ColdRun", "run_cold_seed"]

# The requirement of the users: of all hosts together, in any second.
BOUND = ColdBound(excess=1.5, slack=5.0)
WINDOW_SECONDS = 1.0
RATES = (2.0, 6.0, 15.0)
COLD_SECONDS = (2.0, 6.0)
WARM_SECONDS = (0.5, 3.0)
# How long after a target has started its entry reaches a host.
ENTRY_SECONDS = (0.05, 2.0)
FLEET_SIZES = (9, 68)


@dataclass(frozen=True)
class ColdPlan:
    """The settings of one run; seconds are simulated time."""

    hosts: int = 9
    domains: int = 3
    targets: int = 18
    requests_a_second: float = 300.0
    seconds: float = 15.0
    has_troubles: bool = True


@dataclass(eq=False)
class _Target:
    """A target that ends and starts again, cold, as another boot each time."""

    slot: int
    boot: int = 0
    rate: float = 0.0
    cold_from: float = 0.0
    cold_until: float = 0.0
    arrivals: list[float] = field(default_factory=list)

    @property
    def number(self) -> int:
        return self.slot * 1_000 + self.boot


class _Host(GossipHost):
    def __init__(self, run: ColdRun, number: int) -> None:
        super().__init__(run.fleet, number)
        self.cold = ColdTargets(self.random, BOUND)
        self.known: dict[int, _Target] = {}
        self._started_at = self.world.now
        self._views = HostViewCache(self)
        for target in run.targets:
            run.schedule_entry(self, target)

    @property
    def view(self) -> HostView:
        seconds = self.world.now - self._started_at
        is_starting = seconds < gateway_const.HOST_VIEW_STARTING_SECONDS
        return self._views.get(is_starting)

    def read_entry(self, target: _Target, boot: int) -> None:
        if not self.run_or_defer(self.read_entry, target, boot):
            return
        if boot != target.boot:
            return
        self.known[target.number] = target
        seconds = target.cold_until - target.cold_from
        self.cold.record(target.number, seconds, self.world.now)

    def choose(self) -> _Target | None:
        """Return a target that seems to be cold and may get a request."""
        now = self.world.now
        for number, target in self.known.items():
            if target.number != number or not self.cold.is_cold(number, now):
                continue
            if self.cold.may_send(number, target.rate, self.view, now):
                return target
        return None


class ColdRun(TargetRun):
    """One run: each host sends to cold targets whatever it may."""

    def __init__(self, plan: ColdPlan, seed: int) -> None:
        self.plan = plan
        self.targets = [_Target(slot) for slot in range(plan.targets)]
        self.sends = 0
        self.allowed = 0.0
        super().__init__(seed, plan.hosts, plan.domains, plan.requests_a_second)

    def run(self) -> ColdRun:
        """Run the simulation; raise AssertionError if the requirement is violated."""
        begin = self.begin(self.plan.seconds, self.plan.has_troubles)
        for target in self.targets:
            at = begin + self.random.uniform(*WARM_SECONDS)
            self.world.schedule_at(at, lambda each=target: self._start_cold(each))
        self.finish()
        return self

    def check_end(self) -> None:
        """Check the targets that are still cold."""
        for target in self.targets:
            self._check(target)

    def describe(self) -> str:
        """Return the run's figures."""
        return (
            f"cold asked={self.request_count} refused={self.refused_count} "
            f"sends={self.sends} allowed={self.allowed:.0f}"
        )

    def build_host(self, number: int) -> GossipHost:
        """Return a new incarnation of a host."""
        return _Host(self, number)

    def schedule_entry(self, host: _Host, target: _Target) -> None:
        """Let the entry of a target's present boot reach a host after a while."""
        if target.boot:
            delay = self.random.uniform(*ENTRY_SECONDS)
            boot = target.boot
            self.world.schedule_after(delay, lambda: host.read_entry(target, boot))

    def _start_cold(self, target: _Target) -> None:
        target.boot += 1
        target.rate = self.random.choice(RATES)
        target.cold_from = self.world.now
        target.cold_until = self.world.now + self.random.uniform(*COLD_SECONDS)
        target.arrivals.clear()
        for host in self.fleet.hosts.values():
            self.schedule_entry(host, target)
        self.world.schedule_at(target.cold_until, lambda: self._become_warm(target))

    def _become_warm(self, target: _Target) -> None:
        self._check(target)
        target.arrivals.clear()
        delay = self.random.uniform(*WARM_SECONDS)
        self.world.schedule_after(delay, lambda: self._start_cold(target))

    def _check(self, target: _Target) -> None:
        now = min(self.world.now, target.cold_until)
        self.allowed += target.rate * max(0.0, now - target.cold_from)
        allowed = BOUND.excess * target.rate + BOUND.slack
        most = count_max_in_window(sorted(target.arrivals), WINDOW_SECONDS)
        if most > allowed:
            self.violations.append(
                f"{most} requests in a second, {allowed:g} allowed at {target.rate:g}"
            )

    def send_request(self, host: GossipHost) -> None:
        """Let a host send a request to a cold target that allows it one."""
        if not host.run_or_defer(self.send_request, host):
            return
        self.request_count += 1
        target = host.choose()
        if target is None:
            self.refused_count += 1
            return
        host.cold.record_send(target.number)
        boot = target.boot
        self.world.schedule_after(
            self.world.sample_delay(), lambda: self._arrive(target, boot)
        )

    def _arrive(self, target: _Target, boot: int) -> None:
        if boot == target.boot and self.world.now < target.cold_until:
            self.sends += 1
            target.arrivals.append(self.world.now)


def choose_plan(seed: int) -> ColdPlan:
    """Return a seed's plan: a small fleet, or one of several cells."""
    hosts = FLEET_SIZES[seed % len(FLEET_SIZES)]
    return ColdPlan(hosts=hosts, requests_a_second=600.0, seconds=10.0)


def run_cold_seed(seed: int) -> int:
    """Run one seed; raise AssertionError if the requirement is violated."""
    return ColdRun(choose_plan(seed), seed).run().world.events
