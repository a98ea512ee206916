"""Tests of prompts that are held while the engines are full."""

import asyncio

from tarragonward_gateway import const as c
from tarragonward_gateway.place_queue import PlaceQueue
from tarragonward_membership import WithdrawnTarget
from tarragonward_standins import RawCaller, refuse_with, stream_events

PLACES = 2
PROMPT = "2000,500"
refuse = refuse_with()


class FullEngine:
    """A script of an engine with few places, which refuses what it has none for."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.taken = 0
        self.refused = 0

    async def __call__(self, request, writer):
        if self.taken >= PLACES:
            self.refused += 1
            await refuse(request, writer)
            return
        self.taken += 1
        try:
            await asyncio.sleep(self.seconds)
            await stream_events([1])(request, writer)
        finally:
            self.taken -= 1


async def test_prompts_are_served_in_turn_by_an_engine_that_is_full(make_engines):
    """All engines but one have crashed: what it refuses could be served in time."""
    engine = FullEngine(0.1)
    site = await make_engines(engine)
    ask = site.async_ask_prompt
    early = [asyncio.ensure_future(ask(PROMPT)) for _ in range(PLACES + 1)]
    while not len(site.chooser.concurrency):
        await asyncio.sleep(0.005)
    late = [ask(PROMPT) for _ in range(10)]
    answers = await asyncio.gather(*early, *late)
    assert [answer.status for answer in answers] == [200] * (PLACES + 11)
    # The limit is also tested by sending one more now and then.
    assert engine.refused <= PLACES + 2


async def test_held_prompt_is_refused_in_time_if_no_place_becomes_free(make_engines):
    """The refusal must leave the caller time to come back."""
    engine = FullEngine(30.0)
    site = await make_engines(engine, timeout_seconds=2.0)
    ask = site.async_ask_prompt
    running = [asyncio.ensure_future(ask(PROMPT)) for _ in range(PLACES)]
    await asyncio.sleep(0.05)
    begun_at = asyncio.get_running_loop().time()
    answer = await ask(PROMPT)
    taken = asyncio.get_running_loop().time() - begun_at
    assert answer.status == 503
    assert 0.5 < taken < 2.0 * c.PLACE_HOLD_SHARE + 0.3
    for task in running:
        task.cancel()


async def test_held_prompt_whose_caller_leaves_is_never_sent(make_engines):
    engine = FullEngine(0.4)
    site = await make_engines(engine)
    ask = site.async_ask_prompt
    running = [asyncio.ensure_future(ask(PROMPT)) for _ in range(PLACES + 1)]
    await asyncio.sleep(0.1)
    caller = await RawCaller.async_open(site.server.address)
    caller.send("POST", "/app/x", lines=[f"X-Tokens: {PROMPT}"])
    queue = site.chooser.get_place_queue("s")
    await asyncio.sleep(0.1)
    held = len(queue)
    caller.writer.close()
    await asyncio.sleep(0.1)
    assert (held, len(queue)) == (2, 1)
    sends = site.runs
    await asyncio.gather(*running)
    assert site.runs == sends + 1


async def test_prompt_without_any_target_is_refused_at_once(make_engines):
    """A limit that is still known must not make it wait for what has gone."""
    engine = FullEngine(1.0)
    site = await make_engines(engine)
    ask = site.async_ask_prompt
    running = [asyncio.ensure_future(ask(PROMPT)) for _ in range(PLACES + 1)]
    await asyncio.sleep(0.1)
    assert len(site.chooser.get_place_queue("s")) == 1
    site.state.registry.apply(WithdrawnTarget("t0", 9))
    async with asyncio.timeout(0.5):
        assert (await ask(PROMPT)).status == 503
    async with asyncio.timeout(0.5):
        assert (await running[PLACES]).status == 503
    await asyncio.gather(*running)


async def test_prompts_are_not_held_while_the_host_drains(make_engines):
    engine = FullEngine(1.0)
    site = await make_engines(engine)
    ask = site.async_ask_prompt
    running = [asyncio.ensure_future(ask(PROMPT)) for _ in range(PLACES)]
    await asyncio.sleep(0.1)
    site.state.is_draining = True
    async with asyncio.timeout(0.5):
        assert (await ask(PROMPT)).status == 503
    await asyncio.gather(*running)


async def test_prompt_is_refused_at_once_if_the_queue_is_too_slow(make_engines):
    engine = FullEngine(1.0)
    site = await make_engines(engine)
    ask = site.async_ask_prompt
    running = [asyncio.ensure_future(ask(PROMPT)) for _ in range(PLACES + 1)]
    await asyncio.sleep(0.1)
    queue = site.chooser.get_place_queue("s")
    now = asyncio.get_running_loop().time()
    for age in range(c.MIN_RELEASE_TIMES, 0, -1):
        queue.record_release(now - 3.0 * age)
    async with asyncio.timeout(0.5):
        refused = await ask(PROMPT)
    assert refused.status == 503
    assert float(refused.get("retry-after")[0]) > 3.0
    await asyncio.gather(*running)


async def test_first_of_the_queue_gets_the_place():
    queue, order, is_free = PlaceQueue(), [], []
    until = asyncio.get_running_loop().time() + 5.0

    async def async_take(name):
        if await queue.async_wait(lambda: bool(is_free), until):
            order.append(name)
            is_free.pop()

    tasks = [asyncio.ensure_future(async_take(name)) for name in "abc"]
    for _ in tasks:
        await asyncio.sleep(0.01)
        is_free.append(True)
        queue.record_release(0.0)
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    assert order == list("abc")
    assert len(queue) == 0


async def async_hold(queue, account, served, is_free, urgency=1):
    until = asyncio.get_running_loop().time() + 5.0
    if await queue.async_wait(lambda: bool(is_free), until, account, urgency):
        is_free.pop()
        served.append(account)


async def async_free(queue, is_free, count):
    for _ in range(count):
        is_free.append(True)
        queue.record_release(0.0)
        await asyncio.sleep(0.01)


async def test_small_account_is_not_held_behind_all_requests_of_a_large_one():
    """A client account sends many times its share while all engines are full."""
    queue, served, is_free = PlaceQueue(), [], []
    accounts = ["large"] * 20 + ["small"] * 2
    tasks = [
        asyncio.ensure_future(async_hold(queue, account, served, is_free))
        for account in accounts
    ]
    await asyncio.sleep(0.01)
    await async_free(queue, is_free, 4)
    assert sorted(served) == ["large", "large", "small", "small"]
    await async_free(queue, is_free, 18)
    await asyncio.gather(*tasks)
    assert len(queue) == 0


async def test_more_urgent_request_that_comes_later_gets_the_next_place():
    queue, served, is_free = PlaceQueue(), [], []
    tasks = [
        asyncio.ensure_future(async_hold(queue, name, served, is_free, urgency))
        for name, urgency in (("later", 1), ("now", 0))
    ]
    await asyncio.sleep(0.01)
    await async_free(queue, is_free, 2)
    await asyncio.gather(*tasks)
    assert served == ["now", "later"]


async def test_full_queue_makes_room_for_an_account_below_its_share(monkeypatch):
    """Otherwise an account that fills the queue would have all others refused."""
    monkeypatch.setattr(c, "MAX_HELD_REQUESTS", 5)
    queue, served, is_free, displaced = PlaceQueue(), [], [], []
    queue.on_displaced = displaced.append
    large = [
        asyncio.ensure_future(async_hold(queue, "large", served, is_free))
        for _ in range(5)
    ]
    await asyncio.sleep(0.01)
    assert not queue.make_room("large", 1)
    assert queue.make_room("small", 1)
    small = asyncio.ensure_future(async_hold(queue, "small", served, is_free))
    await asyncio.sleep(0.01)
    assert displaced == ["large"]
    assert [task.done() for task in large] == [False] * 4 + [True]
    await async_free(queue, is_free, 5)
    await asyncio.gather(*large, small)
    assert sorted(served) == ["large"] * 4 + ["small"]
    assert len(queue) == 0


async def test_held_request_that_leaves_lets_the_next_one_look_for_a_place():
    """Its caller has gone; the others must not wait for it."""
    queue, served, is_free = PlaceQueue(), [], [True]
    is_free.clear()
    first = asyncio.ensure_future(async_hold(queue, "a", served, is_free))
    second = asyncio.ensure_future(async_hold(queue, "a", served, is_free))
    await asyncio.sleep(0.01)
    first.cancel()
    await asyncio.sleep(0.01)
    await async_free(queue, is_free, 1)
    await second
    assert served == ["a"] and len(queue) == 0
