"""Play short days with random faults on a stand-in of the users' platform."""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Sequence
from contextlib import AsyncExitStack, suppress
from pathlib import Path

from tarragonward_standins.fault_proxy import FaultProxy
from tarragonward_standins.platform_day import (
    DayPlan,
    DayReport,
    PlatformDay,
    build_crashing_draft,
)
from tarragonward_standins.platform_engine import PassSizes
from tarragonward_standins.platform_runner import PlatformRunner, RunnerFaults
from tarragonward_standins.platform_site import (
    PLAIN_SERVICE,
    ROUTES,
    PlatformHost,
    PlatformPlan,
    PlatformSite,
    describe_route,
)
from tarragonward_standins.platform_store import StoreFault

__all__ = ["FaultyDay", "main"]

TEMPLATE = Path("deploy/settings.toml")
FAULT_SECONDS = 2.5
PAUSE_SECONDS = 1.5
RUNNER_DRAIN_SECONDS = 3.0
RESTART_SECONDS = 0.3
FAULTS_PER_DAY = 3
FAULT_INTERVAL_SECONDS = (0.5, 2.0)
FAULT_SHARE = 0.1
LEAVING_SHARE = 0.1
DAY_SECONDS = 8.0
# Engines so small that a few prompts exceed the memory of one.
SIZES = PassSizes(memory_tokens=60_000)
HUGE_PER_SECOND = 1.5
PACKET_DELAY_SECONDS = 0.02
PACKET_LOSS_RATE = 0.03
# The day waits this long for the release of engine memory; docs/PLATFORM.md gives the
# limit for it.
MAX_RELEASE_SECONDS = 4.5
RELEASE_POLL_SECONDS = 0.1
ERROR_MARKERS = ("handler_failed", "invariant_violated", "Traceback", "loop_exception")
# Rules that a fault may break: a killed host leaves requests unanswered, and fleet-wide
# limits depend on the hosts that were not affected themselves.
FLEET_WIDE_RULES = frozenset({"BUDGET", "LIMIT"})
EXCUSED_RULES_BY_FAULT = {
    "host killed": frozenset({"LOST"}) | FLEET_WIDE_RULES,
    "host stopped": FLEET_WIDE_RULES,
    "host frozen": FLEET_WIDE_RULES,
}
CRASHING_REPEATS = 14
CRASHING_PAUSE_SECONDS = (0.05, 0.6)
LIMITS_PER_SECOND = (0.5, 1.0, 3.0)
LIMITED_SECONDS = 6.0


class FaultyDay:
    """Day with random faults during the traffic, determined by its seed."""

    def __init__(
        self, site: PlatformSite, seed: int, first_kinds: Sequence[str] = ()
    ) -> None:
        self._site = site
        self._first_kinds = list(first_kinds)
        self._random = random.Random(seed)
        self._busy: set[str] = set()
        self.drawn: list[str] = []
        self._kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "model crashes": self._async_crash_model,
            "plain runner crashes": self._async_crash_plain,
            "runner leaves": self._async_drain_runner,
            "runners fail": self._async_inject_runner_faults,
            "store in trouble": self._async_inject_store_fault,
            "store refuses one": self._async_inject_store_endpoint_fault,
            "history dropped": self._async_drop_history,
            "configuration": self._async_configure,
            "host stopped": self._async_stop_host,
            "host killed": self._async_kill_host,
            "host frozen": self._async_pause,
            "links lose packets": self._async_lose_packets,
            "domain cut off": self._async_cut_domain,
            "target's connections silent": self._async_silence_target,
            "store's connections silent": self._async_silence_store,
            "weights loaded": self._async_load_weights,
            "request crashes runners": self._async_crash_by_request,
            "runner names a limit": self._async_name_limit,
        }
        self._day = PlatformDay(
            site,
            DayPlan(
                seconds=DAY_SECONDS,
                leaving_share=self._random.choice([0.0, LEAVING_SHARE]),
                huge_per_second=HUGE_PER_SECOND,
                seed=seed,
            ),
        )

    async def async_play(self) -> DayReport:
        """Play the day; return its report without excused findings."""
        playing = asyncio.ensure_future(self._day.async_play())
        fault_tasks = []
        for _ in range(FAULTS_PER_DAY):
            await asyncio.sleep(self._random.uniform(*FAULT_INTERVAL_SECONDS))
            kind = self._random.choice(list(self._kinds))
            if self._first_kinds:
                kind = self._first_kinds.pop(0)
            self.drawn.append(kind)
            fault_tasks.append(asyncio.ensure_future(self._kinds[kind]()))
        await playing
        await asyncio.gather(*fault_tasks)
        await self._async_wait_released()
        report = self._day.build_report()
        excused: set[str] = set()
        for kind in self.drawn:
            excused |= EXCUSED_RULES_BY_FAULT.get(kind, frozenset())
        report.violations = [b for b in report.violations if b[0] not in excused]
        return report

    async def _async_wait_released(self) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_RELEASE_SECONDS):
                while any(model.engine.reservations for model in self._site.models):
                    await asyncio.sleep(RELEASE_POLL_SECONDS)

    def find_errors(self) -> list[str]:
        """Return the hosts' log lines that show an internal error."""
        return [
            f"{host.name} {line}"
            for host in self._site.hosts
            for line in self._site.read_log(host).splitlines()
            if any(mark in line for mark in ERROR_MARKERS)
        ]

    async def _async_crash_model(self) -> None:
        await self._random.choice(self._site.models).async_crash()

    async def _async_crash_plain(self) -> None:
        await self._random.choice(self._site.plain).async_crash()

    async def _async_drain_runner(self) -> None:
        runner = self._random.choice(self._list_runners())
        if not runner.is_draining:
            await runner.async_drain(RUNNER_DRAIN_SECONDS)

    async def _async_inject_runner_faults(self) -> None:
        runners = self._random.sample(self._list_runners(), 3)
        shares = [self._random.choice([0.0, FAULT_SHARE]) for _ in vars(RunnerFaults())]
        for runner in runners:
            runner.faults = RunnerFaults(*shares)
        await asyncio.sleep(FAULT_SECONDS)
        for runner in runners:
            runner.faults = RunnerFaults()

    async def _async_inject_store_fault(self) -> None:
        self._site.store.fault = self._random.choice(list(StoreFault))
        self.drawn.append(self._site.store.fault.value)
        await asyncio.sleep(FAULT_SECONDS)
        self._site.store.fault = StoreFault.NONE

    async def _async_inject_store_endpoint_fault(self) -> None:
        endpoint = self._random.choice(self._site.hosts).store_endpoint
        endpoint.fault = self._random.choice(list(StoreFault))
        self.drawn.append(endpoint.fault.value)
        await asyncio.sleep(FAULT_SECONDS)
        endpoint.fault = StoreFault.NONE

    async def _async_drop_history(self) -> None:
        self._site.store.drop_history()

    async def _async_configure(self) -> None:
        name = f"new{self._random.getrandbits(16):x}"
        self._site.publish([*ROUTES, describe_route(name, "idempotent", PLAIN_SERVICE)])

    async def _async_stop_host(self) -> None:
        await self._async_with_host(self._async_stop_and_start)

    async def _async_kill_host(self) -> None:
        await self._async_with_host(self._async_kill_and_start)

    async def _async_pause(self) -> None:
        await self._async_with_host(self._async_pause_and_resume)

    async def _async_with_host(
        self, action: Callable[[PlatformHost], Awaitable[None]]
    ) -> None:
        host = self._random.choice(self._site.hosts)
        if host.name in self._busy:
            return
        self._busy.add(host.name)
        await action(host)
        self._busy.discard(host.name)

    async def _async_stop_and_start(self, host: PlatformHost) -> None:
        code = await self._site.async_stop_host(host)
        if code:
            self.drawn.append(f"exit code {code}")
        await asyncio.sleep(RESTART_SECONDS)
        await self._site.async_start_host(host)

    async def _async_kill_and_start(self, host: PlatformHost) -> None:
        await self._site.async_kill_host(host)
        await asyncio.sleep(RESTART_SECONDS)
        await self._site.async_start_host(host)

    async def _async_pause_and_resume(self, host: PlatformHost) -> None:
        assert host.process is not None
        host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_SECONDS)
        host.process.send_signal(signal.SIGCONT)

    async def _async_lose_packets(self) -> None:
        proxies = self._list_proxies(self._list_runners())
        proxies += [host.store_endpoint.proxy for host in self._site.hosts]
        for proxy in proxies:
            proxy.faults.delay_seconds = PACKET_DELAY_SECONDS
            proxy.faults.packet_loss_rate = PACKET_LOSS_RATE
        await asyncio.sleep(FAULT_SECONDS)
        for proxy in proxies:
            proxy.faults.delay_seconds = proxy.faults.packet_loss_rate = 0.0

    async def _async_cut_domain(self) -> None:
        zone = self._random.choice(self._site.plan.zones)
        proxies = self._list_proxies(
            [r for r in self._list_runners() if r.plan.zone == zone]
        )
        for proxy in proxies:
            proxy.faults.frozen = True
        await asyncio.sleep(FAULT_SECONDS)
        for proxy in proxies:
            proxy.faults.frozen = False

    async def _async_silence_target(self) -> None:
        for proxy in self._list_proxies([self._random.choice(self._list_runners())]):
            proxy.blackhole_open_connections()

    async def _async_silence_store(self) -> None:
        self._random.choice(
            self._site.hosts
        ).store_endpoint.proxy.blackhole_open_connections()

    async def _async_load_weights(self) -> None:
        self._random.choice(self._site.models).change_weights()

    async def _async_crash_by_request(self) -> None:
        plan = build_crashing_draft(self._random)
        client = self._site.add_client()
        for _ in range(CRASHING_REPEATS):
            await client.async_request(plan)
            await asyncio.sleep(self._random.uniform(*CRASHING_PAUSE_SECONDS))

    async def _async_name_limit(self) -> None:
        runner = self._random.choice(self._list_runners())
        runner.set_rate_limit(self._random.choice(LIMITS_PER_SECOND))
        await asyncio.sleep(LIMITED_SECONDS)
        runner.set_rate_limit(None)

    @staticmethod
    def _list_proxies(runners: Iterable[PlatformRunner]) -> list[FaultProxy]:
        return [runner.proxy for runner in runners if runner.proxy is not None]

    def _list_runners(self) -> list[PlatformRunner]:
        return [*self._site.models, *self._site.plain]


async def _async_play(seed: int, options: argparse.Namespace) -> bool:
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        plan = PlatformPlan(
            seed=seed, sizes=SIZES, hosts_per_zone=options.hosts_per_zone
        )
        site = PlatformSite(folder, plan, TEMPLATE)
        stack.push_async_callback(site.async_unload)
        await site.async_setup()
        day = FaultyDay(site, seed, options.kind)
        report = await day.async_play()
        errors = day.find_errors()
        ends = {k: v for k, v in report.score.items() if k.startswith("status_")}
        rules = dict(Counter(rule for rule, _ in report.violations))
        reservations = sum(len(model.reservation_log.records) for model in site.models)
        line = f"{report.format_line()} reservations={reservations}"
        print(f"seed={seed} {line} {day.drawn} {ends} {rules}")
        for line in (*errors[:5], *map(str, report.violations[:5])):
            print(f"    {line[:300]}")
        return not (report.violations or errors)


def main() -> None:
    """Play the seeds; exit with 1 if a rule was broken or a host logged an error."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--days", type=int, default=5, help="number of seeds")
    parser.add_argument("--hosts-per-zone", type=int, default=1)
    parser.add_argument(
        "--kind",
        action="append",
        default=[],
        help="kind of the first faults of each day",
    )
    arguments = parser.parse_args()
    sys.stdout.reconfigure(line_buffering=True)
    seeds = range(arguments.first, arguments.first + arguments.days)
    results = [asyncio.run(_async_play(seed, arguments)) for seed in seeds]
    print(f"days={len(results)} bad={results.count(False)}")
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
