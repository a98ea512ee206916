"""Randomised simulation of one host's health tracking of targets."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from itertools import count

from tarragonward_placement import Evidence, TargetHealthTracker

__all__ = ["run_reach_seed"]

ROUND_SECONDS = 0.1
RUN_SECONDS = 60.0
CONNECT_SECONDS = 0.2
ANSWER_SECONDS = 0.1
MEAN_STATE_SECONDS = 6.0
PARTITION_RATE_FACTOR = 0.1
DOMAINS = 3
# A healthy target is ejected for at most one ejection period, the probes of its domain
# before its own and the rounds between. An unhealthy one gets a limited number of
# requests: an initial allowance and a rate.
MAX_EJECTION_SECONDS = 2.0 + 3 * ROUND_SECONDS + 2 * CONNECT_SECONDS
MAX_SENDS_PER_SECOND = 1.0
MAX_INITIAL_SENDS = 3.0

FAULTS = (Evidence.SILENT, Evidence.LOST, Evidence.SPOILED, Evidence.FAILED)


class Health(Enum):
    """Behaviour of a target on connections and requests."""

    WELL = "well"
    DARK = "dark"
    REFUSING = "refusing"
    REPLACED = "replaced"
    FLAKY = "flaky"


@dataclass(eq=False)
class _Target:
    id: str
    failure_domain: str
    service: str = "s"
    health: Health = Health.WELL
    since: float = 0.0
    last_selectable_at: float = 0.0
    has_failed: bool = False
    sends: int = 0


def run_reach_seed(seed: int) -> int:
    """Run one seed; raise AssertionError if a bound is violated."""
    return _Run(seed).run()


class _Run:
    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self._health = TargetHealthTracker()
        size = self.rng.randint(1, 8)
        self._targets = [
            _Target(f"t{domain}-{number}", f"d{domain}")
            for domain in range(DOMAINS)
            for number in range(size)
        ]
        self._max_probe_wait_seconds = (size + 1) // 2
        self._rate = self.rng.choice((2.0, 20.0, 100.0))
        self._partitioned: set[str] = set()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._events = 0

    def run(self) -> int:
        for each in self._targets:
            self._schedule(
                self._draw_duration(), lambda each=each: self._change_health(each)
            )
        for step in range(round(RUN_SECONDS / ROUND_SECONDS)):
            self._run_until(step * ROUND_SECONDS)
            self._change_partitions()
            for target in self._health.take_due_probes(self._targets, self.now):
                self._probe(target)
            for _ in range(round(self._rate * ROUND_SECONDS * self.rng.random() * 2)):
                self._schedule(self.rng.random() * ROUND_SECONDS, self._send)
            self._check()
        return self._events

    def _run_until(self, end: float) -> None:
        while self._due and self._due[0][0] <= end:
            self.now, _, action = heapq.heappop(self._due)
            self._events += 1
            action()
        self.now = end

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + seconds, next(self._numbers), action))

    def _draw_duration(self) -> float:
        return self.rng.expovariate(1 / MEAN_STATE_SECONDS)

    def _change_health(self, target: _Target) -> None:
        is_healthy = target.health is Health.WELL
        others = [health for health in Health if health is not Health.WELL]
        target.health = self.rng.choice(others) if is_healthy else Health.WELL
        self._reset_counters(target)
        self._schedule(self._draw_duration(), lambda: self._change_health(target))

    def _change_partitions(self) -> None:
        for number in range(DOMAINS):
            domain, chance = f"d{number}", ROUND_SECONDS / MEAN_STATE_SECONDS
            is_partitioned = domain in self._partitioned
            if self.rng.random() >= (
                chance if is_partitioned else chance * PARTITION_RATE_FACTOR
            ):
                continue
            self._partitioned ^= {domain}
            for target in self._targets:
                if target.failure_domain == domain:
                    self._reset_counters(target)

    def _reset_counters(self, target: _Target) -> None:
        target.since = target.last_selectable_at = self.now
        target.has_failed, target.sends = False, 0

    def _is_healthy(self, target: _Target) -> bool:
        is_partitioned = target.failure_domain in self._partitioned
        return target.health is Health.WELL and not is_partitioned

    def _is_long_healthy(self, target: _Target) -> bool:
        wait = MAX_EJECTION_SECONDS + self._max_probe_wait_seconds
        return self._is_healthy(target) and self.now - target.since > wait

    def _accepts_connections(self, target: _Target) -> bool:
        is_dead = target.health in (Health.DARK, Health.REFUSING)
        return not is_dead and target.failure_domain not in self._partitioned

    def _send(self) -> None:
        selectable = self._health.select(self._targets, self.now)
        assert selectable, "no target was selected for a request"
        # Unreachable targets have no load, so the placement would prefer them.
        unreachable = [
            each for each in selectable if not self._accepts_connections(each)
        ]
        target = self.rng.choice(unreachable or selectable)
        self._health.start_trial(target, self.now)
        # Not counted if all targets may still be ejected, as then all of them are used.
        if target.has_failed and any(
            self._is_long_healthy(each) for each in selectable
        ):
            target.sends += 1
        self._schedule(self._draw_delay(target), lambda: self._observe(target))

    def _draw_delay(self, target: _Target) -> float:
        if self._accepts_connections(target):
            return ANSWER_SECONDS * self.rng.random()
        return 0.001 if target.health is Health.REFUSING else CONNECT_SECONDS

    def _observe(self, target: _Target) -> None:
        if not self._accepts_connections(target):
            evidence = Evidence.NOT_CONNECTED
        elif target.health is Health.REPLACED:
            evidence = Evidence.REPLACED
        elif target.health is Health.FLAKY and self.rng.random() < 0.5:
            evidence = self.rng.choice(FAULTS)
        else:
            evidence = Evidence.ANSWERED
        target.has_failed |= evidence is not Evidence.ANSWERED
        self._health.observe(target, evidence, self.now)

    def _probe(self, target: _Target) -> None:
        def observe_connected() -> None:
            if self._accepts_connections(target):
                self._health.observe(target, Evidence.CONNECTED, self.now)

        self._schedule(self._draw_delay(target), observe_connected)

    def _check(self) -> None:
        selectable = {each.id for each in self._health.select(self._targets, self.now)}
        for target in self._targets:
            if target.id in selectable:
                target.last_selectable_at = self.now
            if self._is_healthy(target):
                ejected_seconds = self.now - target.last_selectable_at
                assert (
                    ejected_seconds
                    <= MAX_EJECTION_SECONDS + self._max_probe_wait_seconds
                ), f"{target.id} stays ejected"
            elif target.health is not Health.FLAKY:
                allowed = MAX_INITIAL_SENDS + MAX_SENDS_PER_SECOND * (
                    self.now - target.since
                )
                assert target.sends <= allowed, (
                    f"{target.id} got {target.sends} requests"
                )
