"""Tests of a cold fleet that loads its weights, with real processes."""

import asyncio

from tarragonward_standins.client import Outcome, async_complete
from tarragonward_standins.site import SitePlan
from tarragonward_wire import async_send_http

# An engine loads its 60 GB in a second; the store can serve two at that rate.
COLD_FLEET = SitePlan(
    failure_domains=("north",),
    engines_per_domain=6,
    parallel_loads=2,
    store_bytes_per_second=120e9,
    engine_bytes_per_second=60e9,
)


async def async_get_json(address, path):
    return (await async_send_http(address, "GET", path, timeout=5)).parse_json()


async def async_wait_loaded(site, names):
    async with asyncio.timeout(60):
        for name in names:
            report = await async_get_json(site.engines[name], "/v1/load")
            while report["loading"] or not report["orders"]:
                await asyncio.sleep(0.1)
                report = await async_get_json(site.engines[name], "/v1/load")


async def test_a_cold_fleet_limits_parallel_loads_and_serves_early(make_site):
    """All engines are cold, and one of the first to load is down.

    Hosts order two engines at a time to load, in an order that they compute alike
    without messages, so that no more than two share the store's bandwidth. The engine
    that is down does not occupy a load slot for good, and callers are served while
    other engines still wait for their weights.
    """
    site = await make_site(COLD_FLEET)
    first, *others = site.engines
    await site.async_kill(first)
    await async_wait_loaded(site, others[:1])
    host = next(iter(site.hosts.values()))
    token = site.tokens["shelfwise"]
    result = await async_complete(host.callers, token, "planogram-1", "bay 4", 8, 10)
    assert result.outcome is Outcome.WHOLE, result
    await async_wait_loaded(site, others)
    reads = await async_get_json(site.weight_store, "/v1/reads")
    assert reads["most_at_once"] == 2
