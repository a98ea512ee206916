"""Tests of streams and prompts that move to another engine."""

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


def report_long_prefill(site, target, seconds):
    """Apply a peer's report that an engine prefills its long prompt for so long."""
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


def fail_others(site, target_id):
    """Record failed connections to all targets but one."""
    for target in site.state.registry.get_all():
        if target.id != target_id:
            site.chooser.probes.record(target, Evidence.NOT_CONNECTED)


def begin_stream(on_start):
    """Return a script that sends two events, calls on_start, and goes silent."""

    async def script(request, writer):
        lines = ("Content-Type: text/event-stream",)
        writer.write(build_answer(request, b"", "200 OK", lines, [CHUNKED]))
        writer.write(build_chunk(build_event(1) + build_event(2)))
        await writer.drain()
        await asyncio.sleep(0.05)
        on_start()
        await asyncio.sleep(5)

    return script


async def test_stream_moves_off_an_engine_with_a_long_prefill(make_engines):
    """A stream must not stall while its engine prefills another host's long prompt.

    The engine sends nothing for two seconds, and the caller would disconnect. The
    other host reports the prefill, the stream resumes on a free engine, and the caller
    receives all of it within the pause aim. The first engine is not ejected.
    """
    asked = []

    async def script(request, writer):
        asked.append(request)
        target = request.get("x-expected-target")[0]
        if len(asked) == 1:
            start = begin_stream(lambda: report_long_prefill(site, target, 2.0))
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


async def test_stream_stays_if_no_other_engine_is_in_time(make_engines):
    """All engines have long prefills, so a moved stream would wait just as long."""
    asked = []

    async def script(request, writer):
        asked.append(request)

        def report_prefill_everywhere():
            entry = [0, 0, 1, 0, 0, 300, [], [[300, 3_000, 200]]]
            digest = {target.id: entry for target in site.targets}
            site.chooser.apply_digest("peer", digest, 0.0)

        await begin_stream(report_prefill_everywhere)(request, writer)

    site = await make_engines(
        script, script, pause_aim_seconds=0.2, timeout_seconds=0.6
    )
    await site.async_ask_prompt("2000,500")
    assert len(asked) == 1


async def test_stream_does_not_move_to_an_ejected_engine(make_engines):
    """Streams must not move to a crashed engine during a prefill on the live one.

    The dead engine has no reported load, so every stream would move to it, return at
    once to a full queue and be aborted. Staying costs only a pause.
    """
    asked = []

    async def script(request, writer):
        asked.append(request.get("x-expected-target")[0])
        fail_others(site, asked[0])
        start = begin_stream(lambda: report_long_prefill(site, asked[0], 2.0))
        await start(request, writer)

    site = await make_engines(
        script, script, pause_aim_seconds=0.2, timeout_seconds=0.6
    )
    await site.async_ask_prompt("2000,500")
    assert len(asked) == 1


async def test_prompt_does_not_move_to_an_ejected_engine(make_engines):
    """Queued prompts must not move to a crashed engine when they are late.

    They would give up their places for the dead engine, return to a full queue and be
    refused, although each would have run.
    """
    asked = []

    async def script(request, writer):
        asked.append(request.get("x-expected-target")[0])
        fail_others(site, asked[0])
        await asyncio.sleep(1.0)
        await stream_events([1, 2])(request, writer)

    site = await make_engines(
        script, script, aim_seconds=0.1, pause_aim_seconds=0.2, timeout_seconds=4.0
    )
    answer = await site.async_ask_prompt("2000,500")
    assert len(asked) == 1
    assert b"piece 2" in answer.body


async def async_lose(request, writer):
    """Abort the connection, as an engine that crashes."""
    writer.transport.abort()


@pytest.mark.parametrize(
    ("fail", "engines"), [(refuse_with(), 2), (async_lose, 3)], ids=["refused", "lost"]
)
async def test_stream_returns_if_its_new_engine_fails(make_engines, fail, engines):
    """A stream moves to an engine that refuses it or crashes.

    Both targets that the route allows have been used. The stream must return to the
    first engine, which continues after its prefill, instead of being aborted.
    """
    asked = []

    async def script(request, writer):
        target = request.get("x-expected-target")[0]
        asked.append(target)
        if len(asked) == 1:
            start = begin_stream(lambda: report_long_prefill(site, target, 2.0))
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
    """Return a site with two registered engines, of which one has just crashed."""
    site = await make_engines(script, script, **route)
    dead = site.state.registry.get("t1")
    with socket.socket() as probe:
        probe.bind((dead.address.host, 0))
        closed = replace(dead.address, port=probe.getsockname()[1])
    site.state.registry.apply(replace(dead, address=closed, revision=99))
    return site


async def test_stream_returns_if_its_new_engine_is_dead(make_engines, monkeypatch):
    """A stream moves to an engine whose crash has not been noticed yet.

    A long prefill delays the stream at the first engine. The stream must return there,
    as that engine continues after the prefill, instead of being aborted.
    """
    asked = []

    async def script(request, writer):
        asked.append(request)
        target = request.get("x-expected-target")[0]
        if len(asked) == 1:
            start = begin_stream(lambda: report_long_prefill(site, target, 2.0))
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


async def test_event_during_a_move_does_not_end_the_move(make_engines):
    """A stream must not be aborted because an event arrives during its move.

    A long prefill delays the stream, and the move is charged the last retry of the
    host's budget. An event arrives before the engine is abandoned. If it ended the
    move, another move would need a second retry, and the budget has none.
    """
    asked = []

    async def script(request, writer):
        asked.append(request)
        if len(asked) > 1:
            await stream_events([4, 5])(request, writer)
            return

        def send_event_and_report_prefill():
            writer.write(build_chunk(build_event(3)))
            report_long_prefill(site, request.get("x-expected-target")[0], 2.0)

        await begin_stream(send_event_and_report_prefill)(request, writer)

    site = await make_engines(
        script, script, pause_aim_seconds=0.4, timeout_seconds=4.0
    )
    one_repeat = RetryBudgetBounds(share=0.0, slack=2.0, window_seconds=10.0)
    site.state.budget = SharedRetryBudget(one_repeat, read_clock() - 20.0)
    answer = await site.async_ask_prompt("2000,500")
    assert [f"piece {n}".encode() in answer.body for n in range(1, 6)] == [True] * 5
    assert asked[1].get("last-event-id") == ["3"]


async def test_prompt_returns_to_a_silent_engine_from_a_dead_one(
    make_engines, monkeypatch
):
    """A silent engine is abandoned, and the other one has crashed unnoticed.

    The prompt must return to the first engine. Otherwise the caller would be told that
    it may have run.
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
    """Make an engine the target of the first send of a request."""
    choose = site.chooser.choose
    site.chooser.choose = lambda need: choose(
        need if need.tried else replace(need, leader=name)
    )
