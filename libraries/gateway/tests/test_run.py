"""Tests of one request's sends: what of a stream may follow what, and one end."""

import asyncio
from contextlib import asynccontextmanager

from tarragonward_core import invariants
from tarragonward_gateway import run
from tarragonward_routes import RequestKind
from tarragonward_standins import RawCaller, answer_with, build_event, stream_events

RESUMABLE = {"kind": RequestKind.STREAM, "is_resumable": True}


def join_events(*numbers):
    return b"".join(build_event(number) for number in numbers)


async def test_a_stream_that_ends_within_an_event_goes_on_at_the_next_target(make_site):
    """The first engine ends its answer in due form, but within its third event.

    Taken for whole, the stream would end an event short and look complete.
    """
    site = await make_site(
        stream_events([1, 2], build_event(3)[:9]), stream_events([3, 4]), **RESUMABLE
    )
    answer = await site.async_ask("POST")
    assert answer.is_whole
    assert answer.body == join_events(1, 2, 3, 4)


async def test_events_that_a_resumed_stream_repeats_are_dropped(make_site):
    """The next engine begins anew at the first event, whatever it was asked."""
    site = await make_site(
        stream_events([1, 2], is_ended=False), stream_events([1, 2, 3]), **RESUMABLE
    )
    answer = await site.async_ask("POST")
    assert answer.is_whole
    assert answer.body == join_events(1, 2, 3)


async def test_a_stream_without_an_event_is_no_answer(make_site):
    """An engine ends its stream before the first event; the next one has the answer."""
    site = await make_site(stream_events([]), stream_events([1]), **RESUMABLE)
    answer = await site.async_ask("POST")
    assert answer.is_whole
    assert answer.body == join_events(1)


async def test_an_account_that_a_caller_names_goes_nowhere(make_site):
    """A caller without a key names an account on a route that needs no key.

    The target would bill, and serve, the account that was named.
    """
    site = await make_site(answer_with(), is_public=True)
    caller = await RawCaller.async_open(site.server.address)
    lines = ("GET /app/x HTTP/1.1", "Host: app.example", "X-Request-Id: r1")
    account = "X-Client-Account: town"
    caller.writer.write("\r\n".join([*lines, account, "", ""]).encode())
    assert (await caller.async_read_answer()).status == 200
    assert site.targets[0].seen[0].get("x-client-account") == []


async def test_time_that_ends_while_the_answer_goes_out_gives_no_second_one(
    make_site, monkeypatch
):
    """The whole stream was given, and its time ends before its target is let go.

    The caller has its one answer; an end decided now would be a second one.
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
    assert answer.is_whole
    assert answer.body == join_events(1)
    assert await caller.reader.read() == b""
    assert invariants.count == before
