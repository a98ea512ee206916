"""Send prompts that crash runners through real hosts, amid other troubles."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from tarragonward_standins.platform_day import DayPlan, PlatformDay
from tarragonward_standins.platform_runner import RunnerFaults
from tarragonward_standins.platform_segments import (
    CrashingSegments,
    count_sound_prompts,
)
from tarragonward_standins.platform_site import PlatformPlan, PlatformSite

from .site_runs import run_on_site

__all__ = ["run_segments_seed"]

PLAN = PlatformPlan(zones=("a", "b"), hosts_per_zone=2, models_per_zone=5)
RUN_SECONDS = 22.0
# Enough sound prompts come before the first crash to compare later ones with.
FIRST_CRASH_SECONDS = 7.0
SETTLE_SECONDS = 2.0
GAP_SECONDS = (0.8, 3.0)
FREEZE_SECONDS = (0.1, 0.8)
RESTART_SECONDS = (0.1, 0.6)
CONCENTRATION_SECONDS = (2.0, 6.5)
DRAFTS_PER_SECOND = 10.0
CALLS_PER_SECOND = 8.0
CRASHING_PER_SECOND = (0.8, 2.5)
NO_LENGTH_SHARE = 0.2


class _Run:
    """One site, its day with prompts that crash runners, and other troubles."""

    def __init__(self, site: PlatformSite, seed: int) -> None:
        self._site = site
        self._random = random.Random(seed)
        crashing = CrashingSegments(
            per_second=self._random.uniform(*CRASHING_PER_SECOND),
            begin_seconds=FIRST_CRASH_SECONDS,
            position=self._random.randrange(2),
            count=self._random.choice((1, 1, 2)),
        )
        self._day = PlatformDay(
            site,
            DayPlan(
                seconds=RUN_SECONDS,
                drafts_per_second=DRAFTS_PER_SECOND,
                calls_per_second=CALLS_PER_SECOND,
                leaving_share=0.02,
                keeps_connections=self._random.random() < 0.5,
                crashing=crashing,
                seed=seed,
            ),
        )
        self._troubles: tuple[Callable[[], Awaitable[None]], ...] = (
            self._async_kill_host,
            self._async_freeze_host,
            self._async_crash_runner,
            self._async_release_runner,
            self._async_concentrate,
        )

    async def async_run(self) -> int:
        """Play the day; return its requests, or raise AssertionError."""
        for runner in self._site.models:
            runner.faults = RunnerFaults(no_length=NO_LENGTH_SHARE)
        playing = asyncio.ensure_future(self._day.async_play())
        await asyncio.sleep(SETTLE_SECONDS)
        while not playing.done():
            await asyncio.sleep(self._random.uniform(*GAP_SECONDS))
            await self._random.choice(self._troubles)()
        report = await playing
        assert not report.violations, f"{report.format_line()} {report.violations[:9]}"
        sound = list(count_sound_prompts(self._site.requests, self._site.arrivals))
        # A trial late in the day may crash a runner, and few prompts follow then.
        is_compared = any(each.has_enough_before for each in sound)
        assert is_compared, f"too few prompts before the first crash: {sound}"
        return report.score["sent"]

    async def _async_kill_host(self) -> None:
        host = self._random.choice(self._site.hosts)
        await self._site.async_kill_host(host)
        await asyncio.sleep(self._random.uniform(*RESTART_SECONDS))
        await self._site.async_start_host(host)

    async def _async_freeze_host(self) -> None:
        host = self._random.choice(self._site.hosts)
        assert host.process is not None
        host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(*FREEZE_SECONDS))
        host.process.send_signal(signal.SIGCONT)

    async def _async_crash_runner(self) -> None:
        """Crash a runner by no prompt of its own."""
        self._site.crash_runner(self._random.choice(self._site.models))

    async def _async_release_runner(self) -> None:
        """Start a runner, and drain one that runs."""
        self._site.models.append(await self._site.async_add_model("a"))
        self._site.release_runner(self._random.choice(self._site.models[:-1]))

    async def _async_concentrate(self) -> None:
        self._site.concentrate(0.9)
        await asyncio.sleep(self._random.uniform(*CONCENTRATION_SECONDS))
        self._site.concentrate(0.0)


def run_segments_seed(seed: int) -> int:
    """Run one seed on real processes and return the number of requests.

    Raise AssertionError if a rule was broken.
    """
    return run_on_site(PLAN, lambda site: _Run(site, seed).async_run())
