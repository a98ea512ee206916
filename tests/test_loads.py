"""Tests of a cold fleet that reads its weights, with real processes."""

import asyncio

from tarragonward_standins.client import Outcome, async_complete
from tarragonward_standins.site import SitePlan
from tarragonward_wire import async_send_http

# An engine reads its 60 GB in a second; the store serves two engines at that rate.
COLD = SitePlan(
    failure_domains=("north",),
    engines_per_domain=6,
    parallel_loads=2,
    store_bytes_per_second=120e9,
    engine_bytes_per_second=60e9,
)


async def async_ask(address, path):
    return (await async_send_http(address, "GET", path, timeout=5)).parse_json()


async def async_wait_loaded(site, names):
    async with asyncio.timeout(60):
        for name in names:
            report = await async_ask(site.engines[name], "/v1/load")
            while report["loading"] or not report["orders"]:
                await asyncio.sleep(0.1)
                report = await async_ask(site.engines[name], "/v1/load")


async def test_a_cold_fleet_loads_a_few_engines_at_a_time_and_serves_early(make_site):
    """All engines are cold, and one of those whose turn is first is dead.

    Hosts order two at a time to load, in the same order without asking each other, so
    the store's rate is never shared by more. The dead engine holds no turn for good,
    and callers are served while others still wait for their weights.
    """
    site = await make_site(COLD)
    first, *others = site.engines
    await site.async_kill(first)
    await async_wait_loaded(site, others[:1])
    host = next(iter(site.hosts.values()))
    token = site.tokens["shelfwise"]
    result = await async_complete(host.callers, token, "planogram-1", "bay 4", 8, 10)
    assert result.outcome is Outcome.WHOLE, result
    await async_wait_loaded(site, others)
    reads = await async_ask(site.weight_store, "/v1/reads")
    assert reads["most_at_once"] == 2
