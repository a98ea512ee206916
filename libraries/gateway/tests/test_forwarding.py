"""Tests of the requests that targets receive, and of the answers to callers."""

import asyncio

import pytest

from tarragonward_routes import CallerLimits, RequestKind
from tarragonward_standins import (
    CHUNKED,
    RawCaller,
    answer_with,
    build_answer,
    build_chunk,
    refuse_with,
)

UNNORMALIZED_PATH = "/app//a/../%2f;x?q=1&q=%20&&z"
LONG_BODY = b"b" * 3_000_000


async def test_method_path_headers_and_body_reach_target_unchanged(make_site):
    site = await make_site(answer_with())
    lines = [
        "X-oDD-Case: a",
        "x-odd-case: b",
        "Accept: */*",
        "Connection: X-Hop",
        "X-Hop: 1",
        "Keep-Alive: 3",
        "TE: trailers",
        "X-Client-Account: thief",
        "X-Expected-Target: other",
        "Content-Length: 4",
    ]
    answer = await site.async_ask(
        "PATCH", UNNORMALIZED_PATH, lines=lines, body=b"\0\xff\r\n"
    )
    assert (answer.status, answer.body) == (200, b"whole")
    (seen,) = site.targets[0].requests
    assert seen.first_line == f"PATCH {UNNORMALIZED_PATH} HTTP/1.1"
    assert seen.body == b"\0\xff\r\n"
    assert [pair for pair in seen.headers if pair[0].lower() == "x-odd-case"] == [
        ("X-oDD-Case", "a"),
        ("x-odd-case", "b"),
    ]
    assert seen.get("host") == ["app.example"]
    assert seen.get("accept") == ["*/*"]
    assert seen.get("x-request-id") == ["r1"]
    assert seen.get("x-client-account") == ["town"]
    assert seen.get("x-expected-target") == ["t0"]
    for name in ("x-api-key", "x-hop", "keep-alive", "te"):
        assert not seen.get(name)


async def test_chunked_body_reaches_target(make_site):
    site = await make_site(answer_with())
    body = build_chunk(b"ab") + build_chunk(b"cde") + b"0\r\n\r\n"
    answer = await site.async_ask("POST", lines=[CHUNKED], body=body)
    assert answer.status == 200
    assert site.targets[0].requests[0].body == b"abcde"


async def test_empty_body_keeps_its_length(make_site):
    """Some servers refuse a POST without a content length (411)."""
    site = await make_site(answer_with())
    await site.async_ask("POST", lines=["Content-Length: 0"])
    assert site.targets[0].requests[0].get("content-length") == ["0"]


@pytest.mark.parametrize("limit", ["7", "7" * 5_000, "\xb2", "-3", "soon"])
async def test_time_limit_that_is_no_number_falls_back_to_route(make_site, limit):
    site = await make_site(answer_with())
    answer = await site.async_ask(lines=[f"X-Time-Limit-Ms: {limit}"])
    assert answer.status in (200, 503, 504)


@pytest.mark.parametrize("counts", ["7" * 5_000 + ",1", "\xb2,\xb2", ",", "many"])
async def test_invalid_token_counts_are_forwarded_unchanged(make_site, counts):
    site = await make_site(answer_with())
    answer = await site.async_ask(lines=[f"X-Tokens: {counts}"])
    assert answer.status == 200
    assert site.targets[0].requests[0].get("x-tokens") == [counts]


@pytest.mark.parametrize("load", ["7" * 5_000 + ",1,1", "\xb2,\xb2,\xb2", "1", ""])
async def test_invalid_target_load_is_ignored(make_site, load):
    site = await make_site(answer_with(lines=[f"X-Target-Load: {load}"]))
    assert (await site.async_ask()).status == 200


async def test_target_gets_remaining_time(make_site):
    site = await make_site(answer_with(), timeout_seconds=2.0)
    await site.async_ask(lines=["X-Time-Limit-Ms: 900"])
    await site.async_ask(lines=["X-Time-Limit-Ms: 9000"])
    first, second = site.targets[0].requests
    assert 0 < int(first.get("x-time-limit-ms")[0]) <= 900
    assert 0 < int(second.get("x-time-limit-ms")[0]) <= 2000


async def test_answer_headers_reach_caller_unchanged(make_site):
    lines = ["X-oDD: a", "x-odd: b", "Connection: close, X-Hop", "X-Hop: 1"]
    site = await make_site(answer_with(lines=lines))
    answer = await site.async_ask()
    assert [pair for pair in answer.headers if pair[0].lower() == "x-odd"] == [
        ("X-oDD", "a"),
        ("x-odd", "b"),
    ]
    assert answer.get("x-answer-seal") == ["sealed"]
    assert answer.get("x-request-id") == ["r1"]
    assert not answer.get("x-hop")
    assert not answer.get("connection")


@pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
async def test_answer_without_body_stays_without_body(make_site, status):
    site = await make_site(answer_with(b"", status, framing=()))
    answer = await site.async_ask()
    assert f"{answer.status}" == status[:3]
    assert not answer.get("content-length")
    assert not answer.get("transfer-encoding")


async def test_answer_to_head_keeps_content_length(make_site):
    site = await make_site(answer_with(b"", framing=["Content-Length: 812"]))
    answer = await site.async_ask("HEAD")
    assert (answer.status, answer.get("content-length")) == (200, ["812"])


@pytest.mark.parametrize("status", ["500 Broken", "504 Late", "404 No", "409 Clash"])
async def test_target_failure_reaches_caller_unchanged(make_site, status):
    site = await make_site(answer_with(b"why", status), attempts=1)
    answer = await site.async_ask()
    assert (str(answer.status), answer.body) == (status[:3], b"why")
    assert answer.get("x-answer-seal") == ["sealed"]


async def test_early_hints_before_answer_are_ignored(make_site):
    async def script(request, writer):
        writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        writer.write(build_answer(request))

    site = await make_site(script)
    assert (await site.async_ask()).body == b"whole"


async def test_answer_without_length_ends_with_its_connection(make_site):
    site = await make_site(answer_with(b"all there is", framing=()))
    answer = await site.async_ask()
    assert answer.body == b"all there is"
    assert answer.get("content-length") == ["12"]


async def test_early_answer_is_forwarded_despite_unsent_body(make_site):
    """A target answers a long request after its head, and closes the connection.

    Closing with unread bytes resets the connection, so sending the rest of the body
    fails although the answer has already arrived. The caller must get it.
    """

    async def script(request, writer):
        writer.write(build_answer(request, b"n" * 30_000, "409 Clash"))

    site = await make_site(kind=RequestKind.NON_IDEMPOTENT)
    await site.async_add(script, reads_body=False)
    lines = [f"Content-Length: {len(LONG_BODY)}"]
    answer = await site.async_ask("POST", lines=lines, body=LONG_BODY)
    assert (answer.status, len(answer.body)) == (409, 30_000)


async def test_expect_continue_is_answered_by_host(make_site):
    site = await make_site(answer_with())
    caller = await RawCaller.async_open(site.server.address)
    caller.send("POST", lines=["Expect: 100-continue", "Content-Length: 2"])
    assert (await caller.async_read_answer("HEAD")).status == 100
    caller.writer.write(b"ok")
    assert (await caller.async_read_answer()).status == 200
    assert not site.targets[0].requests[0].get("expect")


async def test_pipelined_requests_are_answered_in_order(make_site):
    site = await make_site(answer_with())
    caller = await RawCaller.async_open(site.server.address)
    for number in range(3):
        caller.send(request_id=f"p{number}")
    for number in range(3):
        answer = await caller.async_read_answer()
        assert answer.get("x-request-id") == [f"p{number}"]


async def test_requests_beyond_table_limits_are_refused(make_site):
    site = await make_site(answer_with())
    kept = await RawCaller.async_open(site.server.address)
    kept.send()
    await kept.async_read_answer()
    limits = CallerLimits(2_000, 100, head_seconds=0.2, idle_seconds=0.4)
    site.set_table(limits)
    kept.send(lines=["X-Long: " + "h" * 3_000])
    assert (await kept.async_read_answer()).status == 431
    head = await site.async_ask(lines=["X-Long: " + "h" * 3_000])
    assert head.status == 431
    body = await site.async_ask("POST", lines=["Content-Length: 101"])
    assert body.status == 413
    chunks = build_chunk(b"c" * 90) * 2
    assert (await site.async_ask("POST", lines=[CHUNKED], body=chunks)).status == 413
    slow = await RawCaller.async_open(site.server.address)
    slow.writer.write(b"GET /app/x HTTP/1.1\r\n")
    assert (await slow.async_read_answer()).status == 408
    idle = await RawCaller.async_open(site.server.address)
    idle.send()
    await idle.async_read_answer()
    async with asyncio.timeout(5):
        assert await idle.reader.read() == b""


async def test_newest_head_limit_applies_to_kept_connection(make_site):
    """The limit is raised while a connection is open; 431 must not be sent any more."""
    site = await make_site(answer_with())
    site.set_table(CallerLimits(head_bytes=2_000))
    kept = await RawCaller.async_open(site.server.address)
    kept.send()
    await kept.async_read_answer()
    site.set_table(CallerLimits(head_bytes=9_000))
    kept.send(lines=["X-Long: " + "h" * 6_000])
    assert (await kept.async_read_answer()).status == 200


async def test_route_and_key_are_denied_only_if_table_is_fresh(make_site):
    site = await make_site(answer_with())
    assert (await site.async_ask(path="/none/x")).status == 404
    assert (await site.async_ask(lines=["X-Api-Key: k2"])).status == 401
    site.state.table_confirmed_at = float("-inf")
    unsure = await site.async_ask(path="/none/x")
    assert unsure.status == 503
    assert float(unsure.get("retry-after")[0]) > 0
    assert site.runs == 0


async def test_refused_request_goes_to_next_target(make_site):
    site = await make_site(
        refuse_with(), answer_with(), kind=RequestKind.NON_IDEMPOTENT
    )
    assert (await site.async_ask("POST")).status == 200


async def test_caller_gets_retry_after_if_all_targets_refuse(make_site):
    site = await make_site(
        refuse_with(), refuse_with("421 Other"), kind=RequestKind.NON_IDEMPOTENT
    )
    answer = await site.async_ask("POST")
    assert answer.status == 503
    assert float(answer.get("retry-after")[0]) > 0


async def test_protocol_upgrade_is_ignored(make_site):
    """The offer is not forwarded, and the next request on the connection is served."""
    site = await make_site(answer_with())
    caller = await RawCaller.async_open(site.server.address)
    for number in range(2):
        lines = ["Connection: Upgrade", "Upgrade: websocket"]
        caller.send(lines=lines, request_id=f"u{number}")
        answer = await caller.async_read_answer()
        assert (answer.status, answer.get("x-request-id")) == (200, [f"u{number}"])
        assert not site.targets[0].requests[number].get("upgrade")


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("OPTIONS", "*", 404),
        ("CONNECT", "app.example:80", 404),
        ("GET", "http://app.example/app/x?y", 200),
        ("DELETE", "/app/", 200),
        ("GET", "/app", 404),
    ],
)
async def test_request_targets_in_other_forms_are_routed(
    make_site, method, path, status
):
    site = await make_site(answer_with())
    assert (await site.async_ask(method, path)).status == status
    if status == 200:
        assert site.targets[0].requests[0].first_line == f"{method} {path} HTTP/1.1"
