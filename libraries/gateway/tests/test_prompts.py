"""Check how prompts are sent to engines whose passes are published."""

import asyncio
import socket
from dataclasses import replace

from tarragonward_gateway import ReservationAnswer
from tarragonward_gateway import const as c
from tarragonward_gateway.clock import read_clock
from tarragonward_membership import Withdrawn
from tarragonward_placement import const as placement_const
from tarragonward_requests import BudgetBounds, SharedBudget
from tarragonward_routes import EngineModel, RequestKind
from tarragonward_standins import (
    CHUNKED,
    build_answer,
    build_chunk,
    build_event,
    refuse_with,
    stream_events,
)

ENGINE = EngineModel(
    slots=8,
    memory_tokens=450_000,
    stride_steps=46,
    chunk_tokens=2_048,
    step_seconds=0.000925,
    writer_seconds=0.00001,
    context_seconds=2.54e-9,
    read_tokens_per_second=256_000.0,
    pair_seconds=9.17e-11,
)
STREAM = {
    "kind": RequestKind.STREAM,
    "is_resumable": True,
    "aim_seconds": 3.0,
    "pause_aim_seconds": 0.8,
}


async def async_make_engines(make_site, *scripts, **route):
    """Return a site whose targets are engines."""
    site = await make_site(*scripts, **{**STREAM, **route})
    table = site.state.table
    service = replace(table.services["s"], engine=ENGINE)
    site.state.table = replace(table, services={"s": service})
    return site


async def async_ask(site, tokens):
    """Send a prompt and return its answer."""
    return await site.async_ask("POST", lines=[f"X-Tokens: {tokens}"])


async def test_long_prompt_is_read_by_several_engines(make_site):
    """The leader gets the addresses of the others; a short prompt has no helpers."""
    site = await async_make_engines(make_site, *[stream_events([1, 2])] * 3)
    answer = await async_ask(site, "300000,500")
    assert answer.status == 200
    (leader,) = [target for target in site.targets if target.seen]
    (helpers,) = leader.seen[0].get("x-helper-engines")
    others = {str(target.address) for target in site.targets if target is not leader}
    assert set(helpers.split(",")) == others
    await async_ask(site, "2000,500")
    assert not [
        request
        for target in site.targets
        for request in target.seen[target is leader :]
        if request.get("x-helper-engines")
    ]


async def test_helper_that_is_gone_is_left_out_of_the_next_try(make_site):
    """A leader refuses, as it can't reach a helper; the caller gets its answer.

    Engine t1 or t2 is named as gone by whichever leader is asked first. The second
    try is led by another engine, and the one that is gone reads no part of it.
    """
    gone, asked = [], []

    async def script(request, writer):
        asked.append(request)
        if len(asked) > 1:
            await stream_events([1])(request, writer)
            return
        own = request.get("x-expected-target")[0]
        gone.append(next(target for target in site.targets if target.id != own))
        lines = [f"X-Failed-Target: {gone[0].id}"]
        await refuse_with(lines=lines)(request, writer)

    site = await async_make_engines(make_site, *[script] * 4)
    answer = await async_ask(site, "300000,500")
    assert answer.status == 200
    assert str(gone[0].address) in asked[0].get("x-helper-engines")[0]
    assert str(gone[0].address) not in asked[1].get("x-helper-engines")[0]
    assert not gone[0].seen


async def test_prompt_that_no_group_can_hold_is_refused_at_once(make_site):
    """The caller is told when to come back, and that nothing has run."""
    site = await async_make_engines(make_site, stream_events([1]))
    async with asyncio.timeout(2):
        answer = await async_ask(site, "900000,500")
    assert answer.status == 503
    assert site.runs == 0


async def test_engine_that_pauses_in_mid_stream_is_not_left(make_site, monkeypatch):
    """The engine pauses for long after its second event; all others are full.

    Left for its silence, with the one send that remains refused, the stream would be
    broken off though the engine was at work. The caller reads it whole, later.
    """
    monkeypatch.setattr(c, "SILENCE_MIN_PAUSE_SECONDS", 0.05)
    started = []

    async def script(request, writer):
        if started:
            await refuse_with()(request, writer)
            return
        started.append(request)
        lines = ("Content-Type: text/event-stream",)
        writer.write(build_answer(request, b"", "200 OK", lines, [CHUNKED]))
        for numbers in ((1, 2), (3, 4)):
            piece = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.5)
        writer.write(b"0\r\n\r\n")

    site = await async_make_engines(
        make_site, script, script, pause_aim_seconds=0.01, timeout_seconds=4.0
    )
    answer = await async_ask(site, "2000,500")
    assert answer.status == 200
    assert [f"piece {n}".encode() in answer.body for n in (1, 2, 3, 4)] == [True] * 4
    assert site.runs == 1


async def test_engine_silent_before_its_first_event_is_left(make_site, monkeypatch):
    """The engine takes the prompt and says nothing; another one answers in time."""
    monkeypatch.setattr(c, "SILENCE_MIN_FIRST_SECONDS", 0.05)
    asked = []

    async def script(request, writer):
        asked.append(request)
        if len(asked) > 1:
            await stream_events([1, 2])(request, writer)
            return
        await asyncio.sleep(5)

    site = await async_make_engines(
        make_site, script, script, aim_seconds=0.05, timeout_seconds=4.0
    )
    answer = await async_ask(site, "2000,500")
    assert answer.status == 200
    assert b"piece 2" in answer.body
    assert len(asked) == 2


async def test_a_silent_engine_is_not_left_for_nobody(make_site, monkeypatch):
    """One engine is busy and says nothing for a while; the other one has crashed.

    Left for its silence, the request had nowhere to go: the caller got 502, as it may
    have run, though its engine was at work and answered a moment later.
    """
    monkeypatch.setattr(c, "SILENCE_MIN_FIRST_SECONDS", 0.05)
    asked = []

    async def script(request, writer):
        asked.append(request)
        taken = request.get("x-expected-target")[0]
        for target in site.targets:
            if target.id != taken:
                site.state.registry.apply(Withdrawn(target.id, 99))
        await asyncio.sleep(0.6)
        await stream_events([1, 2])(request, writer)

    site = await async_make_engines(
        make_site, script, script, aim_seconds=0.05, timeout_seconds=4.0
    )
    answer = await async_ask(site, "2000,500")
    assert answer.status == 200
    assert b"piece 2" in answer.body
    assert len(asked) == 1


def read_for_long(site, target, seconds):
    """Let a peer tell that an engine reads a part of its long prompt for so long."""
    stake, aim = 20.0, 3_000
    entry = [
        0,
        0,
        1,
        0,
        0,
        int(seconds * 1_000),
        [],
        [[int(seconds * 1_000), aim, stake]],
    ]
    site.chooser.take_digest("peer", {target: entry}, 0.0)


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


async def test_a_stream_moves_off_an_engine_that_begins_to_read_for_long(make_site):
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

    site = await async_make_engines(
        make_site, script, script, pause_aim_seconds=0.4, timeout_seconds=4.0
    )
    async with asyncio.timeout(1.0):
        answer = await async_ask(site, "2000,500")
    assert [f"piece {n}".encode() in answer.body for n in (1, 2, 3, 4)] == [True] * 4
    assert asked[1].get("last-event-id") == ["2"]
    assert asked[0].get("x-expected-target") != asked[1].get("x-expected-target")
    assert site.chooser.reach.resting == 0


async def test_a_stream_stays_where_no_other_engine_would_be_in_time(make_site):
    """All engines read for long: left, the stream would only wait elsewhere."""
    asked = []

    async def script(request, writer):
        asked.append(request)

        def read_everywhere():
            entry = [0, 0, 1, 0, 0, 300, [], [[300, 3_000, 20.0]]]
            digest = {target.id: entry for target in site.targets}
            site.chooser.take_digest("peer", digest, 0.0)

        await begin_stream(read_everywhere)(request, writer)

    site = await async_make_engines(
        make_site, script, script, pause_aim_seconds=0.2, timeout_seconds=0.6
    )
    await async_ask(site, "2000,500")
    assert len(asked) == 1


async def test_a_stream_that_is_refused_where_it_went_returns(make_site):
    """A stream moves, and the engine that it moves to is full by then.

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
            await refuse_with()(request, writer)
        else:
            await stream_events([3, 4])(request, writer)

    site = await async_make_engines(
        make_site, script, script, pause_aim_seconds=0.4, timeout_seconds=4.0
    )
    answer = await async_ask(site, "2000,500")
    assert [f"piece {n}".encode() in answer.body for n in (1, 2, 3, 4)] == [True] * 4
    assert asked[2] == asked[0]


async def async_make_with_a_dead_engine(make_site, script, **route):
    """Return a site of two engines, of which one has just crashed, still registered."""
    site = await async_make_engines(make_site, script, script, **route)
    dead = site.state.registry.get("t1")
    with socket.socket() as probe:
        probe.bind((dead.address.host, 0))
        closed = replace(dead.address, port=probe.getsockname()[1])
    site.state.registry.apply(replace(dead, address=closed, revision=99))
    return site


async def test_a_stream_whose_new_engine_is_dead_returns(make_site, monkeypatch):
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
        make_site, script, pause_aim_seconds=0.4, timeout_seconds=4.0
    )
    choose_first(site, "t0")
    answer = await async_ask(site, "2000,500")
    assert [f"piece {n}".encode() in answer.body for n in (1, 2, 3, 4)] == [True] * 4
    assert asked[1].get("last-event-id") == ["2"]


async def test_a_stream_moves_though_an_event_comes_as_it_leaves(make_site):
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

    site = await async_make_engines(
        make_site, script, script, pause_aim_seconds=0.4, timeout_seconds=4.0
    )
    one_repeat = BudgetBounds(share=0.0, slack=2.0, window_seconds=10.0)
    site.state.budget = SharedBudget(one_repeat, read_clock() - 20.0)
    answer = await async_ask(site, "2000,500")
    assert [f"piece {n}".encode() in answer.body for n in range(1, 6)] == [True] * 5
    assert asked[1].get("last-event-id") == ["3"]


async def test_a_prompt_that_left_a_silent_engine_for_a_dead_one_returns(
    make_site, monkeypatch
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
        make_site, script, aim_seconds=0.05, timeout_seconds=4.0
    )
    choose_first(site, "t0")
    answer = await async_ask(site, "2000,500")
    assert answer.status == 200
    assert b"piece 2" in answer.body
    assert len(asked) == 2


def choose_first(site, name):
    """Let the first send of a request go to an engine."""
    choose = site.chooser.choose
    site.chooser.choose = lambda need: choose(
        need if need.tried else replace(need, leader=name)
    )


class Orders:
    """Engines that hold what is asked, by engine and reservation."""

    def __init__(self):
        self.held = set()
        self.taken = 0

    async def async_reserve(self, reservation, timeout):
        self.held.add((reservation.target.id, reservation.id))
        self.taken += 1
        return ReservationAnswer(True)

    async def async_release(self, reservation, timeout):
        self.held.discard((reservation.target.id, reservation.id))
        return True


async def test_memory_held_for_a_prompt_is_freed_when_its_send_ends(make_site):
    """A prompt beyond one engine's memory is answered; no engine stays short of it."""
    site = await async_make_engines(make_site, *[stream_events([1])] * 4)
    orders = site.forwarder._reservations._calls = Orders()
    answer = await async_ask(site, "700000,500")
    assert answer.status == 200
    assert orders.taken
    async with asyncio.timeout(5):
        while orders.held:
            await asyncio.sleep(0.01)


async def test_a_helper_that_cannot_be_reached_is_left_out_before_the_send(
    make_site, monkeypatch
):
    """An engine goes dark and stays registered; the next long prompt would need it.

    Sent its address, the leader would find out after a stall, and the send be spent.
    """
    monkeypatch.setattr(placement_const, "REACHED_SECONDS", 0.0)
    site = await async_make_engines(make_site, *[stream_events([1])] * 3)
    await async_ask(site, "300000,500")
    (leader,) = [target for target in site.targets if target.seen]
    dark = next(target for target in site.targets if target is not leader)
    address = str(dark.address)
    assert address in leader.seen[0].get("x-helper-engines")[0]
    await dark.async_unload()
    assert (await async_ask(site, "300000,500")).status == 200
    later = [request for target in site.targets for request in target.seen][1:]
    assert later
    assert not any(
        address in names
        for request in later
        for names in request.get("x-helper-engines")
    )


async def test_a_callers_own_priority_does_not_reach_the_engine(make_site):
    """Engines admit by it, and a caller who sets it would go before all others."""
    site = await async_make_engines(make_site, stream_events([1, 2]))
    lines = ["X-Tokens: 2000,500", "X-Priority: 0", "x-priority: 1"]
    assert (await site.async_ask("POST", lines=lines)).status == 200
    (request,) = site.targets[0].seen
    assert not request.get("x-priority")


async def test_a_host_learns_by_events_that_an_engine_is_slow(make_site):
    """Each event comes 0.2 s after the one before; a pass is published as 0.043 s.

    The caller sees a slow stream; the next prompt goes to the other engine.
    """

    async def script(request, writer):
        lines = ["Content-Type: text/event-stream"]
        writer.write(build_answer(request, b"", "200 OK", lines, [CHUNKED]))
        for number in range(1, 9):
            writer.write(build_chunk(build_event(number)))
            await writer.drain()
            await asyncio.sleep(0.2)
        writer.write(build_chunk(b""))

    site = await async_make_engines(make_site, script, script)
    await async_ask(site, "2000,500")
    (slow,) = [target for target in site.targets if target.seen]
    known = site.chooser.book.get_all(site.chooser._clock())
    assert [work.pace > 3 for work in known.values()] == [True]
    await async_ask(site, "2000,500")
    assert len(slow.seen) == 1
