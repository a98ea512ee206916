"""Tests of answers that have neither a length nor chunks."""

import asyncio

import pytest

from tarragonward_routes import RequestKind
from tarragonward_standins import (
    answer_with,
    build_answer,
    build_event,
    stream_events,
)

ONCE = RequestKind.NON_IDEMPOTENT
STREAM_LINES = ("Content-Type: text/event-stream",)


def crash_within(body, sites, lines=()):
    """Return a script: the target ends, cleanly for TCP, with a part of its answer."""

    async def script(request, writer):
        writer.write(build_answer(request, body, lines=lines, framing=()))
        await writer.drain()
        [target] = [t for t in sites[0].targets if request in t.requests]
        await target.async_unload()

    return script


def end_with_connection(body, lines=()):
    """Return a script whose answer is complete, and ends with its connection."""

    async def script(request, writer):
        writer.write(build_answer(request, body, lines=lines, framing=()))

    return script


async def test_answer_that_ends_with_its_connection_is_complete(make_site):
    site = await make_site(end_with_connection(b"whole"), kind=ONCE)
    assert (await site.async_ask("POST")).body == b"whole"


async def test_answer_of_a_full_target_is_complete(make_site):
    """It refuses the health check, where another boot would say that it is another."""
    site = await make_site(end_with_connection(b"whole"), kind=ONCE)
    site.targets[0].is_full = True
    assert (await site.async_ask("POST")).body == b"whole"


async def test_answer_cut_by_a_crash_does_not_look_complete(make_site):
    """The answer has no length, and the target's kernel closes the connection."""
    sites = []
    script = crash_within(b"part", sites)
    sites.append(await make_site(script, answer_with(), kind=ONCE))
    assert (await sites[0].async_ask("POST")).status == 502
    assert not sites[0].targets[1].requests


async def test_stream_cut_between_events_by_a_crash_is_resumed(make_site):
    """The stream has neither length nor chunks, and its target ends after an event."""
    sites = []
    events = b"".join(map(build_event, (1, 2)))
    sites.append(
        await make_site(
            crash_within(events, sites, STREAM_LINES),
            stream_events((3, 4)),
            kind=RequestKind.STREAM,
            is_resumable=True,
        )
    )
    answer = await sites[0].async_ask()
    assert answer.body == b"".join(map(build_event, range(1, 5)))
    assert sites[0].targets[1].requests[0].get("last-event-id") == ["2"]


def restart_within(body, sites, later_id="t9", lines=()):
    """Return a script: the target ends, and a later boot is at once at its address."""

    async def script(request, writer):
        writer.write(build_answer(request, body, lines=lines, framing=()))
        await writer.drain()
        [target] = [t for t in sites[0].targets if request in t.requests]
        target.id = later_id

    return script


@pytest.mark.parametrize("later_id", ["t9", ""])
async def test_answer_cut_by_a_crash_is_not_complete_as_a_later_boot_is_there(
    make_site, later_id
):
    """The later boot accepts connections, and says who it is, or not."""
    sites = []
    script = restart_within(b"part", sites, later_id)
    sites.append(await make_site(script, answer_with(), kind=ONCE))
    assert (await sites[0].async_ask("POST")).status == 502
    assert not sites[0].targets[1].requests


async def test_stream_cut_by_a_crash_is_resumed_as_a_later_boot_is_there(make_site):
    """A host that was frozen reads the part and the close at once."""
    sites = []
    events = b"".join(map(build_event, (1, 2)))
    sites.append(
        await make_site(
            restart_within(events, sites, lines=STREAM_LINES),
            stream_events((3, 4)),
            kind=RequestKind.STREAM,
            is_resumable=True,
        )
    )
    answer = await sites[0].async_ask()
    assert answer.is_complete
    assert answer.body == b"".join(map(build_event, range(1, 5)))


async def test_stream_that_ends_with_its_connection_is_complete(make_site):
    events = b"".join(map(build_event, (1, 2)))
    script = end_with_connection(events, STREAM_LINES)
    site = await make_site(script, kind=RequestKind.STREAM, is_resumable=True)
    answer = await site.async_ask()
    assert (answer.body, answer.is_complete) == (events, True)
    assert site.runs == 1


async def test_stream_closed_after_a_silence_is_resumed(make_site):
    """An engine lives on, but a helper that it waits for has crashed."""

    async def script(request, writer):
        events = b"".join(map(build_event, (1, 2)))
        writer.write(build_answer(request, events, lines=STREAM_LINES, framing=()))
        await writer.drain()
        await asyncio.sleep(0.7)

    stream = RequestKind.STREAM
    resumed = stream_events((3, 4))
    site = await make_site(script, resumed, kind=stream, is_resumable=True)
    answer = await site.async_ask()
    assert answer.body == b"".join(map(build_event, range(1, 5)))


async def test_crash_within_an_answer_without_length_counts_as_a_crash(make_site):
    """Its caller repeats a prompt that ends each target in the middle of an event."""
    sites = []
    script = crash_within(b"id: 1\ndata: pie", sites, STREAM_LINES)
    sites.append(
        await make_site(
            *[script] * 6, kind=RequestKind.STREAM, is_resumable=True, attempts=2
        )
    )
    for _ in range(4):
        await sites[0].async_ask()
    assert sites[0].runs == 3
