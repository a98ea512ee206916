"""Tests of moving prompts whose first event is overdue."""

import asyncio

import pytest

from tarragonward_gateway import const as c
from tarragonward_requests import RetryBudgetBounds
from tarragonward_standins import stream_events

PROMPT = "5000,100"


@pytest.fixture
async def make_pair(make_engines):
    """Return a function that makes two engines; the first send gets no answer."""

    async def async_make(**route):
        asked = []

        async def script(request, writer):
            asked.append(request.get("x-expected-target")[0])
            if len(asked) == 1:
                await asyncio.sleep(10)
            await stream_events([1, 2, 3])(request, writer)

        return await make_engines(script, script, **route), asked

    return async_make


async def test_overdue_prompt_moves_to_another_engine(make_pair):
    """A prompt queued behind unreported work until its caller disconnected."""
    site, asked = await make_pair()
    async with asyncio.timeout(site.state.table.routes[0].aim_seconds):
        answer = await site.async_ask_prompt(PROMPT)
    assert answer.status == 200
    assert len(set(asked)) == len(asked) == 2
    assert site.chooser.target_health.ejected_count == 0


async def test_overdue_prompt_stays_if_no_other_engine_is_in_time(make_pair):
    """The aim has passed, so a second prefill would only waste engine time."""
    site, asked = await make_pair(aim_seconds=0.1)
    asking = asyncio.create_task(site.async_ask_prompt(PROMPT))
    await asyncio.sleep(c.OVERDUE_MARGIN_SECONDS + 0.4)
    assert len(asked) == 1
    asking.cancel()


async def test_overdue_prompt_stays_without_retry_budget(make_pair):
    """A fleet that is slow as a whole must not process each prompt twice."""
    site, asked = await make_pair()
    site.state.budget.bounds = RetryBudgetBounds(0.0, 0.0, 10.0)
    asking = asyncio.create_task(site.async_ask_prompt(PROMPT))
    await asyncio.sleep(c.OVERDUE_MARGIN_SECONDS + 0.4)
    assert len(asked) == 1
    asking.cancel()


async def test_overdue_prompt_stays_in_a_very_large_fleet(make_pair, monkeypatch):
    """Planning among all engines of a very large fleet would stall the host."""
    monkeypatch.setattr(c, "MAX_CROSS_CELL_ENGINES", 1)
    site, asked = await make_pair()
    asking = asyncio.create_task(site.async_ask_prompt(PROMPT))
    await asyncio.sleep(c.OVERDUE_MARGIN_SECONDS + 0.4)
    assert len(asked) == 1
    asking.cancel()
