"""Pause real processes at random moments, and check what callers are told."""

from __future__ import annotations

import asyncio
import math
import random
import signal
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

from tarragonward_core import Conclusion, ResultCode
from tarragonward_standins.client import (
    CallResult,
    Outcome,
    async_call,
    async_complete,
    async_get_key_prefix,
)
from tarragonward_standins.observe import (
    async_wait_engines,
    async_wait_idle,
    make_prompt,
)
from tarragonward_standins.site import Site, SitePlan
from tarragonward_wire import async_send_http

__all__ = ["PauseRun", "run_pauses_seed"]

PLAN = SitePlan(hosts_per_domain=1, service_delay_seconds=0.6)
ACCOUNT = "camara"
RUN_SECONDS = 6.0
PAUSE_SECONDS = (0.05, 0.5)
PAUSE_GAP_SECONDS = (0.1, 0.5)
COMPLETION_INTERVAL_SECONDS = 0.15
COMPLETION_TOKENS = 40
COMPLETION_LIMIT_SECONDS = 10.0
CALL_INTERVAL_SECONDS = 0.3
CALL_LIMIT_SECONDS = 4.0
REPEAT_AFTER_SECONDS = (0.0, 0.4)
REPEAT_LIMIT_SECONDS = (0.3, 1.0)
FINAL_ATTEMPTS = 10
IDLE_SECONDS = 5.0
UNKNOWN = ResultCode.OUTCOME_UNKNOWN.number
UNSETTLED = (UNKNOWN, ResultCode.IN_PROGRESS.number)


@dataclass
class _Pause:
    """A pause of a process; it ends in event loop time, or has not ended yet."""

    name: str
    ended_at: float = math.inf


class PauseRun:
    """One run on a site of real processes; violations says what was broken."""

    def __init__(self, site: Site, seed: int) -> None:
        self.violations: list[str] = []
        self.events = 0
        self._site = site
        self._random = random.Random(seed)
        self._pauses: list[_Pause] = []
        self._token = site.tokens[ACCOUNT]
        self._names = [*site.hosts, *site.engines, *site.services, "platform"]

    async def async_run(self) -> None:
        """Pause processes under load for RUN_SECONDS, and check the results."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._async_pause())
            for interval, send in (
                (COMPLETION_INTERVAL_SECONDS, self._async_complete),
                (CALL_INTERVAL_SECONDS, self._async_call),
            ):
                group.create_task(self._async_repeat(group, interval, send))
        held = await async_wait_idle(self._site, IDLE_SECONDS)
        self._expect(not held, f"engines hold memory: {held}")

    def _expect(self, is_met: bool, violation: str) -> None:
        if not is_met:
            self.violations.append(violation)

    async def _async_pause(self) -> None:
        loop = asyncio.get_running_loop()
        end_at = loop.time() + RUN_SECONDS
        while loop.time() < end_at:
            await asyncio.sleep(self._random.uniform(*PAUSE_GAP_SECONDS))
            name = self._random.choice(self._names)
            pause = _Pause(name)
            self._pauses.append(pause)
            self._site.send_signal(name, signal.SIGSTOP)
            try:
                await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))
            finally:
                self._site.send_signal(name, signal.SIGCONT)
                pause.ended_at = loop.time()

    async def _async_repeat(
        self,
        group: asyncio.TaskGroup,
        interval: float,
        send: Callable[[int], Awaitable[None]],
    ) -> None:
        loop = asyncio.get_running_loop()
        end_at = loop.time() + RUN_SECONDS
        while loop.time() < end_at:
            self.events += 1
            group.create_task(send(self.events))
            await asyncio.sleep(interval)

    async def _async_complete(self, number: int) -> None:
        host = self._site.hosts[self._random.choice(list(self._site.hosts))]
        result = await async_complete(
            host.callers,
            self._token,
            self._site.plan.model,
            make_prompt(f"bay {number}", COMPLETION_TOKENS),
            COMPLETION_TOKENS,
            COMPLETION_LIMIT_SECONDS,
        )
        is_allowed = result.outcome in (Outcome.WHOLE, Outcome.FAILED_IN_TIME)
        self._expect(is_allowed, f"completion {number}: {result}")

    async def _async_call(self, number: int) -> None:
        """Make a call, repeat it at the other host, and ask until it is settled."""
        owner, other = self._random.sample(list(self._site.hosts), 2)
        prefix = await async_get_key_prefix(
            self._site.hosts[owner].callers, self._token
        )
        key = f"{prefix}.{number}"
        first = asyncio.create_task(self._async_send(owner, key, CALL_LIMIT_SECONDS))
        await asyncio.sleep(self._random.uniform(*REPEAT_AFTER_SECONDS))
        began_at = asyncio.get_running_loop().time()
        limit = self._random.uniform(*REPEAT_LIMIT_SECONDS)
        repeat = await self._async_send(other, key, limit)
        if repeat.code == UNKNOWN:
            self._expect(
                self._was_paused((owner, other), began_at),
                f"call {key}: unknown though neither {owner} nor {other} was paused",
            )
        results = [repeat, await first]
        for _ in range(FINAL_ATTEMPTS):
            results.append(await self._async_send(other, key, CALL_LIMIT_SECONDS))
            if results[-1].code not in UNSETTLED:
                break
        self._check_call(key, results, await self._async_count_runs(key))

    def _was_paused(self, names: tuple[str, ...], since: float) -> bool:
        return any(
            pause.name in names and pause.ended_at >= since for pause in self._pauses
        )

    def _check_call(self, key: str, results: list[CallResult], runs: int) -> None:
        codes = [result.code for result in results]
        answers = {result.body for result in results if result.code == 0}
        conclusions = {ResultCode.from_number(code).conclusion for code in codes}
        is_settled = codes[-1] not in UNSETTLED
        self._expect(is_settled, f"call {key}: not settled: {codes}")
        self._expect(runs <= 1, f"call {key}: ran {runs} times")
        self._expect(len(answers) <= 1, f"call {key}: answers differ")
        if answers:
            self._expect(runs == 1, f"call {key}: answered, and ran {runs} times")
        if Conclusion.NOT_RUN in conclusions:
            self._expect(runs == 0, f"call {key}: told not run, and ran: {codes}")

    async def _async_send(self, host: str, key: str, limit: float) -> CallResult:
        address = self._site.hosts[host].callers
        return await async_call(address, self._token, "approve", b"combine", key, limit)

    async def _async_count_runs(self, key: str) -> int:
        total = 0
        for address in self._site.services.values():
            answer = await async_send_http(address, "GET", "/runs", timeout=5.0)
            total += answer.parse_json().get(key, 0)
        return total


async def _async_run_seed(seed: int) -> int:
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        site = Site(Path(folder) / "site", PLAN)
        stack.push_async_callback(site.async_unload)
        await site.async_setup()
        await async_wait_engines(site)
        run = PauseRun(site, seed)
        await run.async_run()
        assert not run.violations, "\n".join(run.violations)
        return run.events


def run_pauses_seed(seed: int) -> int:
    """Run one seed on real processes and return the number of requests.

    Raise AssertionError if a guarantee was violated.
    """
    return asyncio.run(_async_run_seed(seed))
