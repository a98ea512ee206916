"""Measure what faults cost callers: `script/measure faults`.

Each fault is brought about on a site of this system and on one of plain round-robin
proxies with blind retry, over the same stand-ins and the same load, side by side.
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
NEAR, FAR = "north", "south"
HOST, ENGINE = f"entry-{NEAR}-1", f"engine-{NEAR}-1"

SYSTEMS = {
    "tarragonward": "tarragonward_daemon.main",
    "round_robin": "tarragonward_bench.round_robin",
}


@dataclass
class _Place:
    """A site, its balancer, and the proxies before the far domain's engines."""

    site: Site
    balancer: Balancer
    proxies: list[FaultProxy] = field(default_factory=list)

    def cut(self, is_cut: bool) -> None:
        far = [proxy for name, proxy in self.site.proxies.items() if f"-{FAR}-" in name]
        for proxy in self.proxies + far:
            proxy.faults.blackhole_to_target = proxy.faults.blackhole_to_caller = is_cut


Action = Callable[[_Place], Awaitable[None]]


@dataclass(frozen=True)
class Fault:
    """How a fault begins and ends."""

    begin: Action
    end: Action


def _kill(name: str) -> Fault:
    async def async_begin(place: _Place) -> None:
        await place.site.async_kill(name)

    async def async_end(place: _Place) -> None:
        await place.site.async_start(name)

    return Fault(async_begin, async_end)


def _freeze(name: str) -> Fault:
    async def async_begin(place: _Place) -> None:
        place.site.send_signal(name, signal.SIGSTOP)

    async def async_end(place: _Place) -> None:
        place.site.send_signal(name, signal.SIGCONT)

    return Fault(async_begin, async_end)


def _cut() -> Fault:
    """Cut the far domain off, as the near one's hosts and callers see it."""

    async def async_begin(place: _Place) -> None:
        place.cut(True)

    async def async_end(place: _Place) -> None:
        place.cut(False)

    return Fault(async_begin, async_end)


FAULTS: dict[str, Fault] = {
    "host_killed": _kill(HOST),
    "host_frozen": _freeze(HOST),
    "engine_killed": _kill(ENGINE),
    "engine_frozen": _freeze(ENGINE),
    "domain_cut": _cut(),
}


@dataclass
class Score:
    """What callers saw: (seconds after the fault began, whole, seconds taken)."""

    ended: list[tuple[float, bool, float]] = field(default_factory=list)

    def get_share(self) -> float:
        """Return the share answered whole of those in progress or sent in the fault."""
        met = [
            whole
            for sent, whole, taken in self.ended
            if sent <= FAULT_SECONDS and sent + taken >= 0
        ]
        return sum(met) / max(len(met), 1)

    def get_back_seconds(self) -> float:
        """Return after how many seconds every request sent was whole again."""
        failed = [sent for sent, whole, _ in self.ended if not whole]
        return max([0.0, *failed])

    def get_high_seconds(self) -> float:
        """Return the time that 95 in 100 of the whole answers took at most."""
        taken = sorted(taken for _, whole, taken in self.ended if whole)
        return taken[int(len(taken) * 0.95)] if taken else 0.0


async def async_measure(folder: Path, system: str, name: str) -> Score:
    """Run one system under one fault."""
    plan = SitePlan(
        (NEAR, FAR),
        services_per_domain=0,
        has_proxies=name == "domain_cut",
        host_module=SYSTEMS[system],
    )
    async with AsyncExitStack() as stack:
        site = Site(folder, plan)
        stack.push_async_callback(site.async_unload)
        await site.async_setup()
        await async_wait_engines(site)
        place = _Place(site, Balancer(site))
        await place.balancer.async_setup()
        stack.push_async_callback(place.balancer.async_unload)
        if name == "domain_cut":
            await _async_prepare_cut(place, stack)
        return await _async_load(place, FAULTS[name])


async def _async_prepare_cut(place: _Place, stack: AsyncExitStack) -> None:
    place.balancer.failure_domains = frozenset({NEAR})
    far = [name for name in place.site.engines if FAR in name]
    for base, engine in enumerate(far):
        proxy = await async_insert_proxy(place.site, engine, base)
        stack.push_async_callback(proxy.async_unload)
        place.proxies.append(proxy)


async def _async_load(place: _Place, fault: Fault) -> Score:
    loop = asyncio.get_running_loop()
    score, chooser = Score(), random.Random(SEED)
    began_at = loop.time() + BEFORE_SECONDS
    async with asyncio.TaskGroup() as group:
        group.create_task(_async_break(place, fault, began_at))
        number = 0
        while loop.time() < began_at + FAULT_SECONDS + AFTER_SECONDS:
            is_long = chooser.random() < LONG_SHARE
            tokens = LONG_TOKENS if is_long else SHORT_TOKENS
            group.create_task(_async_send(place, score, number, tokens, began_at))
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    return score


async def _async_break(place: _Place, fault: Fault, began_at: float) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(began_at - loop.time())
    await fault.begin(place)
    await asyncio.sleep(began_at + FAULT_SECONDS - loop.time())
    await fault.end(place)


async def _async_send(
    place: _Place, score: Score, number: int, tokens: int, began_at: float
) -> None:
    site, loop = place.site, asyncio.get_running_loop()
    accounts = list(site.tokens.values())
    sent = loop.time() - began_at
    result = await async_complete(
        place.balancer.choose().callers,
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
            share, back = score.get_share(), score.get_back_seconds()
            high = score.get_high_seconds()
            print(f"{name:15} {system:13} {share:6.3f} {back:7.2f} {high:7.2f}")
            sums.append(f"{name}_{system}_whole={share:.3f}")
            sums.append(f"{name}_{system}_back_s={back:.2f}")
            sums.append(f"{name}_{system}_p95_s={high:.2f}")
    print(" ".join(sums))


def main() -> None:
    """Run all faults, or those named."""
    parser = argparse.ArgumentParser(prog="script/measure faults", description=__doc__)
    parser.add_argument("fault", nargs="*", default=list(FAULTS), help="which faults")
    asyncio.run(_async_main(parser.parse_args().fault))


if __name__ == "__main__":
    main()
