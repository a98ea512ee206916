"""Tests of the answers to callers when targets and hosts fail."""

import asyncio
import random

import pytest

from tarragonward_core import invariants
from tarragonward_routes import RequestKind
from tarragonward_standins import (
    CHUNKED,
    RawCaller,
    answer_with,
    async_lose_answer,
    async_reset,
    build_answer,
    build_chunk,
    build_event,
    refuse_with,
    stream_events,
)

ONCE = RequestKind.NON_IDEMPOTENT
STREAM_LINES = ("Content-Type: text/event-stream",)


async def truncate_answer(request, writer):
    writer.write(build_answer(request, b"half", framing=["Content-Length: 8"]))


async def send_another_request_id(request, writer):
    writer.write(build_answer(request).replace(b"r1", b"r9"))


async def omit_request_id(request, writer):
    writer.write(build_answer(request).replace(b"X-Request-Id: r1\r\n", b""))


async def send_garbage(request, writer):
    writer.write(b"\x00\x17 no answer at all\r\n\r\n" * 9)


async def reset_within_an_answer_without_length(request, writer):
    writer.write(build_answer(request, b"part", framing=()))
    await writer.drain()
    await async_reset(request, writer)


INVALID_ANSWERS = [
    async_lose_answer,
    async_reset,
    truncate_answer,
    send_another_request_id,
    omit_request_id,
    send_garbage,
    answer_with(seal="X-None: 1"),
    answer_with(lines=["Content-Encoding: gzip"]),
    answer_with(status="503 Busy"),
    answer_with(status="429 Later"),
    answer_with(status="408 Slow"),
]


@pytest.mark.parametrize("script", INVALID_ANSWERS)
async def test_non_idempotent_request_is_not_resent_after_invalid_answer(
    make_site, script
):
    """A confirmation is sent, and no answer can be forwarded.

    The target may have run it. A second attempt could book twice, and 503 would make
    the caller repeat it, so the caller gets 502 at once and no other target is tried.
    """
    site = await make_site(script, answer_with(), kind=ONCE)
    await async_check_sent_once(site)


@pytest.mark.parametrize("script", INVALID_ANSWERS)
async def test_non_idempotent_request_runs_once_whatever_else_is_marked(
    make_site, script
):
    """A mark for streams on a non-idempotent route must not allow a second run."""
    site = await make_site(script, answer_with(), kind=ONCE, is_resumable=True)
    await async_check_sent_once(site)


async def async_check_sent_once(site):
    answer = await site.async_ask("POST")
    assert answer.status == 502
    assert not answer.get("retry-after")
    assert not answer.get("x-answer-seal")
    assert site.runs == 1


@pytest.mark.parametrize("script", [async_lose_answer, async_reset, refuse_with()])
async def test_target_failure_is_forwarded_if_next_target_gives_no_answer(
    make_site, script
):
    """A lookup fails with 500 at one target, and the next one refuses or is lost.

    The 500 is the complete, sealed answer of a target, so the caller must get it
    instead of a 502 that says the request may have run.
    """
    site = await make_site(answer_with(status="500 Broken"), script)
    answer = await site.async_ask()
    assert (answer.status, answer.body) == (500, b"whole")
    assert answer.get("x-answer-seal")


@pytest.mark.parametrize("script", [*INVALID_ANSWERS, answer_with(status="500 Broken")])
async def test_idempotent_request_is_sent_to_next_target(make_site, script):
    site = await make_site(script, answer_with())
    answer = await site.async_ask()
    assert (answer.status, answer.body) == (200, b"whole")
    assert site.runs == 2


async def test_attempts_are_limited_by_route(make_site):
    site = await make_site(*[async_lose_answer] * 4, attempts=3)
    assert (await site.async_ask()).status == 502
    assert site.runs == 3


async def test_bytes_after_complete_answer_are_discarded(make_site):
    async def script(request, writer):
        writer.write(build_answer(request) + build_answer(request, b"surplus"))

    site = await make_site(script)
    caller = await RawCaller.async_open(site.server.address)
    for number in range(2):
        caller.send(request_id=f"q{number}")
        answer = await caller.async_read_answer()
        assert answer.body == b"whole"
        assert answer.get("x-request-id") == [f"q{number}"]


async def test_reset_does_not_end_answer_without_length(make_site):
    site = await make_site(reset_within_an_answer_without_length, kind=ONCE)
    assert (await site.async_ask("POST")).status == 502


async def test_request_to_closed_target_goes_to_next_target(make_site):
    site = await make_site(answer_with(), answer_with(), kind=ONCE)
    await site.targets[0].async_unload()
    assert (await site.async_ask("POST")).status == 200


async def test_deadline_before_any_answer_is_reported_at_once(make_site):
    """The target is silent; the caller gets 504 at the route's time limit.

    On a busy machine the time may end before the connection to the target is made.
    Only then the request has not run, and the caller gets 503.
    """
    asked = []

    async def script(request, writer):
        asked.append(request)
        await asyncio.sleep(5)

    site = await make_site(script, kind=ONCE, timeout_seconds=0.2)
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = await site.async_ask("POST")
    assert answer.status == (504 if asked else 503)
    assert loop.time() - began < 2


async def test_answer_at_deadline_is_sent_once(make_site):
    """Answers arrive at the deadline; each request gets exactly one complete answer.

    A second answer, or a part of one, would appear as the answer to the next request on
    the kept connection. On a busy machine the time may end before the connection to the
    target is made. Only then the request has not run, and the caller gets 503.
    """
    delays = iter([0.045 + 0.0005 * number for number in range(20)] * 2)

    async def script(request, writer):
        await asyncio.sleep(next(delays))
        writer.write(build_answer(request))

    site = await make_site(script, kind=ONCE, timeout_seconds=0.05)
    caller = await RawCaller.async_open(site.server.address)
    refused = []
    for number in range(40):
        caller.send("POST", request_id=f"n{number}")
        answer = await caller.async_read_answer()
        assert answer.is_complete
        seen = [request.get("x-request-id") for request in site.targets[0].requests]
        sent = seen.count([f"n{number}"])
        if answer.status == 503:
            assert float(answer.get("retry-after")[0]) > 0
            refused.append([f"n{number}"])
            continue
        assert answer.status in (200, 504)
        if answer.status == 200:
            assert sent == 1
            assert answer.get("x-request-id") == [f"n{number}"]
    seen = [request.get("x-request-id") for request in site.targets[0].requests]
    assert not [request_id for request_id in refused if request_id in seen]


async def test_deadline_before_first_attempt_is_reported_as_not_run(make_site):
    """No time is left once the request has been read; nothing is sent to a target."""
    site = await make_site(answer_with(), kind=ONCE)
    answer = await site.async_ask("POST", lines=["X-Time-Limit-Ms: 0"])
    assert answer.status == 503
    assert float(answer.get("retry-after")[0]) > 0
    assert site.runs == 0


async def test_draining_host_finishes_requests_and_refuses_new_ones(
    make_site,
):
    """Requests in progress get complete answers, which close their connections.

    Later requests are told that they have not run and when to retry.
    """
    may_continue = asyncio.Event()

    async def script(request, writer):
        await may_continue.wait()
        writer.write(build_answer(request))

    site = await make_site(script, kind=ONCE)
    asking = asyncio.ensure_future(site.async_ask("POST"))
    while not site.runs:
        await asyncio.sleep(0.01)
    site.server.disable_keep_alive()
    site.state.is_admitting = False
    late = await site.async_ask("POST", request_id="late")
    assert late.status == 503
    assert float(late.get("retry-after")[0]) > 0
    assert late.get("connection") == ["close"]
    may_continue.set()
    answer = await asking
    assert (answer.status, answer.get("connection")) == (200, ["close"])
    assert site.runs == 1


async def test_stream_without_first_event_ends_at_deadline(make_site):
    async def script(request, writer):
        writer.write(build_answer(request, b"", "200 OK", STREAM_LINES, [CHUNKED]))
        await asyncio.sleep(5)

    site = await make_site(script, kind=RequestKind.STREAM, timeout_seconds=0.2)
    assert (await site.async_ask("POST")).status == 504


async def test_stream_cut_within_event_resumes_at_next_target(make_site):
    """The first engine fails within its third event; the caller gets a complete stream.

    The partial event is not forwarded, the next engine is asked to resume after the
    second event, and the answer keeps the first engine's headers.
    """
    site = await make_site(
        stream_events([1, 2], build_event(3)[:9], is_ended=False),
        stream_events([3, 4]),
        kind=RequestKind.STREAM,
        is_resumable=True,
    )
    answer = await site.async_ask("POST")
    assert answer.is_complete
    assert answer.body == b"".join(build_event(number) for number in (1, 2, 3, 4))
    (seen,) = site.targets[1].requests
    assert seen.get("last-event-id") == ["2"]


@pytest.mark.parametrize(
    "second",
    [
        async_lose_answer,
        refuse_with(),
        answer_with(),
        answer_with(status="500 Broken"),
        stream_events([9]),
        answer_with(seal="X-None: 1"),
    ],
)
async def test_stream_that_cannot_resume_is_aborted(make_site, second):
    """A part of a stream was forwarded, and the next target cannot continue it.

    Neither a second head nor a complete answer may follow: the connection is closed
    within the answer, so that the caller notices the failure.
    """
    site = await make_site(
        stream_events([1, 2], is_ended=False),
        second,
        kind=RequestKind.STREAM,
        is_resumable=True,
    )
    answer = await site.async_ask("POST")
    assert not answer.is_complete
    assert answer.body == build_event(1) + build_event(2)


async def test_events_before_gap_are_sent_before_stream_resumes(make_site):
    """One packet has events 1 and 2 and then 9: the target lost some in between.

    The caller gets 1 and 2, and the next target resumes after 2. If 2 was recorded as
    delivered but not sent, the caller would miss both.
    """

    async def script(request, writer):
        events = build_event(1) + build_event(2) + build_event(9)
        writer.write(build_answer(request, b"", "200 OK", STREAM_LINES, [CHUNKED]))
        writer.write(build_chunk(events) + b"0\r\n\r\n")

    site = await make_site(
        script, stream_events([3]), kind=RequestKind.STREAM, is_resumable=True
    )
    answer = await site.async_ask("POST")
    assert answer.is_complete
    assert answer.body == b"".join(build_event(number) for number in (1, 2, 3))


@pytest.mark.parametrize("is_resumable", [True, False])
async def test_stream_whose_ids_count_tokens_is_whole(make_site, is_resumable):
    """Ids that increase by more than one must not be taken for missing events."""
    ids = [46, 92, 138, 150]
    site = await make_site(
        stream_events(ids),
        stream_events(ids),
        kind=RequestKind.STREAM,
        is_resumable=is_resumable,
    )
    answer = await site.async_ask("POST")
    assert answer.is_complete
    assert answer.body == b"".join(map(build_event, ids))
    assert site.runs == 1


async def test_stream_whose_ids_count_tokens_resumes_after_its_last_event(make_site):
    site = await make_site(
        stream_events([46, 92], is_ended=False),
        stream_events([138, 184]),
        kind=RequestKind.STREAM,
        is_resumable=True,
    )
    answer = await site.async_ask("POST")
    assert answer.is_complete
    assert answer.body == b"".join(map(build_event, [46, 92, 138, 184]))
    assert site.targets[1].requests[0].get("last-event-id") == ["92"]


async def test_numbering_learned_from_one_stream_serves_the_next_ones(make_site):
    """The first event has one token; only the first stream needs a second target."""
    ids = [1, 47, 93]
    site = await make_site(
        stream_events(ids),
        stream_events(ids),
        kind=RequestKind.STREAM,
        is_resumable=True,
    )
    for _ in range(3):
        answer = await site.async_ask("POST")
        assert answer.body == b"".join(map(build_event, ids))
    assert site.runs == 4


async def test_stream_without_ids_is_not_resumed(make_site):
    """Another run would start over, and the caller would get the events twice."""

    async def script(request, writer):
        writer.write(build_answer(request, b"", "200 OK", STREAM_LINES, [CHUNKED]))
        writer.write(build_chunk(b"data: a\n\n"))

    site = await make_site(script, script, kind=RequestKind.STREAM, is_resumable=True)
    answer = await site.async_ask("POST")
    assert not answer.is_complete
    assert (answer.body, site.runs) == (b"data: a\n\n", 1)


async def test_stream_that_is_not_resumable_is_aborted(make_site):
    site = await make_site(
        stream_events([1, 2], is_ended=False),
        stream_events([3]),
        kind=RequestKind.STREAM,
    )
    answer = await site.async_ask("POST")
    assert not answer.is_complete
    assert site.runs == 1


async def test_begun_stream_of_idempotent_route_is_not_continued(make_site):
    """Another run must not continue an answer on a route that is not for streams."""
    site = await make_site(
        stream_events([1, 2], is_ended=False), stream_events([3]), is_resumable=True
    )
    answer = await site.async_ask("POST")
    assert not answer.is_complete
    assert (answer.body, site.runs) == (build_event(1) + build_event(2), 1)


async def test_whole_answer_is_kept_where_streams_may_not_be_resumed(make_site):
    """Events up to the caller's Last-Event-Id must not be left out of another run."""
    site = await make_site(stream_events([1, 2]), kind=RequestKind.STREAM)
    answer = await site.async_ask("POST", lines=["Last-Event-Id: 1"])
    assert answer.body == build_event(1) + build_event(2)


async def test_callers_last_event_id_is_sent_to_first_target(make_site):
    site = await make_site(
        stream_events([]), kind=RequestKind.STREAM, is_resumable=True
    )
    answer = await site.async_ask("POST", lines=["Last-Event-Id: 4"])
    assert (answer.status, answer.is_complete, answer.body) == (200, True, b"")
    assert site.targets[0].requests[0].get("last-event-id") == ["4"]


async def test_event_is_forwarded_before_next_one_exists(make_site):
    may_continue = asyncio.Event()

    async def script(request, writer):
        writer.write(build_answer(request, b"", "200 OK", STREAM_LINES, [CHUNKED]))
        writer.write(build_chunk(build_event(1)))
        await may_continue.wait()
        writer.write(build_chunk(build_event(2)) + b"0\r\n\r\n")

    site = await make_site(script, kind=RequestKind.STREAM)
    caller = await RawCaller.async_open(site.server.address)
    caller.send("POST")
    async with asyncio.timeout(5):
        await caller.reader.readuntil(build_event(1))
        may_continue.set()
        await caller.reader.readuntil(build_event(2))


@pytest.mark.parametrize("begins", [True, False])
async def test_disconnected_caller_ends_targets_work(make_site, begins):
    """A caller disconnects before or after the first event; the engine is released."""

    async def script(request, writer):
        writer.write(build_answer(request, b"", "200 OK", STREAM_LINES, [CHUNKED]))
        writer.write(build_chunk(build_event(1)) if begins else b"")
        await asyncio.sleep(30)

    site = await make_site(script, kind=RequestKind.STREAM)
    caller = await RawCaller.async_open(site.server.address)
    caller.send("POST")
    while not site.runs:
        await asyncio.sleep(0.01)
    if begins:
        await caller.reader.readuntil(build_event(1))
    caller.writer.close()
    async with asyncio.timeout(5):
        await site.targets[0].caller_left.wait()
    assert not site.forwarder.in_flight


async def test_caller_that_does_not_read_is_cut_off_at_deadline(make_site):
    """The caller's window stays full; the target is released at the deadline."""

    async def script(request, writer):
        writer.write(build_answer(request, b"", "200 OK", STREAM_LINES, [CHUNKED]))
        for number in range(1, 400):
            data = f"id: {number}\ndata: ".encode() + b"x" * 60_000 + b"\n\n"
            writer.write(build_chunk(data))
            await writer.drain()
        await asyncio.sleep(30)

    site = await make_site(script, kind=RequestKind.STREAM, timeout_seconds=0.5)
    caller = await RawCaller.async_open(site.server.address)
    caller.send("POST")
    async with asyncio.timeout(10):
        await site.targets[0].caller_left.wait()
        while site.forwarder.in_flight:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("seed", range(5))
async def test_non_idempotent_requests_never_run_twice(make_site, seed):
    """Targets fail in all ways at once; no call may run twice.

    The invariants hold, and a caller gets 503 only for a call that has not run.
    """
    scripts = [
        *INVALID_ANSWERS,
        refuse_with(),
        answer_with(),
        answer_with(status="500 No"),
    ]
    site = await make_site(*scripts, kind=ONCE, attempts=4)
    site.state.random = random.Random(seed)
    violations = invariants.count
    ids = [f"s{seed}-{number}" for number in range(40)]
    answers = await asyncio.gather(
        *(site.async_ask("POST", request_id=request_id) for request_id in ids)
    )
    runs = {request_id: 0 for request_id in ids}
    for target in site.targets:
        for seen in target.requests:
            if target.script is not scripts[len(INVALID_ANSWERS)]:
                runs[seen.get("x-request-id")[0]] += 1
    for request_id, answer in zip(ids, answers, strict=True):
        assert runs[request_id] <= 1
        assert answer.status in (200, 500, 502, 503)
        if answer.status == 503:
            assert runs[request_id] == 0
    assert invariants.count == violations
