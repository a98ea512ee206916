"""Streams and prompts that leave an engine, and where they go on."""

import asyncio
import socket
from dataclasses import replace

import pytest

from tarragonward_gateway import const as c
from tarragonward_gateway.clock import read_clock
from tarragonward_placement import Evidence
from tarragonward_requests import RetryBudgetBounds, SharedRetryBudget
from tarragonward_standins import (
    CHUNKED,
    build_answer,
    build_chunk,
    build_event,
    refuse_with,
    stream_events,
)


def read_for_long(site, target, seconds):
    """Let a peer tell that an engine reads a part of its long prompt for so long."""
    weight, aim = 200, 3_000
    entry = [
        0,
        0,
        1,
        0,
        0,
        int(seconds * 1_000),
        [],
        [[int(seconds * 1_000), aim, weight]],
    ]
    site.chooser.apply_digest("peer", {target: entry}, 0.0)


def doubt_others(site, target_id):
    """Let all targets but one have failed to connect."""
    for target in site.state.registry.get_all():
        if target.id != target_id:
            site.chooser.probes.record(target, Evidence.NOT_CONNECTED)


def begin_stream(on_start):
    """Return a script that gives two events, tells that it has, and goes silent."""

    async def script(request, writer):
        lines = ("Content-Type: text/event-stream",)
        writer.write(build_answer(request, b"", "200 OK", lines, [CHUNKED]))
        writer.write(build_chunk(build_event(1) + build_event(2)))
        await writer.drain()
        await asyncio.sleep(0.05)
        on_start()
        await asyncio.sleep(5)

    return script


async def test_a_stream_moves_off_an_engine_that_begins_to_read_for_long(make_engines):
    """A short prompt's answer is written, as another host reads a long one beside it.

    The engine writes nothing for two seconds, and the caller would leave. It is told
    at once by the other host, goes on at the next event on an engine that is free, and
    the caller has the whole answer within the pause that it bears. The engine that was
    left is in no doubt.
    """
    asked = []

    async def script(request, writer):
        asked.append(request)
        target = request.get("x-expected-target")[0]
        if len(asked) == 1:
            start = begin_stream(lambda: read_for_long(site, target, 2.0))
            await start(request, writer)
            return
        await stream_events([3, 4])(request, writer)

    site = await make_engines(
        script, script, pause_aim_seconds=0.4, timeout_seconds=4.0
    )
    async with asyncio.timeout(1.0):
        answer = await site.async_ask_prompt("2000,500")
    assert [f"piece {n}".encode() in answer.body for n in (1, 2, 3, 4)] == [True] * 4
    assert asked[1].get("last-event-id") == ["2"]
    assert asked[0].get("x-expected-target") != asked[1].get("x-expected-target")
    assert site.chooser.target_health.ejected_count == 0


async def test_a_stream_stays_where_no_other_engine_would_be_in_time(make_engines):
    """All engines read for long: left, the stream would only wait elsewhere."""
    asked = []

    async def script(request, writer):
        asked.append(request)

        def read_everywhere():
            entry = [0, 0, 1, 0, 0, 300, [], [[300, 3_000, 200]]]
            digest = {target.id: entry for target in site.targets}
            site.chooser.apply_digest("peer", digest, 0.0)

        await begin_stream(read_everywhere)(request, writer)

    site = await make_engines(
        script, script, pause_aim_seconds=0.2, timeout_seconds=0.6
    )
    await site.async_ask_prompt("2000,500")
    assert len(asked) == 1


async def test_a_stream_does_not_move_to_an_engine_in_doubt(make_engines):
    """One of two engines has crashed; the other one reads a long prompt for a moment.

    The dead one is idle by all that is known, so every stream would move to it. Each
    comes back at once, finds its place at the live engine taken and the queue full,
    and is broken off. Staying costs a pause.
    """
    asked = []

    async def script(request, writer):
        asked.append(request.get("x-expected-target")[0])
        doubt_others(site, asked[0])
        start = begin_stream(lambda: read_for_long(site, asked[0], 2.0))
        await start(request, writer)

    site = await make_engines(
        script, script, pause_aim_seconds=0.2, timeout_seconds=0.6
    )
    await site.async_ask_prompt("2000,500")
    assert len(asked) == 1


async def test_a_prompt_does_not_leave_a_silent_engine_for_one_in_doubt(make_engines):
    """One of two engines has crashed; prompts wait in the queue of the other one.

    Late by their prediction, they would leave their places for the dead engine, and
    come back to a queue that is full: they are refused, though each would have run.
    """
    asked = []

    async def script(request, writer):
        asked.append(request.get("x-expected-target")[0])
        doubt_others(site, asked[0])
        await asyncio.sleep(1.0)
        await stream_events([1, 2])(request, writer)

    site = await make_engines(
        script, script, aim_seconds=0.1, pause_aim_seconds=0.2, timeout_seconds=4.0
    )
    answer = await site.async_ask_prompt("2000,500")
    assert len(asked) == 1
    assert b"piece 2" in answer.body


async def async_lose(request, writer):
    """Let the engine crash as it is asked."""
    writer.transport.abort()


@pytest.mark.parametrize(
    ("fail", "engines"), [(refuse_with(), 2), (async_lose, 3)], ids=["refused", "lost"]
)
async def test_a_stream_that_fails_where_it_went_returns(make_engines, fail, engines):
    """A stream moves; the engine that it moves to is full by then, or crashes.

    Both targets that the route allows have had it. Broken off, the caller would lose
    its answer, though the engine that it came from goes on after its reading.
    """
    asked = []

    async def script(request, writer):
        target = request.get("x-expected-target")[0]
        asked.append(target)
        if len(asked) == 1:
            start = begin_stream(lambda: read_for_long(site, target, 2.0))
            await start(request, writer)
        elif len(asked) == 2:
            await fail(request, writer)
        else:
            await stream_events([3, 4])(request, writer)

    site = await make_engines(
        *[script] * engines, pause_aim_seconds=0.4, timeout_seconds=4.0
    )
    answer = await site.async_ask_prompt("2000,500")
    assert [f"piece {n}".encode() in answer.body for n in (1, 2, 3, 4)] == [True] * 4
    assert asked[2] == asked[0]


async def async_make_with_a_dead_engine(make_engines, script, **route):
    """Return a site of two engines, of which one has just crashed, still registered."""
    site = await make_engines(script, script, **route)
    dead = site.state.registry.get("t1")
    with socket.socket() as probe:
        probe.bind((dead.address.host, 0))
        closed = replace(dead.address, port=probe.getsockname()[1])
    site.state.registry.apply(replace(dead, address=closed, revision=99))
    return site


async def test_a_stream_whose_new_engine_is_dead_returns(make_engines, monkeypatch):
    """An engine crashes, and another host's long reading holds a stream up beside it.

    The stream leaves for the one that has crashed, which nobody has found out yet.
    Were the engine that it came from not asked again, its caller's answer would be
    broken off, though that engine goes on after the reading.
    """
    asked = []

    async def script(request, writer):
        asked.append(request)
        target = request.get("x-expected-target")[0]
        if len(asked) == 1:
            start = begin_stream(lambda: read_for_long(site, target, 2.0))
            await start(request, writer)
        else:
            await stream_events([3, 4])(request, writer)

    site = await async_make_with_a_dead_engine(
        make_engines, script, pause_aim_seconds=0.4, timeout_seconds=4.0
    )
    choose_first(site, "t0")
    answer = await site.async_ask_prompt("2000,500")
    assert [f"piece {n}".encode() in answer.body for n in (1, 2, 3, 4)] == [True] * 4
    assert asked[1].get("last-event-id") == ["2"]


async def test_a_stream_moves_though_an_event_comes_as_it_leaves(make_engines):
    """A stream is broken off in the middle, though two engines are well.

    A long reading holds it up, and the one repeat that the host has left is taken for
    the move. An event comes before the engine is left; taken for the end of the move,
    the move needs a second repeat, and there is none.
    """
    asked = []

    async def script(request, writer):
        asked.append(request)
        if len(asked) > 1:
            await stream_events([4, 5])(request, writer)
            return

        def give_event_and_read():
            writer.write(build_chunk(build_event(3)))
            read_for_long(site, request.get("x-expected-target")[0], 2.0)

        await begin_stream(give_event_and_read)(request, writer)

    site = await make_engines(
        script, script, pause_aim_seconds=0.4, timeout_seconds=4.0
    )
    one_repeat = RetryBudgetBounds(share=0.0, slack=2.0, window_seconds=10.0)
    site.state.budget = SharedRetryBudget(one_repeat, read_clock() - 20.0)
    answer = await site.async_ask_prompt("2000,500")
    assert [f"piece {n}".encode() in answer.body for n in range(1, 6)] == [True] * 5
    assert asked[1].get("last-event-id") == ["3"]


async def test_a_prompt_that_left_a_silent_engine_for_a_dead_one_returns(
    make_engines, monkeypatch
):
    """A busy engine is left before its first event, and the other one has crashed.

    The caller would hear that its prompt may have run, and wait for nothing.
    """
    monkeypatch.setattr(c, "SILENCE_MIN_FIRST_SECONDS", 0.05)
    asked = []

    async def script(request, writer):
        asked.append(request)
        if len(asked) == 1:
            await asyncio.sleep(5)
        await stream_events([1, 2])(request, writer)

    site = await async_make_with_a_dead_engine(
        make_engines, script, aim_seconds=0.05, timeout_seconds=4.0
    )
    choose_first(site, "t0")
    answer = await site.async_ask_prompt("2000,500")
    assert answer.status == 200
    assert b"piece 2" in answer.body
    assert len(asked) == 2


def choose_first(site, name):
    """Let the first send of a request go to an engine."""
    choose = site.chooser.choose
    site.chooser.choose = lambda need: choose(
        need if need.tried else replace(need, leader=name)
    )
