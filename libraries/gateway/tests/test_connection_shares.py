"""Tests of the share of its targets' connections that a host keeps to."""

import asyncio
from dataclasses import replace

import pytest

from tarragonward_standins import build_answer

MAX_CONNECTIONS = 40
HOSTS = 20
CALLERS = 8


@pytest.fixture
def make_shared_site(make_site):
    """Return a function that makes a site whose target states a load."""

    async def async_make(load):
        async def script(request, writer):
            await asyncio.sleep(0.2)
            writer.write(build_answer(request, lines=[f"X-Target-Load: {load}"]))

        site = await make_site(script)
        table = site.state.table
        service = replace(table.services["s"], max_connections=MAX_CONNECTIONS)
        site.state.table = replace(table, services={"s": service})
        site.state.count_sharing_hosts = lambda: HOSTS
        assert (await site.async_ask()).status == 200
        return site

    return async_make


async def async_count_most_at_once(site):
    """Ask many times at once; return the answers' statuses and the most in flight."""
    asks = [asyncio.ensure_future(site.async_ask()) for _ in range(CALLERS)]
    await asyncio.sleep(0.1)
    in_flight = site.runs - 1
    return [answer.status for answer in await asyncio.gather(*asks)], in_flight


async def test_host_with_most_callers_uses_idle_connections(
    make_shared_site,
):
    """The other hosts use none of their shares, and this host refused its callers."""
    site = await make_shared_site("1,0,8")
    statuses, in_flight = await async_count_most_at_once(site)
    assert statuses == [200] * CALLERS
    assert in_flight == CALLERS


async def test_host_waits_within_its_share_if_the_target_has_a_queue(make_shared_site):
    """A target resets connections beyond its limit, and has fewer while it is busy."""
    site = await make_shared_site("8,3,8")
    statuses, in_flight = await async_count_most_at_once(site)
    assert statuses == [200] * CALLERS
    assert in_flight == MAX_CONNECTIONS // HOSTS
