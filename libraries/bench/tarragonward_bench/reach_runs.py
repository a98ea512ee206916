"""Randomised runs of one host's view of which targets can be reached."""

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
LENGTH_SECONDS = 60.0
CONNECT_SECONDS = 0.2
ANSWER_SECONDS = 0.1
MEAN_SPELL_SECONDS = 6.0
CUT_SHARE = 0.1
DOMAINS = 3
# A target that is well is out no longer than a rest, the turns of its domain before it
# and the rounds between; a target that is not gets so many first sends.
BACK_SECONDS = 2.0 + 3 * ROUND_SECONDS + 2 * CONNECT_SECONDS
SENDS_A_SECOND = 1.0
FREE_SENDS = 3.0

FAULTS = (Evidence.SILENT, Evidence.LOST, Evidence.SPOILED, Evidence.FAILED)


class Health(Enum):
    """What a target does with a connection and a request."""

    WELL = "well"
    DARK = "dark"
    REFUSING = "refusing"
    REPLACED = "replaced"
    FLAKY = "flaky"


@dataclass(eq=False)
class _Target:
    id: str
    failure_domain: str
    health: Health = Health.WELL
    since: float = 0.0
    usable_at: float = 0.0
    is_learned: bool = False
    sends: int = 0


def run_reach_seed(seed: int) -> int:
    """Run one seed; raise AssertionError where a bound is broken."""
    return _Run(seed).run()


class _Run:
    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.reach = TargetHealthTracker()
        size = self.rng.randint(1, 8)
        self._targets = [
            _Target(f"t{domain}-{number}", f"d{domain}")
            for domain in range(DOMAINS)
            for number in range(size)
        ]
        self._turns = (size + 1) // 2
        self._rate = self.rng.choice((2.0, 20.0, 100.0))
        self._cut: set[str] = set()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._events = 0

    def run(self) -> int:
        for each in self._targets:
            self._after(self._draw_spell(), lambda each=each: self._change(each))
        for step in range(round(LENGTH_SECONDS / ROUND_SECONDS)):
            self._play_until(step * ROUND_SECONDS)
            self._draw_cuts()
            for target in self.reach.take_due_probes(self._targets, self.now):
                self._probe(target)
            for _ in range(round(self._rate * ROUND_SECONDS * self.rng.random() * 2)):
                self._after(self.rng.random() * ROUND_SECONDS, self._send)
            self._check()
        return self._events

    def _play_until(self, end: float) -> None:
        while self._due and self._due[0][0] <= end:
            self.now, _, act = heapq.heappop(self._due)
            self._events += 1
            act()
        self.now = end

    def _after(self, seconds: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + seconds, next(self._numbers), act))

    def _draw_spell(self) -> float:
        return self.rng.expovariate(1 / MEAN_SPELL_SECONDS)

    def _change(self, target: _Target) -> None:
        is_well = target.health is Health.WELL
        others = [health for health in Health if health is not Health.WELL]
        target.health = self.rng.choice(others) if is_well else Health.WELL
        self._begin_spell(target)
        self._after(self._draw_spell(), lambda: self._change(target))

    def _draw_cuts(self) -> None:
        for number in range(DOMAINS):
            domain, chance = f"d{number}", ROUND_SECONDS / MEAN_SPELL_SECONDS
            is_cut = domain in self._cut
            if self.rng.random() >= (chance if is_cut else chance * CUT_SHARE):
                continue
            self._cut ^= {domain}
            for target in self._targets:
                if target.failure_domain == domain:
                    self._begin_spell(target)

    def _begin_spell(self, target: _Target) -> None:
        target.since = target.usable_at = self.now
        target.is_learned, target.sends = False, 0

    def _is_well(self, target: _Target) -> bool:
        is_cut = target.failure_domain in self._cut
        return target.health is Health.WELL and not is_cut

    def _is_long_well(self, target: _Target) -> bool:
        wait = BACK_SECONDS + self._turns
        return self._is_well(target) and self.now - target.since > wait

    def _takes_connections(self, target: _Target) -> bool:
        is_dead = target.health in (Health.DARK, Health.REFUSING)
        return not is_dead and target.failure_domain not in self._cut

    def _send(self) -> None:
        usable = self.reach.select(self._targets, self.now)
        assert usable, "a request found no target"
        # Dead targets are idle, so they are the first to be chosen wherever they may.
        dead = [each for each in usable if not self._takes_connections(each)]
        target = self.rng.choice(dead or usable)
        self.reach.start_trial(target, self.now)
        # Where others have only just come back, all may be in doubt, and all are used.
        if target.is_learned and any(self._is_long_well(each) for each in usable):
            target.sends += 1
        self._after(self._draw_wait(target), lambda: self._hear_of(target))

    def _draw_wait(self, target: _Target) -> float:
        if self._takes_connections(target):
            return ANSWER_SECONDS * self.rng.random()
        return 0.001 if target.health is Health.REFUSING else CONNECT_SECONDS

    def _hear_of(self, target: _Target) -> None:
        if not self._takes_connections(target):
            evidence = Evidence.NOT_CONNECTED
        elif target.health is Health.REPLACED:
            evidence = Evidence.REPLACED
        elif target.health is Health.FLAKY and self.rng.random() < 0.5:
            evidence = self.rng.choice(FAULTS)
        else:
            evidence = Evidence.ANSWERED
        target.is_learned |= evidence is not Evidence.ANSWERED
        self.reach.observe(target, evidence, self.now)

    def _probe(self, target: _Target) -> None:
        def hear() -> None:
            if self._takes_connections(target):
                self.reach.observe(target, Evidence.CONNECTED, self.now)

        self._after(self._draw_wait(target), hear)

    def _check(self) -> None:
        usable = {each.id for each in self.reach.select(self._targets, self.now)}
        for target in self._targets:
            if target.id in usable:
                target.usable_at = self.now
            if self._is_well(target):
                out = self.now - target.usable_at
                assert out <= BACK_SECONDS + self._turns, f"{target.id} stays out"
            elif target.health is not Health.FLAKY:
                allowed = FREE_SENDS + SENDS_A_SECOND * (self.now - target.since)
                assert target.sends <= allowed, f"{target.id} gets {target.sends} sends"
