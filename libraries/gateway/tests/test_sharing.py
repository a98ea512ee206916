"""Tests of a host's share of the retry budget and of target connections."""

import asyncio
from dataclasses import replace

from tarragonward_gateway.clock import read_clock
from tarragonward_routes import RequestKind
from tarragonward_standins import answer_with, refuse_with


def set_bounds(site, **bounds):
    settings = site.state.settings
    changed = replace(settings.bounds, **bounds)
    site.state.settings = replace(settings, bounds=changed)
    site.state.apply_bounds()


async def test_without_retry_budget_no_second_target_is_tried(make_site):
    """Without a budget, retries alone would keep refusing targets overloaded.

    The caller is told at once that nothing ran, and when to retry.
    """
    site = await make_site(refuse_with(), answer_with())
    set_bounds(site, retry_share=0.0, retry_slack=0.0)
    answer = await site.async_ask()
    assert answer.status == 503
    assert float(answer.get("retry-after")[0]) > 0
    assert site.runs == 1


async def test_first_send_that_was_not_connected_is_no_retry(make_site):
    site = await make_site(answer_with(), answer_with())
    await site.targets[0].async_unload()
    set_bounds(site, retry_share=0.0, retry_slack=0.0)
    assert (await site.async_ask()).status == 200


async def test_retry_budget_is_shared_among_hosts(make_site):
    site = await make_site(refuse_with(), answer_with())
    set_bounds(site, retry_share=0.0, retry_slack=40.0)
    site.state.count_sharing_hosts = lambda: 2
    statuses = [(await site.async_ask()).status for _ in range(3)]
    assert statuses == [200, 503, 503]


async def test_host_stays_within_its_share_of_a_targets_connections(make_site):
    """A target resets connections beyond its limit, and their requests may have run.

    A limit of 100 shared by 50 hosts is two per host: the third concurrent request
    is sent to the other target, and the fifth is refused before it is sent.
    """
    held = asyncio.Event()

    async def hold(request, writer):
        await held.wait()
        await answer_with()(request, writer)

    site = await make_site(hold, hold, kind=RequestKind.NON_IDEMPOTENT)
    site.state.count_sharing_hosts = lambda: 50
    asked = [asyncio.create_task(site.async_ask("POST")) for _ in range(4)]
    async with asyncio.timeout(10.0):
        while site.runs < 4:
            await asyncio.sleep(0.01)
    assert [len(target.requests) for target in site.targets] == [2, 2]
    refused = await site.async_ask("POST")
    assert refused.status == 503
    held.set()
    assert [answer.status for answer in await asyncio.gather(*asked)] == [200] * 4
    assert site.runs == 4


async def test_retry_that_was_not_connected_is_not_charged(make_site):
    """Retries to an unreachable failure domain must not exhaust the retry budget.

    One target refuses, the next cannot be reached, the third answers. Only the retry
    that reached a target is charged.
    """
    site = await make_site(refuse_with(), answer_with(), answer_with())
    await site.targets[1].async_unload()
    set_bounds(site, retry_share=0.0, retry_slack=100.0)
    site.state.record_request("s")
    before = site.state.budget.count_remaining(1, read_clock())
    assert (await site.async_ask()).status == 200
    assert site.state.budget.count_remaining(1, read_clock()) == before - 1
