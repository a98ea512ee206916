"""Randomised simulation of the retry budget that hosts share through seed gossip."""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right

from tarragonward_core import Address, HostIdentity
from tarragonward_membership import (
    HelloReceived,
    RoundDue,
    SeedEffect,
    SeedMembership,
    SendHello,
)
from tarragonward_requests import RetryBudgetBounds, SharedRetryBudget

__all__ = ["run_budget_seed"]

ROUND_SECONDS = 0.25
RUN_SECONDS = 40.0
MAX_PARTITION_SECONDS = 20.0
SERVICE = "service"
PORT = 7_340
SEEDS = 3
# A host's part of the slack allows for this many restarts within one window.
MAX_RESTARTS_PER_WINDOW = 2
MAX_REQUESTS_PER_ROUND = 4


def run_budget_seed(seed: int) -> int:
    """Run one seed; raise AssertionError if the hosts together exceed the budget."""
    return _Run(seed).run()


class _Host:
    """One incarnation of a host."""

    def __init__(self, run: _Run, number: int) -> None:
        identity = HostIdentity(_get_address(number), run.rng.getrandbits(48))
        self.members = SeedMembership(
            identity,
            f"host-{number}",
            f"domain-{number % 3}",
            [_get_address(seed) for seed in range(SEEDS)],
            random.Random(run.rng.random()),
            run.now,
        )
        self.budget = SharedRetryBudget(run.bounds, run.now)


class _Run:
    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 1_000.0
        self.bounds = RetryBudgetBounds(
            0.2, self.rng.choice((20.0, 100.0, 250.0)), 10.0
        )
        self._count = self.rng.randint(2, 9)
        self._loss = self.rng.choice((0.0, 0.05, 0.3))
        self._hosts = {n: _Host(self, n) for n in range(self._count)}
        self._restarts: dict[int, list[float]] = {n: [] for n in range(self._count)}
        self._partition: frozenset[int] = frozenset()
        self._partition_until = 0.0
        self._requests: list[float] = []
        self._retries: list[float] = []
        self._rate = 1.0

    def run(self) -> int:
        end = self.now + RUN_SECONDS
        while self.now < end:
            self.now += ROUND_SECONDS
            self._inject_faults()
            for number, host in self._hosts.items():
                self._deliver(number, host.members.handle(RoundDue(200), self.now))
                self._send_requests(host)
        self._check()
        return len(self._requests) + len(self._retries)

    def _inject_faults(self) -> None:
        if self.now > self._partition_until:
            self._partition = frozenset()
        if self.rng.random() < 0.02:
            count = self.rng.randint(1, self._count)
            self._partition = frozenset(self.rng.sample(range(self._count), count))
            self._partition_until = self.now + self.rng.uniform(
                1.0, MAX_PARTITION_SECONDS
            )
        if self.rng.random() < 0.05:
            share = self.rng.choice((0.1, 0.5, 1.0))
            for number in range(self._count):
                if self.rng.random() < share:
                    self._restart(number)
        # The request rate drifts slowly: SharedRetryBudget counts the window that ends
        # now, and its safety factor covers only slow changes.
        self._rate = min(1.0, max(0.1, self._rate + self.rng.uniform(-0.02, 0.02)))

    def _restart(self, number: int) -> None:
        window = self.now - self.bounds.window_seconds
        recent = [at for at in self._restarts[number] if at > window]
        if len(recent) < MAX_RESTARTS_PER_WINDOW:
            self._restarts[number] = [*recent, self.now]
            self._hosts[number] = _Host(self, number)

    def _deliver(self, number: int, effects: list[SeedEffect]) -> None:
        targets = [a for e in effects if isinstance(e, SendHello) for a in e.addresses]
        if not targets:
            return
        hello = HelloReceived(self._hosts[number].members.build_hello(self.now))
        for address in targets:
            other = int(address.host.rpartition(".")[2]) - 1
            is_partitioned = (number in self._partition) != (other in self._partition)
            if (
                other < self._count
                and not is_partitioned
                and self.rng.random() >= self._loss
            ):
                self._deliver(other, self._hosts[other].members.handle(hello, self.now))

    def _send_requests(self, host: _Host) -> None:
        for _ in range(MAX_REQUESTS_PER_ROUND):
            if self.rng.random() < self._rate:
                host.budget.record_request(SERVICE, self.now)
                self._requests.append(self.now)
        hosts = host.members.get_max_host_count(self.now)
        # Worst case: every retry that the budget allows is sent.
        while host.budget.can_retry(SERVICE, hosts, self.now, is_urgent=True):
            host.budget.record_retry(SERVICE, hosts, self.now)
            self._retries.append(self.now)

    def _check(self) -> None:
        window = self.bounds.window_seconds
        for start in self._retries:
            spans = (start, start - window / 2, start - window)
            requests = max(_count_between(self._requests, s, s + window) for s in spans)
            retries = _count_between(self._retries, start, start + window)
            bound = self.bounds.share * requests + self.bounds.slack
            assert retries <= bound, (
                f"{retries} retries exceed {bound} in the window from {start}"
            )


def _get_address(number: int) -> Address:
    return Address(f"10.0.0.{number + 1}", PORT)


def _count_between(times: list[float], start: float, end: float) -> int:
    return bisect_right(times, end) - bisect_left(times, start)
