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
SHORT_DRAIN_TIMEOUT = SitePlan(
    ("north",), services_per_domain=0, limits={"drain_timeout_seconds": 1}
)


def start_completion(site, name, address, tokens, limit=30.0):
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


async def async_get_health(site):
    address = site.hosts[HOST].operators
    return (await async_send_http(address, "GET", "/health", timeout=1.0)).status


async def test_a_drain_fails_the_health_check_first_and_completes_requests(make_site):
    """A host is drained during a long answer, and the load balancer reacts late.

    The health check fails at once. A request that the balancer still sends is served.
    One that arrives after that is refused with DRAINING on a connection that is closed,
    and the long answer completes before the process exits.
    """
    site = await make_site(ONE_DOMAIN)
    callers = site.hosts[HOST].callers
    long_completion = start_completion(site, "season", callers, 400)
    await asyncio.sleep(0.5)
    stop_task = asyncio.ensure_future(site.async_terminate(HOST, 20.0))
    await asyncio.sleep(0.1)
    assert await async_get_health(site) == 503
    late_completion = start_completion(site, "late", callers, 5)
    assert (await late_completion).outcome is Outcome.WHOLE
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
    assert (await long_completion).outcome is Outcome.WHOLE
    assert await stop_task == 0


async def test_a_balancer_that_checks_health_each_second_loses_no_request(make_site):
    """The balancer's next health check comes 0.8 s after SIGTERM.

    Requests that it sends before are served. The host exits once the balancer has read
    the failed check.
    """
    site = await make_site(ONE_DOMAIN)
    stop_task = asyncio.ensure_future(site.async_terminate(HOST, 20.0))
    await asyncio.sleep(0.8)
    late_completion = await start_completion(site, "late", site.hosts[HOST].callers, 5)
    assert late_completion.outcome is Outcome.WHOLE
    assert await async_get_health(site) == 503
    assert await stop_task == 0


async def test_a_balancer_that_acts_late_on_a_failed_check_loses_no_request(make_site):
    """It has read the failed check, and sends callers for 1.5 s longer."""
    site = await make_site(ONE_DOMAIN)
    stop_task = asyncio.ensure_future(site.async_terminate(HOST, 20.0))
    await asyncio.sleep(0.1)
    assert await async_get_health(site) == 503
    completions = []
    for number in range(6):
        callers = site.hosts[HOST].callers
        completions.append(start_completion(site, f"late {number}", callers, 5))
        await asyncio.sleep(0.25)
    results = await asyncio.gather(*completions)
    assert [r for r in results if r.outcome is not Outcome.WHOLE] == []
    assert await stop_task == 0


@pytest.mark.parametrize("plan", [ONE_DOMAIN, SHORT_DRAIN_TIMEOUT])
async def test_an_interrupted_drain_answers_each_caller(make_site, plan):
    """A second SIGTERM, or the time limit of the drain, interrupts a long answer.

    The caller gets an error event with HOST_STOPPED, not a broken connection, and the
    engine's memory is released before the process exits.
    """
    site = await make_site(plan)
    long_completion = start_completion(site, "season", site.hosts[HOST].callers, 600)
    await asyncio.sleep(0.7)
    site.send_signal(HOST, signal.SIGTERM)
    await asyncio.sleep(0.2)
    if plan is ONE_DOMAIN:
        site.send_signal(HOST, signal.SIGTERM)
    result = await long_completion
    assert (result.outcome, result.code) == (
        Outcome.FAILED_IN_TIME,
        ResultCode.HOST_STOPPED.number,
    )
    assert await async_wait_idle(site, 5) == {}


async def test_a_rolling_restart_interrupts_no_request(make_site):
    """Each host is drained and started again under load.

    Callers go through the load balancer throughout, with answers of half a second to
    three seconds in progress on every host; each of them completes.
    """
    site = await make_site(SitePlan(services_per_domain=0))
    balancer = Balancer(site)
    await balancer.async_setup()
    completions = []
    replace_task = asyncio.ensure_future(async_replace_all(site))
    while not replace_task.done():
        tokens = 300 if len(completions) % 10 == 0 else 40
        prompt_name = f"bay {len(completions)}"
        completions.append(
            start_completion(site, prompt_name, balancer.choose().callers, tokens)
        )
        await asyncio.sleep(0.1)
    await replace_task
    results = await asyncio.gather(*completions)
    await balancer.async_unload()
    assert len(results) > 40
    assert [r for r in results if r.outcome is not Outcome.WHOLE] == []
    assert await async_wait_idle(site, 5) == {}


async def async_replace_all(site):
    for name in site.hosts:
        assert await site.async_terminate(name, 30.0) == 0
        await site.async_start(name)
        await site.async_wait_healthy(name)
        await asyncio.sleep(0.5)
