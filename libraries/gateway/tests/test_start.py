"""Tests of what callers get from a host that has no table yet."""

import asyncio

import pytest

from tarragonward_gateway import const as c
from tarragonward_standins import answer_with


@pytest.fixture
async def starting(make_site):
    """Return a site without its table, and what puts it in force."""
    site = await make_site(answer_with(b"done"))
    table, site.state.table = site.state.table, None
    site.state.has_table.clear()
    return site, lambda: site.state.install_table(table)


async def test_a_request_that_comes_before_the_table_is_served_by_it(starting):
    """After a loss of power a refusal takes the last attempt of many callers."""
    site, install_table = starting
    asking = asyncio.create_task(site.async_ask())
    await asyncio.sleep(0.05)
    assert not asking.done()
    install_table()
    answer = await asking
    assert (answer.status, answer.body) == (200, b"done")


async def test_a_request_is_refused_where_no_table_comes(starting, monkeypatch):
    """It must hear when to come back, and not wait until its deadline."""
    monkeypatch.setattr(c, "START_HOLD_SECONDS", 0.05)
    site, _ = starting
    answer = await site.async_ask()
    assert (answer.status, answer.get("x-result-code")) == (503, ["2006"])
    assert answer.get("retry-after")
    assert not site.runs


async def test_a_host_that_is_up_for_long_refuses_at_once(starting):
    """While the source is away, callers are to try another host."""
    site, _ = starting
    site.state.started_at -= c.STARTUP_SECONDS
    async with asyncio.timeout(c.START_HOLD_SECONDS / 2):
        assert (await site.async_ask()).status == 503


async def test_a_caller_in_a_hurry_is_not_held(starting):
    """A call of short time limit must hear in time to be asked elsewhere."""
    site, _ = starting
    header = site.state.headers.deadline_ms
    async with asyncio.timeout(c.START_HOLD_SECONDS):
        assert (await site.async_ask(lines=[f"{header}: 200"])).status == 503
