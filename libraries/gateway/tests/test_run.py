"""Tests of the attempts of one request: resumed streams, and a single answer."""

import asyncio
import time
from contextlib import asynccontextmanager

from tarragonward_core import invariants
from tarragonward_gateway import run
from tarragonward_routes import RequestKind
from tarragonward_standins import RawCaller, answer_with, build_event, stream_events

RESUMABLE = {"kind": RequestKind.STREAM, "is_resumable": True}


def join_events(*numbers):
    return b"".join(build_event(number) for number in numbers)


async def test_stream_that_ends_within_event_resumes_at_next_target(make_site):
    """The first engine ends its answer correctly, but within its third event.

    If the stream were accepted, it would lack an event and look complete.
    """
    site = await make_site(
        stream_events([1, 2], build_event(3)[:9]), stream_events([3, 4]), **RESUMABLE
    )
    answer = await site.async_ask("POST")
    assert answer.is_complete
    assert answer.body == join_events(1, 2, 3, 4)


async def test_repeated_events_of_resumed_stream_are_dropped(make_site):
    """The next engine starts again at the first event despite the last event id."""
    site = await make_site(
        stream_events([1, 2], is_ended=False), stream_events([1, 2, 3]), **RESUMABLE
    )
    answer = await site.async_ask("POST")
    assert answer.is_complete
    assert answer.body == join_events(1, 2, 3)


async def test_stream_without_event_is_no_answer(make_site):
    """An engine ends its stream before the first event; the next one has the answer."""
    site = await make_site(stream_events([]), stream_events([1]), **RESUMABLE)
    answer = await site.async_ask("POST")
    assert answer.is_complete
    assert answer.body == join_events(1)


async def test_account_header_of_caller_is_not_forwarded(make_site):
    """A caller without a key sends an account header on a route that needs no key.

    If it were forwarded, the target would bill and serve that account.
    """
    site = await make_site(answer_with(), is_public=True)
    caller = await RawCaller.async_open(site.server.address)
    lines = ("GET /app/x HTTP/1.1", "Host: app.example", "X-Request-Id: r1")
    account = "X-Client-Account: town"
    caller.writer.write("\r\n".join([*lines, account, "", ""]).encode())
    assert (await caller.async_read_answer()).status == 200
    assert site.targets[0].requests[0].get("x-client-account") == []


async def test_deadline_after_complete_answer_sends_no_second_one(
    make_site, monkeypatch
):
    """The stream was delivered, and the deadline passes before its target is released.

    The caller already has its answer; ending the request now would send a second one.
    """
    open_http = run.async_open_http

    @asynccontextmanager
    async def async_open_and_close_late(*args, **options):
        async with open_http(*args, **options) as stream:
            yield stream
            await asyncio.sleep(2.0)

    monkeypatch.setattr(run, "async_open_http", async_open_and_close_late)
    site = await make_site(stream_events([1]), timeout_seconds=1.0, **RESUMABLE)
    before = invariants.count
    caller = await RawCaller.async_open(site.server.address)
    caller.send("POST")
    answer = await caller.async_read_answer()
    assert answer.is_complete
    assert answer.body == join_events(1)
    assert await caller.reader.read() == b""
    assert invariants.count == before


async def test_answer_that_arrives_while_the_host_is_paused_is_delivered(make_site):
    """The host wakes after the request's deadline, with the answer in its socket."""

    async def script(request, writer):
        await asyncio.sleep(0.3)
        await answer_with()(request, writer)

    site = await make_site(script, timeout_seconds=0.4)
    asking = asyncio.ensure_future(site.async_ask())
    await asyncio.sleep(0.2)
    time.sleep(0.4)
    answer = await asking
    assert (answer.status, answer.body) == (200, b"whole")
