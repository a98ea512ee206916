"""Cut real hosts off from runners at random, and check the platform's rules."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Sequence

from tarragonward_standins.platform_day import DayPlan, PlatformDay
from tarragonward_standins.platform_links import CutKind
from tarragonward_standins.platform_site import (
    PlatformHost,
    PlatformPlan,
    PlatformSite,
)

from .site_runs import run_on_site

__all__ = ["run_links_seed"]

PLAN = PlatformPlan(zones=("a", "b"), hosts_per_zone=2)
RUN_SECONDS = 9.0
CUT_SECONDS = (3.6, 5.5)
GAP_SECONDS = (0.3, 1.2)
FREEZE_SECONDS = (0.1, 0.6)
FREEZE_CHANCE = 0.5
CRASH_CHANCE = 0.4
SILENCE_CHANCE = 0.5
SILENCE_SECONDS = (0.8, 1.5)
WHOLE_ZONE_CHANCE = 0.3
DRAFTS_PER_SECOND = 14.0
CALLS_PER_SECOND = 14.0


class _Run:
    """One site, its day, and the cuts, pauses and silences that meet it."""

    def __init__(self, site: PlatformSite, seed: int) -> None:
        self._site = site
        self._random = random.Random(seed)
        self._day = PlatformDay(
            site,
            DayPlan(
                seconds=RUN_SECONDS,
                drafts_per_second=DRAFTS_PER_SECOND,
                calls_per_second=CALLS_PER_SECOND,
                leaving_share=0.03,
                keeps_connections=False,
                seed=seed,
            ),
        )

    async def async_run(self) -> int:
        """Play the day; return its requests, or raise AssertionError."""
        playing = asyncio.ensure_future(self._day.async_play())
        while not playing.done():
            await asyncio.sleep(self._random.uniform(*GAP_SECONDS))
            await self._async_cut()
        report = await playing
        assert not report.violations, f"{report.format_line()} {report.violations[:9]}"
        return report.score["sent"]

    async def _async_cut(self) -> None:
        hosts = self._choose_hosts()
        kind = self._random.choice(list(CutKind))
        for host in hosts:
            self._site.cut_from_runners(host, kind)
        end = asyncio.get_running_loop().time() + self._random.uniform(*CUT_SECONDS)
        if self._random.random() < CRASH_CHANCE:
            crash = asyncio.ensure_future(self._site.models[0].async_crash())
            crash.add_done_callback(lambda task: task.cancelled() or task.exception())
        others = [host for host in self._site.hosts if host not in hosts]
        if self._random.random() < SILENCE_CHANCE:
            await self._async_silence()
        if self._random.random() < FREEZE_CHANCE:
            await self._async_freeze(self._random.choice(others))
        await asyncio.sleep(max(0.0, end - asyncio.get_running_loop().time()))
        for host in hosts:
            host.links.restore()

    def _choose_hosts(self) -> Sequence[PlatformHost]:
        """Return a part of a zone, all of it, both parts, or all hosts but one."""
        hosts = self._site.hosts
        zone = self._random.choice(PLAN.zones)
        if self._random.random() < WHOLE_ZONE_CHANCE:
            return [host for host in hosts if host.zone == zone]
        return self._random.sample(hosts, self._random.randint(1, len(hosts) - 1))

    async def _async_silence(self) -> None:
        """Let a sound runner fall silent for a moment, and go on."""
        proxy = self._random.choice(self._site.models).proxy
        assert proxy is not None
        proxy.faults.frozen = True
        await asyncio.sleep(self._random.uniform(*SILENCE_SECONDS))
        proxy.faults.frozen = False

    async def _async_freeze(self, host: PlatformHost) -> None:
        """Freeze a host through which others may connect."""
        assert host.process is not None
        host.process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(self._random.uniform(*FREEZE_SECONDS))
        finally:
            host.process.send_signal(signal.SIGCONT)


def run_links_seed(seed: int) -> int:
    """Run one seed on real processes and return the number of requests.

    Raise AssertionError if a rule was broken.
    """
    return run_on_site(PLAN, lambda site: _Run(site, seed).async_run())
