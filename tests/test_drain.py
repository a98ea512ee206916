"""Tests of draining and replacing hosts, with real processes."""

import asyncio
import signal

import pytest

from tarragonward_core import ResultCode
from tarragonward_standins.client import Outcome, async_complete
from tarragonward_standins.observe import Balancer, async_wait_idle, make_prompt
from tarragonward_standins.site import SitePlan
from tarragonward_wire import async_send_http

HOST = "entry-north-1"
ONE_DOMAIN = SitePlan(failure_domains=("north",), services_per_domain=0)
HURRIED = SitePlan(
    ("north",), services_per_domain=0, limits={"drain_timeout_seconds": 1}
)


def ask(site, name, address, tokens, limit=30.0):
    return asyncio.ensure_future(
        async_complete(
            address,
            site.tokens["camara"],
            site.plan.model,
            make_prompt(name, tokens),
            tokens,
            limit,
        )
    )


async def get_health(site):
    address = site.hosts[HOST].operators
    return (await async_send_http(address, "GET", "/health", timeout=1.0)).status


async def test_a_drain_fails_health_first_and_ends_all_that_is_in_progress(make_site):
    """A host is replaced in the middle of a long answer; the balancer is a bit late.

    Health fails at once, a request that the balancer still sends is served, one that
    comes later is refused with a number on a connection that closes, and the long
    answer ends whole before the process does.
    """
    site = await make_site(ONE_DOMAIN)
    callers = site.hosts[HOST].callers
    long = ask(site, "season", callers, 400)
    await asyncio.sleep(0.5)
    ending = asyncio.ensure_future(site.async_terminate(HOST, 20.0))
    await asyncio.sleep(0.1)
    assert await get_health(site) == 503
    late = ask(site, "late", callers, 5)
    assert (await late).outcome is Outcome.WHOLE
    await asyncio.sleep(0.8)
    headers = {"authorization": f"Bearer {site.tokens['camara']}"}
    headers["connection"] = "keep-alive"
    body = b'{"model": "planogram-1", "prompt": "x", "max_tokens": 1}'
    refused = await async_send_http(
        callers, "POST", "/v1/completions", headers=headers, body=body, timeout=2.0
    )
    assert refused.headers["x-result-code"] == str(ResultCode.DRAINING.number)
    assert refused.headers["retry-after"] == "1"
    assert refused.headers["connection"] == "close"
    served = await async_send_http(
        callers, "GET", "/v1/models", headers=headers, timeout=2.0
    )
    assert (served.status, served.headers["connection"]) == (200, "close")
    assert (await long).outcome is Outcome.WHOLE
    assert await ending == 0


async def test_a_balancer_that_asks_each_second_loses_no_request(make_site):
    """The balancer's check comes 0.8 s after SIGTERM; until then it sends here.

    What it sends is served. Once it has read that the check fails, the host ends.
    """
    site = await make_site(ONE_DOMAIN)
    ending = asyncio.ensure_future(site.async_terminate(HOST, 20.0))
    await asyncio.sleep(0.8)
    late = await ask(site, "late", site.hosts[HOST].callers, 5)
    assert late.outcome is Outcome.WHOLE
    assert await get_health(site) == 503
    assert await ending == 0


@pytest.mark.parametrize("plan", [ONE_DOMAIN, HURRIED])
async def test_a_drain_cut_short_gives_each_caller_its_answer(make_site, plan):
    """A second SIGTERM, or the time limit of the drain, meets a long answer.

    The caller reads an error event with HOST_STOPPED, not a broken connection, and
    the engine's memory is released before the process ends.
    """
    site = await make_site(plan)
    long = ask(site, "season", site.hosts[HOST].callers, 600)
    await asyncio.sleep(0.7)
    site.send_signal(HOST, signal.SIGTERM)
    await asyncio.sleep(0.2)
    if plan is ONE_DOMAIN:
        site.send_signal(HOST, signal.SIGTERM)
    result = await long
    assert (result.outcome, result.code) == (
        Outcome.FAILED_IN_TIME,
        ResultCode.HOST_STOPPED.number,
    )
    assert await async_wait_idle(site, 5) == {}


async def test_replacing_all_hosts_in_turn_cuts_nothing_off(make_site):
    """A new version goes out at noon: each host is drained and started again.

    Callers go through the balancer all the while, with answers of half a second to
    three seconds in progress on every host; each of them ends whole.
    """
    site = await make_site(SitePlan(services_per_domain=0))
    balancer = Balancer(site)
    await balancer.async_setup()
    asking = []
    replacing = asyncio.ensure_future(replace_all(site))
    while not replacing.done():
        tokens = 300 if len(asking) % 10 == 0 else 40
        prompt_name = f"bay {len(asking)}"
        asking.append(ask(site, prompt_name, balancer.choose().callers, tokens))
        await asyncio.sleep(0.1)
    await replacing
    results = await asyncio.gather(*asking)
    await balancer.async_unload()
    assert len(results) > 40
    assert [r for r in results if r.outcome is not Outcome.WHOLE] == []
    assert await async_wait_idle(site, 5) == {}


async def replace_all(site):
    for name in site.hosts:
        assert await site.async_terminate(name, 30.0) == 0
        await site.async_start(name)
        await site.async_wait_healthy(name)
        await asyncio.sleep(0.5)
