"""Tests of what a caller is told when targets and hosts fail."""

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


async def truncate(request, writer):
    writer.write(build_answer(request, b"half", framing=["Content-Length: 8"]))


async def name_another_request(request, writer):
    writer.write(build_answer(request).replace(b"r1", b"r9"))


async def name_no_request(request, writer):
    writer.write(build_answer(request).replace(b"X-Request-Id: r1\r\n", b""))


async def send_garbage(request, writer):
    writer.write(b"\x00\x17 no answer at all\r\n\r\n" * 9)


async def reset_within_an_answer_without_length(request, writer):
    writer.write(build_answer(request, b"part", framing=()))
    await writer.drain()
    await async_reset(request, writer)


SPOILED = [
    async_lose_answer,
    async_reset,
    truncate,
    name_another_request,
    name_no_request,
    send_garbage,
    answer_with(seal="X-None: 1"),
    answer_with(lines=["Content-Encoding: gzip"]),
    answer_with(status="503 Busy"),
    answer_with(status="429 Later"),
    answer_with(status="408 Slow"),
]


@pytest.mark.parametrize("script", SPOILED)
async def test_what_may_have_run_once_is_neither_sent_again_nor_called_not_run(
    make_site, script
):
    """A confirmation is sent, and no answer comes that may be passed on.

    The target may have run it. A second send could book twice, and 503 would make the
    caller send it again; so the caller hears 502 at once and the other target nothing.
    """
    site = await make_site(script, answer_with(), kind=ONCE)
    answer = await site.async_ask("POST")
    assert answer.status == 502
    assert not answer.get("retry-after")
    assert not answer.get("x-answer-seal")
    assert site.runs == 1


@pytest.mark.parametrize("script", [async_lose_answer, async_reset, refuse_with()])
async def test_a_targets_own_failure_is_given_if_the_next_target_answers_nothing(
    make_site, script
):
    """A lookup fails at its target with 500, and the caller hears 502 "may have run".

    The host holds the 500 and asks another target, which refuses or is lost. The 500
    is the whole answer of a target and bears its seal, so the caller gets it.
    """
    site = await make_site(answer_with(status="500 Broken"), script)
    answer = await site.async_ask()
    assert (answer.status, answer.body) == (500, b"whole")
    assert answer.get("x-answer-seal")


@pytest.mark.parametrize("script", [*SPOILED, answer_with(status="500 Broken")])
async def test_what_may_run_again_is_sent_to_the_next_target(make_site, script):
    site = await make_site(script, answer_with())
    answer = await site.async_ask()
    assert (answer.status, answer.body) == (200, b"whole")
    assert site.runs == 2


async def test_no_more_targets_than_the_route_allows(make_site):
    site = await make_site(*[async_lose_answer] * 4, attempts=3)
    assert (await site.async_ask()).status == 502
    assert site.runs == 3


async def test_bytes_after_a_whole_answer_reach_nobody(make_site):
    async def script(request, writer):
        writer.write(build_answer(request) + build_answer(request, b"surplus"))

    site = await make_site(script)
    caller = await RawCaller.async_open(site.server.address)
    for number in range(2):
        caller.send(request_id=f"q{number}")
        answer = await caller.async_read_answer()
        assert answer.body == b"whole"
        assert answer.get("x-request-id") == [f"q{number}"]


async def test_a_reset_is_no_end_of_an_answer_without_a_length(make_site):
    site = await make_site(reset_within_an_answer_without_length, kind=ONCE)
    assert (await site.async_ask("POST")).status == 502


async def test_a_target_that_is_gone_leaves_the_request_to_the_next(make_site):
    site = await make_site(answer_with(), answer_with(), kind=ONCE)
    await site.targets[0].async_unload()
    assert (await site.async_ask("POST")).status == 200


async def test_time_over_before_any_answer_is_told_at_once(make_site):
    """The target is silent; the caller hears 504 at the route's time limit.

    On a busy machine the time may be over before a connection to the target is made:
    then, and only then, it has not run, and that is what is told.
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


async def test_an_answer_at_the_very_end_of_its_time_is_one_answer(make_site):
    """Answers and the end of the time meet; each request has one whole answer, its own.

    A second answer, or a part of one, would show as the answer to the next request on
    the kept connection. On a busy machine the time may end before a connection to the
    target is made: then, and only then, it has not run, and that is what is told.
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
        assert answer.is_whole
        seen = [request.get("x-request-id") for request in site.targets[0].seen]
        sent = seen.count([f"n{number}"])
        if answer.status == 503:
            assert float(answer.get("retry-after")[0]) > 0
            refused.append([f"n{number}"])
            continue
        assert answer.status in (200, 504)
        if answer.status == 200:
            assert sent == 1
            assert answer.get("x-request-id") == [f"n{number}"]
    seen = [request.get("x-request-id") for request in site.targets[0].seen]
    assert not [request_id for request_id in refused if request_id in seen]


async def test_time_that_is_over_before_a_send_is_told_as_not_run(make_site):
    """No time is left when the request has been read; nothing goes to a target."""
    site = await make_site(answer_with(), kind=ONCE)
    answer = await site.async_ask("POST", lines=["X-Time-Limit-Ms: 0"])
    assert answer.status == 503
    assert float(answer.get("retry-after")[0]) > 0
    assert site.runs == 0


async def test_a_host_that_leaves_ends_what_it_has_and_refuses_others(
    make_site,
):
    """A host drains: what is in progress ends whole, and says that the connection ends.

    After the balancer had its time, what still comes is told that it has not run and
    when to come back.
    """
    go_on = asyncio.Event()

    async def script(request, writer):
        await go_on.wait()
        writer.write(build_answer(request))

    site = await make_site(script, kind=ONCE)
    asking = asyncio.ensure_future(site.async_ask("POST"))
    while not site.runs:
        await asyncio.sleep(0.01)
    site.server.close_after_answers()
    site.state.is_admitting = False
    late = await site.async_ask("POST", request_id="late")
    assert late.status == 503
    assert float(late.get("retry-after")[0]) > 0
    assert late.get("connection") == ["close"]
    go_on.set()
    answer = await asking
    assert (answer.status, answer.get("connection")) == (200, ["close"])
    assert site.runs == 1


async def test_a_stream_whose_first_event_never_comes_ends_with_its_time(make_site):
    async def script(request, writer):
        writer.write(build_answer(request, b"", "200 OK", STREAM_LINES, [CHUNKED]))
        await asyncio.sleep(5)

    site = await make_site(script, kind=RequestKind.STREAM, timeout_seconds=0.2)
    assert (await site.async_ask("POST")).status == 504


async def test_a_stream_cut_within_an_event_goes_on_at_the_next_target(make_site):
    """The first engine ends within its third event; the caller reads one whole stream.

    The half event is held back, the next engine is asked to go on after the second,
    and the answer keeps the first engine's headers.
    """
    site = await make_site(
        stream_events([1, 2], build_event(3)[:9], is_ended=False),
        stream_events([3, 4]),
        kind=RequestKind.STREAM,
        is_resumable=True,
    )
    answer = await site.async_ask("POST")
    assert answer.is_whole
    assert answer.body == b"".join(build_event(number) for number in (1, 2, 3, 4))
    (seen,) = site.targets[1].seen
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
async def test_a_stream_that_cannot_go_on_ends_visibly(make_site, second):
    """Some of a stream was given, and the next target cannot continue it.

    Neither a second head nor a whole answer may follow what was given: the connection
    ends within the answer, so that the caller can see it.
    """
    site = await make_site(
        stream_events([1, 2], is_ended=False),
        second,
        kind=RequestKind.STREAM,
        is_resumable=True,
    )
    answer = await site.async_ask("POST")
    assert not answer.is_whole
    assert answer.body == build_event(1) + build_event(2)


async def test_events_before_a_gap_are_given_before_the_stream_goes_on(make_site):
    """One packet holds events 1 and 2 and then 9: a target lost some on the way.

    The caller gets 1 and 2, and the next target goes on after 2: noting 2 as given
    without giving it would leave both out.
    """

    async def script(request, writer):
        events = build_event(1) + build_event(2) + build_event(9)
        writer.write(build_answer(request, b"", "200 OK", STREAM_LINES, [CHUNKED]))
        writer.write(build_chunk(events) + b"0\r\n\r\n")

    site = await make_site(
        script, stream_events([3]), kind=RequestKind.STREAM, is_resumable=True
    )
    answer = await site.async_ask("POST")
    assert answer.is_whole
    assert answer.body == b"".join(build_event(number) for number in (1, 2, 3))


async def test_a_stream_that_may_not_go_on_elsewhere_ends_visibly(make_site):
    site = await make_site(
        stream_events([1, 2], is_ended=False),
        stream_events([3]),
        kind=RequestKind.STREAM,
    )
    answer = await site.async_ask("POST")
    assert not answer.is_whole
    assert site.runs == 1


async def test_a_callers_own_last_event_goes_to_the_first_target(make_site):
    site = await make_site(
        stream_events([]), kind=RequestKind.STREAM, is_resumable=True
    )
    answer = await site.async_ask("POST", lines=["Last-Event-Id: 4"])
    assert (answer.status, answer.is_whole, answer.body) == (200, True, b"")
    assert site.targets[0].seen[0].get("last-event-id") == ["4"]


async def test_an_event_is_passed_on_before_the_next_one_is_made(make_site):
    go_on = asyncio.Event()

    async def script(request, writer):
        writer.write(build_answer(request, b"", "200 OK", STREAM_LINES, [CHUNKED]))
        writer.write(build_chunk(build_event(1)))
        await go_on.wait()
        writer.write(build_chunk(build_event(2)) + b"0\r\n\r\n")

    site = await make_site(script, kind=RequestKind.STREAM)
    caller = await RawCaller.async_open(site.server.address)
    caller.send("POST")
    async with asyncio.timeout(5):
        await caller.reader.readuntil(build_event(1))
        go_on.set()
        await caller.reader.readuntil(build_event(2))


@pytest.mark.parametrize("begins", [True, False])
async def test_a_caller_that_leaves_ends_the_targets_work(make_site, begins):
    """A caller closes, before the first event or after it; the engine is let go."""

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


async def test_a_caller_that_does_not_read_is_cut_off_with_its_time(make_site):
    """The caller's window is full and stays so; the target is let go at the limit."""

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
async def test_what_may_run_once_never_runs_twice(make_site, seed):
    """Targets fail in all ways at once; the invariants hold and each call runs once."""
    scripts = [*SPOILED, refuse_with(), answer_with(), answer_with(status="500 No")]
    site = await make_site(*scripts, kind=ONCE, attempts=4)
    site.state.random = random.Random(seed)
    violations = invariants.count
    ids = [f"s{seed}-{number}" for number in range(40)]
    answers = await asyncio.gather(
        *(site.async_ask("POST", request_id=request_id) for request_id in ids)
    )
    runs = {request_id: 0 for request_id in ids}
    for target in site.targets:
        for seen in target.seen:
            if target.script is not scripts[len(SPOILED)]:
                runs[seen.get("x-request-id")[0]] += 1
    for request_id, answer in zip(ids, answers, strict=True):
        assert runs[request_id] <= 1
        assert answer.status in (200, 500, 502, 503)
        if answer.status == 503:
            assert runs[request_id] == 0
    assert invariants.count == violations
