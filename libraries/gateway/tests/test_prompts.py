"""Tests of how prompts are sent to engines with published pass times."""

import asyncio
from dataclasses import replace

from tarragonward_gateway import ReservationAnswer
from tarragonward_gateway import const as c
from tarragonward_gateway.settings import Bounds
from tarragonward_membership import WithdrawnTarget
from tarragonward_placement import ReservationUse
from tarragonward_placement import const as placement_const
from tarragonward_standins import (
    CHUNKED,
    build_answer,
    build_chunk,
    build_event,
    refuse_with,
    stream_events,
)


async def test_long_prompt_is_read_by_several_engines(make_engines):
    """The leader receives the helpers' addresses; a short prompt has no helpers."""
    site = await make_engines(*[stream_events([1, 2])] * 3)
    answer = await site.async_ask_prompt("300000,500")
    assert answer.status == 200
    (leader,) = [target for target in site.targets if target.requests]
    (helpers,) = leader.requests[0].get("x-helper-engines")
    others = {str(target.address) for target in site.targets if target is not leader}
    assert set(helpers.split(",")) == others
    await site.async_ask_prompt("2000,500")
    assert not [
        request
        for target in site.targets
        for request in target.requests[target is leader :]
        if request.get("x-helper-engines")
    ]


async def test_helper_reported_unreachable_is_excluded_from_the_next_attempt(
    make_engines,
):
    """A helper that the leader reports as unreachable must not be used again.

    The first leader refuses and names one of the other engines. The next attempt
    succeeds without that engine, and the caller receives its answer.
    """
    unreachable, asked = [], []

    async def script(request, writer):
        asked.append(request)
        if len(asked) > 1:
            await stream_events([1])(request, writer)
            return
        own = request.get("x-expected-target")[0]
        unreachable.append(next(target for target in site.targets if target.id != own))
        lines = [f"X-Failed-Target: {unreachable[0].id}"]
        await refuse_with(lines=lines)(request, writer)

    site = await make_engines(*[script] * 4)
    answer = await site.async_ask_prompt("300000,500")
    assert answer.status == 200
    assert str(unreachable[0].address) in asked[0].get("x-helper-engines")[0]
    assert str(unreachable[0].address) not in asked[1].get("x-helper-engines")[0]
    assert not unreachable[0].requests


async def test_prompt_beyond_all_memory_is_refused_at_once(make_engines):
    """A prompt beyond the memory of all engines is refused without a send."""
    site = await make_engines(stream_events([1]))
    async with asyncio.timeout(2):
        answer = await site.async_ask_prompt("900000,500")
    assert answer.status == 503
    assert site.runs == 0


async def test_engine_that_pauses_within_a_stream_is_not_abandoned(
    make_engines, monkeypatch
):
    """A stream must not be aborted while its engine pauses and all others are full.

    If the engine were abandoned, the one remaining send would be refused. The caller
    receives the complete stream later.
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

    site = await make_engines(
        script, script, pause_aim_seconds=0.01, timeout_seconds=4.0
    )
    answer = await site.async_ask_prompt("2000,500")
    assert answer.status == 200
    assert [f"piece {n}".encode() in answer.body for n in (1, 2, 3, 4)] == [True] * 4
    assert site.runs == 1


async def test_engine_silent_before_its_first_event_is_abandoned(
    make_engines, monkeypatch
):
    """An engine accepts the prompt and sends nothing; another one answers in time."""
    monkeypatch.setattr(c, "SILENCE_MIN_FIRST_SECONDS", 0.05)
    asked = []

    async def script(request, writer):
        asked.append(request)
        if len(asked) > 1:
            await stream_events([1, 2])(request, writer)
            return
        await asyncio.sleep(5)

    site = await make_engines(script, script, aim_seconds=0.05, timeout_seconds=4.0)
    answer = await site.async_ask_prompt("2000,500")
    assert answer.status == 200
    assert b"piece 2" in answer.body
    assert len(asked) == 2


async def test_silent_engine_is_kept_without_another_target(make_engines, monkeypatch):
    """A silent engine must not be abandoned when no other engine can take over.

    The other engine has crashed. Abandoned, the request had no target left and the
    caller received 502, although the engine was working and answered a moment later.
    """
    monkeypatch.setattr(c, "SILENCE_MIN_FIRST_SECONDS", 0.05)
    asked = []

    async def script(request, writer):
        asked.append(request)
        taken = request.get("x-expected-target")[0]
        for target in site.targets:
            if target.id != taken:
                site.state.registry.apply(WithdrawnTarget(target.id, 99))
        await asyncio.sleep(0.6)
        await stream_events([1, 2])(request, writer)

    site = await make_engines(script, script, aim_seconds=0.05, timeout_seconds=4.0)
    answer = await site.async_ask_prompt("2000,500")
    assert answer.status == 200
    assert b"piece 2" in answer.body
    assert len(asked) == 1


class Orders:
    """Fake reservation calls; held contains (engine, reservation) pairs."""

    def __init__(self):
        self.held = set()
        self.taken = 0
        self.is_used = True

    async def async_reserve(self, reservation, timeout):
        self.held.add((reservation.target.id, reservation.id))
        self.taken += 1
        return ReservationAnswer(True)

    async def async_release(self, reservation, timeout):
        self.held.discard((reservation.target.id, reservation.id))
        return True

    async def async_read_use(self, reservation, timeout):
        return ReservationUse.USED if self.is_used else ReservationUse.UNUSED


async def test_reserved_memory_is_released_when_the_send_ends(make_engines):
    """Memory reserved for a prompt on several engines must not leak."""
    site = await make_engines(*[stream_events([1])] * 4)
    orders = site.forwarder._reservations._calls = Orders()
    answer = await site.async_ask_prompt("700000,500")
    assert answer.status == 200
    assert orders.taken
    async with asyncio.timeout(5):
        while orders.held:
            await asyncio.sleep(0.01)


async def async_hold_memory(make_engines, is_used, **route):
    """Ask for a prompt whose first leader hangs; return its site, orders and task."""
    hangs = [True]

    async def answer_unless_hanging(request, writer):
        if hangs:
            hangs.pop()
            await asyncio.Event().wait()
        await stream_events([1])(request, writer)

    site = await make_engines(*[answer_unless_hanging] * 4, **route)
    bounds = Bounds(unused_seconds=0.4, free_seconds=0.3)
    site.state.settings = replace(site.state.settings, bounds=bounds)
    orders = site.forwarder._reservations._calls = Orders()
    orders.is_used = is_used
    asking = asyncio.create_task(site.async_ask_prompt("700000,500"))
    await asyncio.sleep(1.0)
    return orders, asking


async def test_memory_reserved_for_a_leader_that_hangs_is_given_back(make_engines):
    """The leader accepts the prompt and never begins; its helpers' memory is unused."""
    orders, asking = await async_hold_memory(make_engines, is_used=False)
    assert not orders.held
    assert (await asking).status == 200


async def test_memory_in_use_is_kept_for_a_prompt_that_is_read_for_long(make_engines):
    orders, asking = await async_hold_memory(make_engines, is_used=True)
    assert orders.held
    asking.cancel()


async def test_prompt_whose_answer_is_lost_is_answered_by_another_engine(make_engines):
    """Its memory was in use and is not any more: the engine is done with it."""
    orders, asking = await async_hold_memory(make_engines, is_used=True)
    orders.is_used = False
    async with asyncio.timeout(3):
        assert (await asking).status == 200


async def test_caller_is_told_at_once_that_a_prompt_with_lost_answer_may_have_run(
    make_engines,
):
    """It may not be sent again, and nobody will answer it any more."""
    orders, asking = await async_hold_memory(
        make_engines, is_used=True, is_resumable=False, timeout_seconds=20.0
    )
    orders.is_used = False
    async with asyncio.timeout(5):
        assert (await asking).status == 502
    assert not orders.held


async def test_unreachable_helper_is_excluded_before_the_send(
    make_engines, monkeypatch
):
    """An engine is unreachable but still registered when a long prompt needs helpers.

    A leader that was sent its address would stall, and the send would be wasted.
    """
    monkeypatch.setattr(placement_const, "CONNECTION_FRESH_SECONDS", 0.0)
    site = await make_engines(*[stream_events([1])] * 3)
    await site.async_ask_prompt("300000,500")
    (leader,) = [target for target in site.targets if target.requests]
    dark = next(target for target in site.targets if target is not leader)
    address = str(dark.address)
    assert address in leader.requests[0].get("x-helper-engines")[0]
    await dark.async_unload()
    assert (await site.async_ask_prompt("300000,500")).status == 200
    later = [request for target in site.targets for request in target.requests][1:]
    assert later
    assert not any(
        address in names
        for request in later
        for names in request.get("x-helper-engines")
    )


async def test_priority_header_of_a_caller_is_removed(make_engines):
    """Engines admit by this header, so a caller could overtake all others with it."""
    site = await make_engines(stream_events([1, 2]))
    lines = ["X-Tokens: 2000,500", "X-Priority: 0", "x-priority: 1"]
    assert (await site.async_ask("POST", lines=lines)).status == 200
    (request,) = site.targets[0].requests
    assert not request.get("x-priority")


async def test_slow_engine_is_detected_by_its_event_times(make_engines):
    """A slow engine must not be chosen by its published pass time alone.

    Events arrive every 0.2 s, and the published time of a pass is 0.043 s. The next
    prompt is sent to the other engine.
    """

    async def script(request, writer):
        lines = ["Content-Type: text/event-stream"]
        writer.write(build_answer(request, b"", "200 OK", lines, [CHUNKED]))
        for number in range(1, 9):
            writer.write(build_chunk(build_event(number)))
            await writer.drain()
            await asyncio.sleep(0.2)
        writer.write(build_chunk(b""))

    site = await make_engines(script, script)
    await site.async_ask_prompt("2000,500")
    (slow,) = [target for target in site.targets if target.requests]
    known = site.chooser.usage.get_usage(site.chooser._clock())
    assert [work.slowdown > 3 for work in known.values()] == [True]
    await site.async_ask_prompt("2000,500")
    assert len(slow.requests) == 1
