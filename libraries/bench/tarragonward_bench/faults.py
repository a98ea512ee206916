"""Measure the effect of faults on callers: `script/measure faults`.

Each fault is injected concurrently into a site of this system and into one of
round-robin proxies with unconditional retry, on the same stand-ins and load.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

from tarragonward_standins.client import Outcome, async_complete
from tarragonward_standins.fault_proxy import FaultProxy
from tarragonward_standins.observe import (
    Balancer,
    async_insert_proxy,
    async_wait_engines,
    make_prompt,
)
from tarragonward_standins.site import Site, SitePlan

__all__ = ["FAULTS", "Score", "async_measure"]

REQUESTS_PER_SECOND = 8.0
BEFORE_SECONDS = 3.0
FAULT_SECONDS = 10.0
AFTER_SECONDS = 6.0
TIME_LIMIT_SECONDS = 5.0
SHORT_TOKENS = 24
LONG_TOKENS = 96
LONG_SHARE = 0.25
SEED = 1
LOCAL, REMOTE = "north", "south"
HOST, ENGINE = f"entry-{LOCAL}-1", f"engine-{LOCAL}-1"

SYSTEMS = {
    "tarragonward": "tarragonward_daemon.main",
    "round_robin": "tarragonward_bench.round_robin",
}


@dataclass
class _Testbed:
    """Site, its load balancer, and the proxies to the remote domain's engines."""

    site: Site
    balancer: Balancer
    proxies: list[FaultProxy] = field(default_factory=list)

    def set_partitioned(self, is_partitioned: bool) -> None:
        remote = [
            proxy for name, proxy in self.site.proxies.items() if f"-{REMOTE}-" in name
        ]
        for proxy in self.proxies + remote:
            proxy.faults.blackhole_to_target = proxy.faults.blackhole_to_caller = (
                is_partitioned
            )


FaultAction = Callable[[_Testbed], Awaitable[None]]


@dataclass(frozen=True)
class Fault:
    """Actions that inject and clear a fault."""

    inject: FaultAction
    clear: FaultAction


def _kill(name: str) -> Fault:
    async def async_inject(testbed: _Testbed) -> None:
        await testbed.site.async_kill(name)

    async def async_clear(testbed: _Testbed) -> None:
        await testbed.site.async_start(name)

    return Fault(async_inject, async_clear)


def _pause(name: str) -> Fault:
    async def async_inject(testbed: _Testbed) -> None:
        testbed.site.send_signal(name, signal.SIGSTOP)

    async def async_clear(testbed: _Testbed) -> None:
        testbed.site.send_signal(name, signal.SIGCONT)

    return Fault(async_inject, async_clear)


def _partition() -> Fault:
    """Partition the remote domain from the hosts and callers of the local domain."""

    async def async_inject(testbed: _Testbed) -> None:
        testbed.set_partitioned(True)

    async def async_clear(testbed: _Testbed) -> None:
        testbed.set_partitioned(False)

    return Fault(async_inject, async_clear)


FAULTS: dict[str, Fault] = {
    "host_killed": _kill(HOST),
    "host_frozen": _pause(HOST),
    "engine_killed": _kill(ENGINE),
    "engine_frozen": _pause(ENGINE),
    "domain_cut": _partition(),
}


@dataclass
class Score:
    """Outcomes: (send time in seconds from the fault, is complete, duration)."""

    ended: list[tuple[float, bool, float]] = field(default_factory=list)

    def get_success_rate(self) -> float:
        """Return the success rate of requests sent or in progress during the fault."""
        affected = [
            is_complete
            for sent, is_complete, duration in self.ended
            if sent <= FAULT_SECONDS and sent + duration >= 0
        ]
        return sum(affected) / max(len(affected), 1)

    def get_recovery_seconds(self) -> float:
        """Return the seconds from the fault to the last request that failed."""
        failed = [sent for sent, is_complete, _ in self.ended if not is_complete]
        return max([0.0, *failed])

    def get_p95_seconds(self) -> float:
        """Return the 95th percentile of the duration of successful requests."""
        durations = sorted(
            duration for _, is_complete, duration in self.ended if is_complete
        )
        return durations[int(len(durations) * 0.95)] if durations else 0.0


async def async_measure(folder: Path, system: str, name: str) -> Score:
    """Run one system with one fault."""
    plan = SitePlan(
        (LOCAL, REMOTE),
        services_per_domain=0,
        has_proxies=name == "domain_cut",
        host_module=SYSTEMS[system],
    )
    async with AsyncExitStack() as stack:
        site = Site(folder, plan)
        stack.push_async_callback(site.async_unload)
        await site.async_setup()
        await async_wait_engines(site)
        testbed = _Testbed(site, Balancer(site))
        await testbed.balancer.async_setup()
        stack.push_async_callback(testbed.balancer.async_unload)
        if name == "domain_cut":
            await _async_prepare_partition(testbed, stack)
        return await _async_load(testbed, FAULTS[name])


async def _async_prepare_partition(testbed: _Testbed, stack: AsyncExitStack) -> None:
    testbed.balancer.failure_domains = frozenset({LOCAL})
    remote = [name for name in testbed.site.engines if REMOTE in name]
    for base, engine in enumerate(remote):
        proxy = await async_insert_proxy(testbed.site, engine, base)
        stack.push_async_callback(proxy.async_unload)
        testbed.proxies.append(proxy)


async def _async_load(testbed: _Testbed, fault: Fault) -> Score:
    loop = asyncio.get_running_loop()
    score, chooser = Score(), random.Random(SEED)
    fault_at = loop.time() + BEFORE_SECONDS
    async with asyncio.TaskGroup() as group:
        group.create_task(_async_inject(testbed, fault, fault_at))
        number = 0
        while loop.time() < fault_at + FAULT_SECONDS + AFTER_SECONDS:
            is_long = chooser.random() < LONG_SHARE
            tokens = LONG_TOKENS if is_long else SHORT_TOKENS
            group.create_task(_async_send(testbed, score, number, tokens, fault_at))
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    return score


async def _async_inject(testbed: _Testbed, fault: Fault, fault_at: float) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(fault_at - loop.time())
    await fault.inject(testbed)
    await asyncio.sleep(fault_at + FAULT_SECONDS - loop.time())
    await fault.clear(testbed)


async def _async_send(
    testbed: _Testbed, score: Score, number: int, tokens: int, fault_at: float
) -> None:
    site, loop = testbed.site, asyncio.get_running_loop()
    accounts = list(site.tokens.values())
    sent = loop.time() - fault_at
    result = await async_complete(
        testbed.balancer.choose().callers,
        accounts[number % len(accounts)],
        site.plan.model,
        make_prompt(f"bay {number}", tokens),
        tokens,
        TIME_LIMIT_SECONDS,
    )
    score.ended.append((sent, result.outcome is Outcome.WHOLE, result.seconds))
    if result.outcome is not Outcome.WHOLE:
        print(
            f"progress sent={sent:+.2f} {result.outcome.value}"
            f" code={result.code} seconds={result.seconds:.2f} {result.detail[:60]}"
        )


async def _async_main(names: list[str]) -> None:
    sums = []
    print(f"{'fault':15} {'system':13} {'whole':>6} {'back s':>7} {'p95 s':>7}")
    for name in names:
        with tempfile.TemporaryDirectory() as folder:
            scores = await asyncio.gather(
                *(async_measure(Path(folder) / s, s, name) for s in SYSTEMS)
            )
        for system, score in zip(SYSTEMS, scores, strict=True):
            success_rate, recovery = (
                score.get_success_rate(),
                score.get_recovery_seconds(),
            )
            p95 = score.get_p95_seconds()
            print(
                f"{name:15} {system:13} {success_rate:6.3f} {recovery:7.2f} {p95:7.2f}"
            )
            sums.append(f"{name}_{system}_whole={success_rate:.3f}")
            sums.append(f"{name}_{system}_back_s={recovery:.2f}")
            sums.append(f"{name}_{system}_p95_s={p95:.2f}")
    print(" ".join(sums))


def main() -> None:
    """Run the given faults, by default all."""
    parser = argparse.ArgumentParser(prog="script/measure faults", description=__doc__)
    parser.add_argument("fault", nargs="*", default=list(FAULTS), help="faults to run")
    asyncio.run(_async_main(parser.parse_args().fault))


if __name__ == "__main__":
    main()
