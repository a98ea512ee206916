"""Tests that the checker finds each rule that a doctored day breaks."""

import hashlib
from dataclasses import replace

import pytest

from tarragonward_core import Address
from tarragonward_standins.platform_checker import Checker, ConfigVersion
from tarragonward_standins.platform_clients import Attempt, ClientRequest, RequestPlan
from tarragonward_standins.platform_model_runner import build_stream_event
from tarragonward_standins.platform_runner import Arrival, RateLimitPeriod

NODE = Address("127.0.0.1", 1)
VERSION = ConfigVersion(0.0, {"/a/": frozenset({"s"})}, {"k": "town"})


def build_day(kind="non_idempotent", **plan):
    """Return one request that was served as it should be."""
    plan = RequestPlan("/a/", kind, "h", "/a/x", body=b"in", prompt_id="7:9", **plan)
    attempt = Attempt("r", NODE, 10.0, {"x-key": "k"}, status=200, is_complete=True)
    attempt.answer = {"x-request-id": "r", "x-response-seal": "i.r"}
    attempt.ended_at = 11.0
    attempt.body = b"out"
    headers = {"x-tenant": "town"}
    body_hash = hashlib.sha256(b"in").hexdigest()
    arrival = Arrival("r", "i", "s", 10.1, "POST", "/a/x", headers, body_hash)
    arrival.has_run, arrival.status, arrival.body = True, 200, b"out"
    arrival.ended_at = 10.9
    request = ClientRequest(plan, 10.0, [attempt])
    if kind == "stream":
        request.received_events = build_stream_event(
            "7:9", 1, False
        ) + build_stream_event("7:9", 2, True)
    return request, attempt, arrival


def judge(request, arrivals, steps=(VERSION,)):
    return {rule for rule, _ in Checker([request], arrivals, list(steps)).check()}


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
def test_what_is_served_right_breaks_nothing(kind):
    request, _, arrival = build_day(kind)
    assert judge(request, [arrival]) == set()


def test_a_second_run_is_found():
    request, _, arrival = build_day()
    assert judge(request, [arrival, replace(arrival)]) == {"TWICE"}
    idempotent, _, arrival = build_day("idempotent")
    assert judge(idempotent, [arrival, replace(arrival)]) == set()


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_promise_that_does_not_hold_is_found(status):
    request, attempt, arrival = build_day()
    attempt.status = status
    assert judge(request, [arrival]) == {"REFUSED"}


@pytest.mark.parametrize(
    "answer",
    [
        {"x-request-id": "r"},
        {"x-request-id": "q", "x-response-seal": "i.r"},
        {"x-request-id": "r", "x-response-seal": "j.r"},
    ],
)
def test_an_answer_of_another_is_found(answer):
    request, attempt, arrival = build_day()
    attempt.answer = answer
    assert judge(request, [arrival]) == {"MIXED"}


def test_a_changed_answer_and_a_failure_made_a_success_are_found():
    request, attempt, arrival = build_day()
    attempt.body = b"ou"
    assert judge(request, [arrival]) == {"MIXED"}
    request, attempt, arrival = build_day()
    arrival.status = 500
    assert judge(request, [arrival]) == {"MIXED"}


@pytest.mark.parametrize(
    "change",
    [
        {"request_id": "none"},
        {"method": "GET"},
        {"target": "/a/y"},
        {"body_hash": ""},
        {"headers": {"x-tenant": "thief"}},
        {"headers": {}},
        {"headers": {"x-tenant": "town", "x-key": "k"}},
    ],
)
def test_what_no_client_asked_is_found(change):
    request, _, arrival = build_day()
    assert "UNASKED" in judge(request, [replace(arrival, **change)])


def test_a_run_by_another_service_is_found():
    request, _, arrival = build_day()
    assert judge(request, [replace(arrival, service="other")]) == {"ROUTE"}


def test_a_run_long_after_the_runner_began_to_leave_is_found():
    request, _, arrival = build_day()
    assert judge(request, [replace(arrival, runner_withdrawn_at=8.0)]) == {"DRAIN"}
    assert judge(request, [replace(arrival, runner_withdrawn_at=8.2)]) == set()


@pytest.mark.parametrize(
    "pieces",
    [
        build_stream_event("7:9", 2, True),
        build_stream_event("7:9", 1, False) * 2 + build_stream_event("7:9", 2, True),
        build_stream_event("7:9", 1, False),
        build_stream_event("7:9", 1, False) + build_stream_event("8:9", 2, True),
    ],
)
def test_pieces_out_of_order_missing_or_joined_are_found(pieces):
    request, _, arrival = build_day("stream")
    request.received_events = pieces
    assert judge(request, [arrival]) == {"ORDER"}


def test_a_denial_of_what_every_version_allows_is_found():
    request, attempt, _ = build_day()
    attempt.status = 404
    assert judge(request, []) == {"CONFIG"}
    other = ConfigVersion(7.0, {}, {"k": "town"})
    assert judge(request, [], [other, replace(VERSION, acknowledged_at=7.5)]) == {
        "CONFIG"
    }
    assert judge(request, [], [other, replace(VERSION, acknowledged_at=8.5)]) == set()


def test_requests_lost_held_or_at_work_for_nobody_are_found():
    lost = build_day()
    lost[1].status, lost[1].is_complete = 0, False
    assert judge_many(lost) == {"LOST"}
    held = build_day(timeout_seconds=0.2)
    assert judge_many(held) == {"CONFIG"}
    gone = build_day()
    gone[1].status, gone[1].is_complete, gone[1].has_disconnected = 0, False, True
    gone[1].ended_at = 10.2
    assert judge_many(gone) == {"GONE"}


def judge_many(day, count=5):
    request, attempt, arrival = day
    requests, arrivals = [], []
    for number in range(count):
        request_id = f"r{number}"
        answer = {"x-request-id": request_id, "x-response-seal": f"i.{request_id}"}
        changed = replace(attempt, request_id=request_id, answer=answer)
        requests.append(replace(request, attempts=[changed]))
        arrivals.append(replace(arrival, request_id=request_id))
    return {rule for rule, _ in Checker(requests, arrivals, [VERSION]).check()}


def test_an_event_that_tells_of_new_weights_is_the_event_that_it_was():
    request, _, arrival = build_day("stream")
    first, second = (
        build_stream_event("7:9", 1, False),
        build_stream_event("7:9", 2, True),
    )
    request.received_events = first + b"x-weight-versions: 2\n" + second
    assert judge(request, [arrival]) == set()
    request.received_events = first + b"x-weight-versions: two\n" + second
    assert judge(request, [arrival]) == {"ORDER"}


def build_crashes(count, at):
    """Return arrivals of one request that end a runner each, then later ones."""
    request, _, arrival = build_day("idempotent")
    ended = [
        replace(arrival, runner_id=f"i{number}", runner_crashed_at=10.0 + number)
        for number in range(3)
    ]
    return request, [*ended, *(replace(arrival, at=at) for _ in range(count))]


@pytest.mark.parametrize(
    ("count", "at", "broken"),
    [(3, 16.0, False), (4, 16.0, True), (9, 14.9, False)],
)
def test_a_request_that_ended_three_runners_and_is_sent_on_is_found(count, at, broken):
    assert ("BUDGET" in judge(*build_crashes(count, at))) == broken


@pytest.mark.parametrize(
    ("count", "told", "stable_at", "broken"),
    [
        (11, True, 4.0, False),
        (12, True, 4.0, True),
        (12, False, 4.0, False),
        (12, True, 2.0, False),
    ],
)
def test_a_runner_that_gets_more_than_its_limit_is_found(
    count, told, stable_at, broken
):
    request, attempt, arrival = build_day("idempotent")
    named_at = 10.1 if told else None
    first = replace(arrival, at=10.1, limit_announced_at=named_at)
    arrivals = [first, *(replace(arrival, at=10.0 + stable_at) for _ in range(count))]
    span = RateLimitPeriod("i", 1.0, 10.0)
    checker = Checker([request], arrivals, [VERSION], limits=[span])
    assert ("LIMIT" in {rule for rule, _ in checker.check()}) == broken
