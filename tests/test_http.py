"""Tests of the answers to invalid, hostile and unusual requests, through a host."""

import asyncio
from dataclasses import replace

import orjson
from prometheus_client.parser import text_string_to_metric_families

from tarragonward_core import ResultCode
from tarragonward_standins.answers import expect_answer
from tarragonward_standins.site import SitePlan
from tarragonward_wire import async_open_http, async_send_http

SINGLE_HOST = SitePlan(
    failure_domains=("north",),
    hosts_per_domain=1,
    engines_per_domain=1,
    context_tokens=1_000,
    limits={
        "max_bodies_bytes": 250_000,
        "max_body_bytes": 200_000,
        "max_time_limit_seconds": 30,
    },
)
PROMPT = {"model": "planogram-1", "prompt": "Rewrite bay 4", "max_tokens": 3}
CHAT = {"model": "planogram-1", "messages": [{"role": "user", "content": "bay"}]}

TOO_MANY_MESSAGES = {**CHAT, "messages": [{"role": "a", "content": ""}] * 5_000}


async def async_post(site, path, payload, **headers):
    host = next(iter(site.hosts.values()))
    body = payload if isinstance(payload, bytes) else orjson.dumps(payload)
    return await async_send_http(
        host.callers,
        headers.pop("method", "POST"),
        path,
        headers={
            "authorization": f"Bearer {site.tokens['camara']}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        },
        body=body,
        timeout=10,
    )


REFUSALS = [
    ("/v1/completions", b"{", {}, ResultCode.MALFORMED_JSON),
    ("/v1/completions", b'{"a":' * 5000, {}, ResultCode.MALFORMED_JSON),
    ("/v1/completions", b'{"prompt": "\\ud800"}', {}, ResultCode.MALFORMED_JSON),
    ("/v1/completions", [], {}, ResultCode.INVALID_REQUEST),
    ("/v1/completions", {"prompt": "a"}, {}, ResultCode.INVALID_REQUEST),
    ("/v1/completions", {**PROMPT, "prompt": ["a"]}, {}, ResultCode.INVALID_REQUEST),
    ("/v1/completions", {**PROMPT, "n": 2}, {}, ResultCode.INVALID_REQUEST),
    ("/v1/completions", {**PROMPT, "stop": "."}, {}, ResultCode.INVALID_REQUEST),
    ("/v1/completions", {**PROMPT, "max_tokens": 0}, {}, ResultCode.INVALID_REQUEST),
    ("/v1/completions", {**PROMPT, "max_tokens": True}, {}, ResultCode.INVALID_REQUEST),
    ("/v1/completions", {**PROMPT, "model": "x"}, {}, ResultCode.UNKNOWN_MODEL),
    (
        "/v1/completions",
        {**PROMPT, "prompt": "a" * 5_000},
        {},
        ResultCode.PROMPT_TOO_LONG,
    ),
    (
        "/v1/completions",
        {**PROMPT, "max_tokens": 999},
        {},
        ResultCode.PROMPT_TOO_LONG,
    ),
    ("/v1/completions", b"a" * 300_000, {}, ResultCode.BODY_TOO_LARGE),
    ("/v1/chat/completions", PROMPT, {}, ResultCode.INVALID_REQUEST),
    ("/v1/chat/completions", TOO_MANY_MESSAGES, {}, ResultCode.INVALID_REQUEST),
    ("/v1/chat/completions", {**CHAT, "tools": [1]}, {}, ResultCode.INVALID_REQUEST),
    (
        "/v1/chat/completions",
        {**CHAT, "messages": [{"role": "user", "content": [{"type": "image_url"}]}]},
        {},
        ResultCode.INVALID_REQUEST,
    ),
    ("/v1/nothing", {}, {}, ResultCode.UNKNOWN_ROUTE),
    ("/v1/status", {}, {}, ResultCode.UNKNOWN_ROUTE),
    ("/v1/completions", b"", {"method": "GET"}, ResultCode.METHOD_NOT_ALLOWED),
    ("/v1/models/x", b"", {"method": "GET"}, ResultCode.UNKNOWN_MODEL),
    ("/v1/services/approvals", b"", {}, ResultCode.UNKNOWN_SERVICE),
    ("/v1/services/approvals/%2e%2e", b"", {}, ResultCode.UNKNOWN_SERVICE),
    ("/v1/services/approvals/approve", b"", {}, ResultCode.KEY_MISSING),
    (
        "/v1/services/approvals/approve",
        b"",
        {"x_call_key": "a.b.c"},
        ResultCode.KEY_INVALID,
    ),
    ("/v1/models", b"", {"authorization": ""}, ResultCode.TOKEN_MISSING),
    ("/v1/models", b"", {"authorization": "Basic x"}, ResultCode.TOKEN_MISSING),
    ("/v1/models", b"", {"authorization": "Bearer \xff%00"}, ResultCode.TOKEN_WRONG),
]
TIME_LIMITS = {
    "0": ResultCode.DEADLINE_IN_PAST,
    "-5": ResultCode.DEADLINE_IN_PAST,
    "-0.0": ResultCode.DEADLINE_IN_PAST,
    "nan": ResultCode.INVALID_REQUEST,
    "inf": ResultCode.INVALID_REQUEST,
    "-inf": ResultCode.INVALID_REQUEST,
    "soon": ResultCode.INVALID_REQUEST,
}


async def test_every_refusal_has_a_result_code_and_retry_advice(make_site):
    site = await make_site(SINGLE_HOST)
    cases = [*REFUSALS]
    cases += [
        ("/v1/completions", PROMPT, {"x_time_limit_seconds": text}, code)
        for text, code in TIME_LIMITS.items()
    ]
    for path, payload, headers, code in cases:
        answer = await async_post(site, path, payload, **headers)
        error = answer.parse_json()["error"]
        actual = (answer.status, error["code"], answer.headers["x-result-code"])
        expected_result = (code.http_status, code.number, str(code.number))
        assert actual == expected_result, (path, headers, error)
        assert error["request_id"] and error["message"]
        assert ("retry-after" in answer.headers) == (
            error["retry_after_seconds"] is not None
        )


async def test_operator_routes_reject_caller_tokens(make_site):
    site = await make_site(SINGLE_HOST)
    host = next(iter(site.hosts.values()))
    operator = f"Bearer {site.operator_token}"
    caller = f"Bearer {site.tokens['camara']}"
    cases = [
        ("GET", "/v1/status", "", 401, ResultCode.TOKEN_MISSING),
        ("GET", "/v1/status", caller, 401, ResultCode.TOKEN_WRONG),
        ("POST", "/v1/drain", caller, 401, ResultCode.TOKEN_WRONG),
        ("GET", "/v1/drain", operator, 405, ResultCode.METHOD_NOT_ALLOWED),
        ("GET", "/v1/nothing", operator, 404, ResultCode.UNKNOWN_ROUTE),
        ("POST", "/health", "", 405, ResultCode.METHOD_NOT_ALLOWED),
        ("GET", "/v1/status", operator, 200, None),
        ("GET", "/health", "", 200, None),
        ("HEAD", "/health", "", 200, None),
    ]
    for method, path, token, status, code in cases:
        answer = await async_send_http(
            host.operators, method, path, headers={"authorization": token}, timeout=5
        )
        actual = answer.headers.get("x-result-code")
        expected_result = None if code is None else str(code.number)
        assert (answer.status, actual) == (status, expected_result), (method, path)


async def async_read_metrics(host):
    answer = await async_send_http(host.operators, "GET", "/metrics", timeout=5)
    return list(text_string_to_metric_families(answer.body.decode()))


async def test_a_repeat_refused_for_lack_of_memory_is_not_reported_as_not_run(
    make_site,
):
    """A long prompt fills the host's memory for bodies when a keyed call is repeated.

    The repeat is refused before its body is read. The host cannot know whether an
    earlier copy ran, so it answers OUTCOME_UNKNOWN with a Retry-After. A request
    without a key is refused with OVERLOADED, which means "not run".
    """
    site = await make_site(SINGLE_HOST)
    host = next(iter(site.hosts.values()))
    prefix = (await async_post(site, "/v1/key-prefix", b"")).parse_json()["key_prefix"]
    _, writer = await asyncio.open_connection(host.callers.host, host.callers.port)
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n"
        f"Authorization: Bearer {site.tokens['shelfwise']}\r\n\r\n"
    )
    writer.write(head.encode())
    async with asyncio.timeout(10):
        while not any(
            family.name == "tarragonward_bodies_held_bytes" and family.samples[0].value
            for family in await async_read_metrics(host)
        ):
            await asyncio.sleep(0.01)
    body = b"a" * 100_000
    keyed = await async_post(
        site, "/v1/services/approvals/approve", body, x_call_key=f"{prefix}.1"
    )
    plain = await async_post(site, "/v1/services/approvals/look-up", body)
    writer.close()
    actual = [answer.headers["x-result-code"] for answer in (keyed, plain)]
    expected_result = [ResultCode.OUTCOME_UNKNOWN, ResultCode.OVERLOADED]
    assert actual == [str(code.number) for code in expected_result]
    assert all(answer.headers["retry-after"] for answer in (keyed, plain))


async def test_a_repeat_sent_too_slowly_is_not_reported_as_not_run(make_site):
    """The body of a repeated call does not arrive within the sender time-out.

    This copy was not run, but an earlier one may have been. The answer must be
    OUTCOME_UNKNOWN, or the caller would send the call again under a new key.
    """
    limits = {"sender_timeout_seconds": 1}
    site = await make_site(replace(SINGLE_HOST, limits=limits))
    host = next(iter(site.hosts.values()))
    prefix = (await async_post(site, "/v1/key-prefix", b"")).parse_json()["key_prefix"]
    reader, writer = await asyncio.open_connection(host.callers.host, host.callers.port)
    head = (
        "POST /v1/services/approvals/approve HTTP/1.1\r\nHost: a\r\n"
        f"Content-Length: 10\r\nX-Call-Key: {prefix}.1\r\n"
        f"Authorization: Bearer {site.tokens['camara']}\r\n\r\nslot"
    )
    writer.write(head.encode())
    async with asyncio.timeout(10):
        answer = (await reader.read()).decode().lower()
    writer.close()
    assert f"x-result-code: {ResultCode.OUTCOME_UNKNOWN.number}\r\n" in answer
    assert "retry-after: " in answer


async def test_a_non_ascii_content_type_reaches_the_target_unchanged(make_site):
    """A call's content type holds bytes that are not ASCII.

    An encoding error raised after the call was recorded as sent would leave a call that
    never ran with an unknown outcome. The bytes are forwarded unchanged.
    """
    site = await make_site(SINGLE_HOST)
    prefix = (await async_post(site, "/v1/key-prefix", b"")).parse_json()["key_prefix"]
    path = "/v1/services/approvals/approve"
    answer = await async_post(
        site, path, b"slot", content_type="text/\xff", x_call_key=f"{prefix}.1"
    )
    assert (answer.status, answer.parse_json()["run"]) == (200, 1)


async def test_buffered_and_streamed_answers_report_the_same_token_count(make_site):
    """Several tokens of an engine arrive joined in one chunk.

    Usage must count tokens and not chunks: buffered and streamed answers both report
    the number of tokens that the engine generated.
    """
    site = await make_site(SINGLE_HOST)
    prompt = {**PROMPT, "max_tokens": 40}
    expected = expect_answer(PROMPT["prompt"], 40)
    buffered = (await async_post(site, "/v1/completions", prompt)).parse_json()
    assert buffered["choices"][0]["text"] == expected.text
    assert buffered["usage"]["completion_tokens"] == expected.tokens
    streamed = {**prompt, "stream": True, "stream_options": {"include_usage": True}}
    answer = await async_post(site, "/v1/completions", streamed)
    *events, usage_event, done = answer.body.decode().strip().split("\n\n")
    assert done == "data: [DONE]"
    usage = orjson.loads(usage_event.removeprefix("data: "))
    assert (usage["choices"], usage["usage"]) == ([], buffered["usage"])
    texts = [orjson.loads(e.removeprefix("data: "))["choices"][0] for e in events]
    assert "".join(choice["text"] for choice in texts) == expected.text


async def test_a_caller_that_disconnects_is_counted_once(make_site):
    """A caller disconnects in the middle of an answer.

    The request is counted once, as CALLER_LEFT. Counting it both by the route and by
    the request would double it in the error rate that alarms are based on.
    """
    site = await make_site(SINGLE_HOST)
    host = next(iter(site.hosts.values()))
    request = {**PROMPT, "max_tokens": 500, "stream": True}
    async with async_open_http(
        host.callers,
        "POST",
        "/v1/completions",
        headers={"authorization": f"Bearer {site.tokens['camara']}"},
        body=orjson.dumps(request),
    ) as stream:
        assert stream.status == 200
    async with asyncio.timeout(10):
        while (await site.async_query_operators(host.name, "/v1/status"))["in_flight"]:
            await asyncio.sleep(0.01)
    families = await async_read_metrics(host)
    request_counts = {
        (sample.labels["label"], sample.labels["client_account"]): sample.value
        for family in families
        if family.name == "tarragonward_requests"
        for sample in family.samples
    }
    assert request_counts == {(str(ResultCode.CALLER_LEFT.number), "camara"): 1}
