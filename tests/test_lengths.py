"""Tests of prompts beyond one engine, with real processes."""

import asyncio
import signal

import pytest

from tarragonward_core import ResultCode
from tarragonward_standins.client import Outcome, async_complete
from tarragonward_standins.site import SitePlan
from tarragonward_wire import async_send_http

TOKENS = 1_000_000
LONGEST = "the whole season's ledger " * (TOKENS * 4 // 26)
PLAN = SitePlan(engine_time_scale=0.01)


async def async_get_load(site, engine):
    answer = await async_send_http(site.engines[engine], "GET", "/v1/load", timeout=5.0)
    return answer.parse_json()


async def async_wait_idle(site, seconds):
    """Wait until every engine has all its memory back."""
    async with asyncio.timeout(seconds):
        while True:
            loads = [await async_get_load(site, engine) for engine in site.engines]
            if all(load["free_kv_tokens"] == load["kv_tokens"] for load in loads):
                return
            await asyncio.sleep(0.1)


async def async_ask(site, host, prompt=LONGEST, time_limit=60):
    return await async_complete(
        host.callers, site.tokens["camara"], site.plan.model, prompt, 8, time_limit
    )


async def test_a_prompt_of_a_million_tokens_runs_on_a_group(make_site):
    site = await make_site(PLAN)
    result = await async_ask(site, next(iter(site.hosts.values())))
    assert result.outcome is Outcome.WHOLE, result
    await async_wait_idle(site, 5)


async def test_two_hosts_that_want_the_same_engines_both_end(make_site):
    """Two hosts ask for a group at once, and there is memory for one at a time.

    Each needs three engines of four. If each kept what it got while it waits for the
    rest, both would wait for ever; one gives way, and all four prompts end.
    """
    site = await make_site(PLAN)
    hosts = list(site.hosts.values())[:2] * 2
    prompts = [f"{number} {LONGEST}" for number in range(len(hosts))]
    results = await asyncio.gather(*map(async_ask_again, [site] * 4, hosts, prompts))
    assert [result.outcome for result in results] == [Outcome.WHOLE] * 4, results
    await async_wait_idle(site, 5)


async def async_ask_again(site, host, prompt):
    """Come back as the answer says, as callers do."""
    for _ in range(30):
        result = await async_ask(site, host, prompt)
        if result.code not in (ResultCode.OVERLOADED.number, 2002):
            return result
        await asyncio.sleep(1.0)
    return result


@pytest.mark.timeout(90)
async def test_half_a_group_of_a_killed_host_is_freed(make_site):
    """The host dies between two reservations of one group.

    The second engine is frozen, so the host holds the first one's memory and waits.
    It is killed there; nobody else knows of the request. The sweep of another host
    finds the reservation, sees that its owner is gone, and frees it. The caller's
    next try runs, as the memory is there again.
    """
    site = await make_site(PLAN)
    first, other = list(site.hosts.values())[:2]
    engines = sorted(site.engines)
    for engine in engines[1:]:
        site.send_signal(engine, signal.SIGSTOP)
    asking = asyncio.create_task(async_ask(site, first, time_limit=5))
    async with asyncio.timeout(5):
        while not (await async_get_load(site, engines[0]))["reservations"]:
            await asyncio.sleep(0.02)
    await site.async_kill(first.name)
    for engine in engines[1:]:
        site.send_signal(engine, signal.SIGCONT)
    assert (await asking).outcome is Outcome.FAILED_IN_TIME
    await async_wait_idle(site, 40)
    result = await async_ask_again(site, other, LONGEST)
    assert result.outcome is Outcome.WHOLE, result


async def test_a_conversation_goes_where_its_prefix_is_cached(make_site):
    """A merchandiser sends the same long plan again and again.

    Each engine that reads it keeps its blocks and publishes a cache event; the host
    hears of the first one, and sends what follows there, so no other engine ever
    reads the plan.
    """
    site = await make_site()
    host = next(iter(site.hosts.values()))
    plan = "aisle seven, bay four, shelf two " * 2_500
    for number in range(5):
        result = await async_ask(site, host, f"{plan} turn {number}")
        assert result.outcome is Outcome.WHOLE, result
        await asyncio.sleep(1.5)
    loads = [await async_get_load(site, engine) for engine in site.engines]
    assert [load["cache_sequence"] for load in loads].count(0) == len(loads) - 1
