"""Take all machines of a site of real processes away and back, by seed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable
from dataclasses import dataclass

from tarragonward_standins.platform_day import DayPlan, PlatformDay
from tarragonward_standins.platform_power import (
    RECOVERY_SECONDS,
    PowerLoss,
    find_missing_recovery,
)
from tarragonward_standins.platform_site import PlatformPlan, PlatformSite
from tarragonward_standins.platform_store import StoreFault

from .site_runs import run_on_site

__all__ = ["PowerPlan", "async_play_power_loss", "choose_power_plan", "run_power_seed"]

PLAN = PlatformPlan(
    plain_per_zone=2, models_per_zone=2, accounts=1, plain_work_seconds=0.15
)
WARM_UP_SECONDS = 3.0
MEASURED_SECONDS = 4.0
CALLS_PER_SECOND = 60.0
CALLERS = 40


@dataclass(frozen=True)
class PowerPlan:
    """The losses of one run; hosts_lost: how many hosts are killed with the runners."""

    losses: tuple[PowerLoss, ...] = (PowerLoss(),)
    gap_seconds: float = 1.0
    hosts_lost: int = 0
    store_fault: StoreFault = StoreFault.NONE
    distinct_lookups: int = 1
    lookup_share: float = 1.0
    drafts_per_second: float = 0.0
    seed: int = 1


class _Run:
    def __init__(self, site: PlatformSite, plan: PowerPlan) -> None:
        self._site = site
        self._plan = plan
        self._stopped = site.hosts[: plan.hosts_lost]

    async def async_run(self) -> int:
        """Play the losses; return the number of requests."""
        plan, site, loop = self._plan, self._site, asyncio.get_running_loop()
        playing = asyncio.ensure_future(self._create_day().async_play())
        await asyncio.sleep(WARM_UP_SECONDS)
        fault_at = loop.time()
        for loss in plan.losses:
            await self._async_lose_all(loss)
            await asyncio.sleep(plan.gap_seconds)
        back_at = loop.time() - plan.gap_seconds
        await asyncio.sleep(back_at + RECOVERY_SECONDS + MEASURED_SECONDS - loop.time())
        playing.cancel()
        await asyncio.gather(playing, return_exceptions=True)
        found = find_missing_recovery(site.requests, fault_at, back_at)
        assert found is None, f"{found}; {plan}\n{self._read_logs()}"
        return len(site.requests)

    def _create_day(self) -> PlatformDay:
        plan = self._plan
        return PlatformDay(
            self._site,
            DayPlan(
                seconds=3_600.0,
                drafts_per_second=plan.drafts_per_second,
                calls_per_second=CALLS_PER_SECOND,
                clients=CALLERS,
                seed=plan.seed,
                distinct_lookups=plan.distinct_lookups,
                lookup_share=plan.lookup_share,
            ),
        )

    async def _async_lose_all(self, loss: PowerLoss) -> None:
        self._site.store.fault = self._plan.store_fault
        for host in self._stopped:
            await self._site.async_kill_host(host)
        await loss.async_strike(self._site)
        self._site.store.fault = StoreFault.NONE
        for host in self._stopped:
            await self._site.async_start_host(host)

    def _read_logs(self) -> str:
        return "\n".join(
            self._site.read_log(host)[-2_000:] for host in self._site.hosts
        )


def async_play_power_loss(site: PlatformSite, plan: PowerPlan) -> Awaitable[int]:
    """Play the losses on a site; raise AssertionError if it does not recover."""
    return _Run(site, plan).async_run()


def choose_power_plan(seed: int) -> PowerPlan:
    """Return the losses of a seed."""
    rng = random.Random(seed)
    losses = tuple(
        PowerLoss(
            spread_seconds=rng.choice((0.0, 0.0, 0.5, 3.0)),
            down_seconds=rng.uniform(0.4, 2.0),
        )
        for _ in range(rng.choice((1, 1, 2, 3)))
    )
    return PowerPlan(
        losses,
        gap_seconds=rng.uniform(0.5, 3.0),
        hosts_lost=rng.choice((0, 0, 1, 2, 3)),
        store_fault=rng.choice(
            (StoreFault.NONE, StoreFault.NONE, StoreFault.SILENT, StoreFault.RESETS)
        ),
        distinct_lookups=rng.choice((1, 2, 9)),
        lookup_share=rng.choice((1.0, 0.8)),
        drafts_per_second=rng.choice((0.0, 10.0, 40.0)),
        seed=seed,
    )


def run_power_seed(seed: int) -> int:
    """Run one seed on real processes and return the number of requests.

    Raise AssertionError if the service does not recover.
    """
    plan = choose_power_plan(seed)
    return run_on_site(PLAN, lambda site: async_play_power_loss(site, plan))
