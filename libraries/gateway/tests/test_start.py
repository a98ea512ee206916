"""Tests of the answers of a host that has no routing table yet."""

import asyncio

import pytest

from tarragonward_gateway import const as c
from tarragonward_standins import answer_with


@pytest.fixture
async def starting(make_site):
    """Return a site without its table, and a function that puts it in force."""
    site = await make_site(answer_with(b"done"))
    table, site.state.table = site.state.table, None
    site.state.has_table.clear()
    return site, lambda: site.state.install_table(table)


async def test_request_before_first_table_is_served(starting):
    """After a power loss a refusal would use up the last attempt of many callers."""
    site, install_table = starting
    asking = asyncio.create_task(site.async_ask())
    await asyncio.sleep(0.05)
    assert not asking.done()
    install_table()
    answer = await asking
    assert (answer.status, answer.body) == (200, b"done")


async def test_request_is_refused_if_no_table_arrives(starting, monkeypatch):
    """The caller must get a retry-after, and not wait until its deadline."""
    monkeypatch.setattr(c, "START_HOLD_SECONDS", 0.05)
    site, _ = starting
    answer = await site.async_ask()
    assert (answer.status, answer.get("x-result-code")) == (503, ["2006"])
    assert answer.get("retry-after")
    assert not site.runs


async def test_host_without_table_after_startup_refuses_at_once(starting):
    """While the source does not answer, callers are to try another host."""
    site, _ = starting
    site.state.started_at -= c.STARTUP_SECONDS
    async with asyncio.timeout(c.START_HOLD_SECONDS / 2):
        assert (await site.async_ask()).status == 503


async def test_request_with_short_time_limit_is_refused_early(starting):
    """A request with a short time limit must be refused while it can go elsewhere."""
    site, _ = starting
    header = site.state.headers.deadline_ms
    async with asyncio.timeout(c.START_HOLD_SECONDS):
        assert (await site.async_ask(lines=[f"{header}: 200"])).status == 503
