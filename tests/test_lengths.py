"""Tests of prompts too long for one engine, with real processes."""

import asyncio
import signal

import pytest

from tarragonward_core import ResultCode
from tarragonward_standins.client import Outcome, async_complete
from tarragonward_standins.site import SitePlan
from tarragonward_wire import async_send_http

PROMPT_TOKENS = 1_000_000
LONG_PROMPT = "the whole season's ledger " * (PROMPT_TOKENS * 4 // 26)
PLAN = SitePlan(engine_time_scale=0.01)


async def async_get_load(site, engine):
    answer = await async_send_http(site.engines[engine], "GET", "/v1/load", timeout=5.0)
    return answer.parse_json()


async def async_wait_idle(site, timeout_seconds):
    """Wait until all KV memory of every engine is free."""
    async with asyncio.timeout(timeout_seconds):
        while True:
            loads = [await async_get_load(site, engine) for engine in site.engines]
            if all(load["free_kv_tokens"] == load["kv_tokens"] for load in loads):
                return
            await asyncio.sleep(0.1)


async def async_send_prompt(site, host, prompt=LONG_PROMPT, time_limit=60):
    return await async_complete(
        host.callers, site.tokens["camara"], site.plan.model, prompt, 8, time_limit
    )


async def test_a_prompt_of_a_million_tokens_runs_on_a_group(make_site):
    site = await make_site(PLAN)
    result = await async_send_prompt(site, next(iter(site.hosts.values())))
    assert result.outcome is Outcome.WHOLE, result
    await async_wait_idle(site, 5)


async def test_hosts_that_compete_for_the_same_engines_do_not_deadlock(make_site):
    """Two hosts request a group at once, with memory for one group at a time.

    Each group needs three of four engines. If each host kept a partial reservation
    while it waits for the rest, both would wait for ever. One releases its
    reservations, and all four prompts complete.
    """
    site = await make_site(PLAN)
    hosts = list(site.hosts.values())[:2] * 2
    prompts = [f"{number} {LONG_PROMPT}" for number in range(len(hosts))]
    results = await asyncio.gather(
        *map(async_send_prompt_with_retries, [site] * 4, hosts, prompts)
    )
    assert [result.outcome for result in results] == [Outcome.WHOLE] * 4, results
    await async_wait_idle(site, 5)


async def async_send_prompt_with_retries(site, host, prompt):
    """Repeat a refused prompt each second, up to 30 times."""
    for _ in range(30):
        result = await async_send_prompt(site, host, prompt)
        if result.code not in (ResultCode.OVERLOADED.number, 2002):
            return result
        await asyncio.sleep(1.0)
    return result


@pytest.mark.timeout(90)
async def test_a_partial_group_reservation_of_a_killed_host_is_released(make_site):
    """The host is killed between two reservations of one group.

    The second engine is frozen, so the host waits with the first one's memory reserved.
    It is killed then, and no other host knows of the request. Another host's sweep
    finds the reservation, sees that its owner is gone and releases it, so that the
    caller's next attempt completes.
    """
    site = await make_site(PLAN)
    first, other = list(site.hosts.values())[:2]
    engines = sorted(site.engines)
    for engine in engines[1:]:
        site.send_signal(engine, signal.SIGSTOP)
    request_task = asyncio.create_task(async_send_prompt(site, first, time_limit=5))
    async with asyncio.timeout(5):
        while not (await async_get_load(site, engines[0]))["reservations"]:
            await asyncio.sleep(0.02)
    await site.async_kill(first.name)
    for engine in engines[1:]:
        site.send_signal(engine, signal.SIGCONT)
    assert (await request_task).outcome is Outcome.FAILED_IN_TIME
    await async_wait_idle(site, 40)
    result = await async_send_prompt_with_retries(site, other, LONG_PROMPT)
    assert result.outcome is Outcome.WHOLE, result


async def test_a_conversation_is_routed_to_the_engine_that_caches_its_prefix(make_site):
    """The same long prompt prefix is sent repeatedly.

    The first engine that prefills it caches its blocks and publishes a cache event. The
    host receives the event and sends later requests to that engine, so no other engine
    ever prefills the prefix.
    """
    site = await make_site()
    host = next(iter(site.hosts.values()))
    plan = "aisle seven, bay four, shelf two " * 2_500
    for number in range(5):
        result = await async_send_prompt(site, host, f"{plan} turn {number}")
        assert result.outcome is Outcome.WHOLE, result
        await asyncio.sleep(1.5)
    loads = [await async_get_load(site, engine) for engine in site.engines]
    assert [load["cache_sequence"] for load in loads].count(0) == len(loads) - 1
