"""Randomised simulation of membership: after random faults, all views must agree."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from tarragonward_core import InvariantViolationError, invariants

from .membership_network import FakeHost, FakeNetwork, NetworkPlan

__all__ = ["MembershipRun", "run_membership", "run_membership_seed"]

MAX_MESSAGE_BYTES = 1_100
MAX_BYTES_PER_SECOND = 12_000
STEP_SECONDS = 0.25
# Covers two probe cycles, the suspicion timeout, and a heartbeat to every host.
MAX_AGREEMENT_SECONDS = 60.0
FAULTS = 8
MAX_END_DETECTION_SECONDS = 30.0


@dataclass(frozen=True)
class MembershipRun:
    """Result of a run; seconds are simulated time."""

    seed: int
    faults: Counter[str]
    agreed_after_seconds: float
    largest_message: int
    bytes_per_second: float
    messages: int


def run_membership_seed(seed: int) -> int:
    """Run one seed; return the number of messages sent."""
    return run_membership(seed).messages


def run_membership(seed: int, faults: int = FAULTS) -> MembershipRun:
    """Run one seed; raise InvariantViolationError if an invariant is violated."""
    return _Run(seed).run(faults)


class _Run:
    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._rng = random.Random(seed)
        plan = NetworkPlan(
            failure_domains=("a", "b", "c")[: self._rng.randint(1, 3)],
            hosts_per_domain=self._rng.randint(2, 6),
            loss=self._rng.choice((0.0, 0.01, 0.05)),
            max_delay=self._rng.choice((0.005, 0.05)),
        )
        self._network = FakeNetwork(plan, seed)
        self._faults: Counter[str] = Counter()

    def run(self, faults: int) -> MembershipRun:
        self._run_until_agreement()
        actions = (
            self._kill,
            self._return,
            self._freeze,
            self._wake,
            self._cut_domain,
            self._cut_one_way,
            self._heal,
        )
        for _ in range(faults):
            action = self._rng.choice(actions)
            self._faults[action.__name__.strip("_")] += 1
            action()
            self._network.run(self._rng.choice((0.1, 1.0, 5.0, 20.0)))
        self._clear_faults()
        agreed_after = self._run_until_agreement()
        self._check_previous_incarnations()
        return self._report(agreed_after)

    def _clear_faults(self) -> None:
        self._network.heal()
        for host in self._network.hosts.values():
            if host.held_actions is not None:
                self._network.resume(host)

    def _run_until_agreement(self) -> float:
        """Run until all views are correct; fail if that takes too long."""
        begin = self._network.now
        while (wrong := self._network.find_disagreement()) is not None:
            seconds = self._network.now - begin
            if seconds > MAX_AGREEMENT_SECONDS:
                self._fail("views_agree", wrong)
            self._network.run(STEP_SECONDS)
        return self._network.now - begin

    def _check_previous_incarnations(self) -> None:
        """Check that hosts learn in time that each previous incarnation has ended."""
        give_up_at = self._network.now + MAX_END_DETECTION_SECONDS
        while (wrong := self._find_not_gone()) is not None:
            if self._network.now > give_up_at:
                self._fail("ended_lives_are_gone", wrong)
            self._network.run(STEP_SECONDS)

    def _find_not_gone(self) -> str | None:
        now = self._network.now
        for host in self._network.get_running():
            for other in self._network.hosts.values():
                if other is host:
                    continue
                for identity in other.previous_identities:
                    if not host.membership.is_gone(identity, now):
                        return f"{host.address} of {identity}"
        return None

    def _report(self, agreed_after: float) -> MembershipRun:
        hosts = self._network.hosts.values()
        largest = max(host.largest_message for host in hosts)
        rate = max(host.bytes_sent for host in hosts) / self._network.now
        if largest > MAX_MESSAGE_BYTES or rate > MAX_BYTES_PER_SECOND:
            self._fail("bytes_are_bounded", f"message={largest} a_second={rate:.0f}")
        messages = sum(host.messages_sent for host in hosts)
        return MembershipRun(
            self._seed, self._faults, agreed_after, largest, rate, messages
        )

    def _fail(self, name: str, what: str) -> None:
        invariants.check(False, name, seed=self._seed, found=what)
        raise InvariantViolationError(f"{name}: seed {self._seed}: {what}")

    # The name of a fault method is the name of the fault in the results.

    def _pick(self, fits: Callable[[FakeHost], bool]) -> FakeHost | None:
        hosts = [h for h in self._network.hosts.values() if fits(h)]
        return self._rng.choice(hosts) if hosts else None

    def _kill(self) -> None:
        host = self._pick(lambda h: h.is_up)
        if host is not None:
            self._network.kill(host)

    def _return(self) -> None:
        host = self._pick(lambda h: not h.is_up)
        if host is not None:
            self._network.start(host)

    def _freeze(self) -> None:
        host = self._pick(lambda h: h.is_up)
        if host is not None:
            self._network.pause(host)

    def _wake(self) -> None:
        host = self._pick(lambda h: h.held_actions is not None)
        if host is not None:
            self._network.resume(host)

    def _cut_domain(self) -> None:
        domain = self._rng.choice(self._network.plan.failure_domains)
        hosts = list(self._network.hosts.values())
        senders = [h for h in hosts if h.listed.failure_domain == domain]
        others = [h for h in hosts if h not in senders]
        self._network.block(senders, others)
        self._network.block(others, senders)

    def _cut_one_way(self) -> None:
        hosts = list(self._network.hosts.values())
        senders = self._rng.sample(hosts, self._rng.randint(1, len(hosts) - 1))
        others = self._rng.sample(hosts, self._rng.randint(1, len(hosts) - 1))
        self._network.block(senders, others)

    def _heal(self) -> None:
        self._network.heal()
