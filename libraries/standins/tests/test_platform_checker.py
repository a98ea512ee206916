"""Tests that the checker finds a violation of each rule."""

import hashlib
from dataclasses import replace

import pytest

from tarragonward_core import Address
from tarragonward_standins.platform_checker import Checker, ConfigVersion
from tarragonward_standins.platform_clients import Attempt, ClientRequest, RequestPlan
from tarragonward_standins.platform_links import LinkCut, find_neglected_callers
from tarragonward_standins.platform_model_runner import build_stream_event
from tarragonward_standins.platform_runner import Arrival, RateLimitPeriod

HOST = Address("127.0.0.1", 1)
VERSION = ConfigVersion(0.0, {"/a/": frozenset({"s"})}, {"k": "town"})


def build_day(kind="non_idempotent", **plan):
    """Return a request, its attempt and its arrival, without violations."""
    plan = RequestPlan("/a/", kind, "h", "/a/x", body=b"in", prompt_id="7:9", **plan)
    attempt = Attempt("r", HOST, 10.0, {"x-key": "k"}, status=200, is_complete=True)
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


def check(request, arrivals, steps=(VERSION,)):
    return {rule for rule, _ in Checker([request], arrivals, list(steps)).check()}


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
def test_correct_answer_has_no_violation(kind):
    request, _, arrival = build_day(kind)
    assert check(request, [arrival]) == set()


def test_second_run_is_a_violation():
    request, _, arrival = build_day()
    assert check(request, [arrival, replace(arrival)]) == {"TWICE"}
    idempotent, _, arrival = build_day("idempotent")
    assert check(idempotent, [arrival, replace(arrival)]) == set()


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_run_despite_not_run_status_is_a_violation(status):
    request, attempt, arrival = build_day()
    attempt.status = status
    assert check(request, [arrival]) == {"REFUSED"}


@pytest.mark.parametrize(
    "answer",
    [
        {"x-request-id": "r"},
        {"x-request-id": "q", "x-response-seal": "i.r"},
        {"x-request-id": "r", "x-response-seal": "j.r"},
    ],
)
def test_answer_of_another_request_is_a_violation(answer):
    request, attempt, arrival = build_day()
    attempt.answer = answer
    assert check(request, [arrival]) == {"MIXED"}


def test_altered_answer_and_status_are_violations():
    request, attempt, arrival = build_day()
    attempt.body = b"ou"
    assert check(request, [arrival]) == {"MIXED"}
    request, attempt, arrival = build_day()
    arrival.status = 500
    assert check(request, [arrival]) == {"MIXED"}


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
def test_request_that_no_client_sent_is_a_violation(change):
    request, _, arrival = build_day()
    assert "UNASKED" in check(request, [replace(arrival, **change)])


def test_run_by_another_service_is_a_violation():
    request, _, arrival = build_day()
    assert check(request, [replace(arrival, service="other")]) == {"ROUTE"}


def test_run_after_the_drain_period_is_a_violation():
    request, _, arrival = build_day()
    assert check(request, [replace(arrival, runner_withdrawn_at=8.0)]) == {"DRAIN"}
    assert check(request, [replace(arrival, runner_withdrawn_at=8.2)]) == set()


@pytest.mark.parametrize(
    "received_events",
    [
        build_stream_event("7:9", 2, True),
        build_stream_event("7:9", 1, False) * 2 + build_stream_event("7:9", 2, True),
        build_stream_event("7:9", 1, False),
        build_stream_event("7:9", 1, False) + build_stream_event("8:9", 2, True),
    ],
)
def test_stream_events_missing_or_out_of_order_are_violations(received_events):
    request, _, arrival = build_day("stream")
    request.received_events = received_events
    assert check(request, [arrival]) == {"ORDER"}


def test_denial_of_a_route_allowed_by_all_versions_is_a_violation():
    request, attempt, _ = build_day()
    attempt.status = 404
    assert check(request, []) == {"CONFIG"}
    other = ConfigVersion(7.0, {}, {"k": "town"})
    assert check(request, [], [other, replace(VERSION, acknowledged_at=7.5)]) == {
        "CONFIG"
    }
    assert check(request, [], [other, replace(VERSION, acknowledged_at=8.5)]) == set()


def test_lost_late_and_abandoned_requests_are_violations():
    lost = build_day()
    lost[1].status, lost[1].is_complete = 0, False
    assert check_many(lost) == {"LOST"}
    held = build_day(timeout_seconds=0.2)
    assert check_many(held) == {"CONFIG"}
    gone = build_day()
    gone[1].status, gone[1].is_complete, gone[1].has_disconnected = 0, False, True
    gone[1].ended_at = 10.2
    assert check_many(gone) == {"GONE"}


def check_many(day, count=5):
    request, attempt, arrival = day
    requests, arrivals = [], []
    for number in range(count):
        request_id = f"r{number}"
        answer = {"x-request-id": request_id, "x-response-seal": f"i.{request_id}"}
        changed = replace(attempt, request_id=request_id, answer=answer)
        requests.append(replace(request, attempts=[changed]))
        arrivals.append(replace(arrival, request_id=request_id))
    return {rule for rule, _ in Checker(requests, arrivals, [VERSION]).check()}


def test_weights_field_of_an_event_is_ignored():
    request, _, arrival = build_day("stream")
    first, second = (
        build_stream_event("7:9", 1, False),
        build_stream_event("7:9", 2, True),
    )
    request.received_events = first + b"x-weight-versions: 2\n" + second
    assert check(request, [arrival]) == set()
    request.received_events = first + b"x-weight-versions: two\n" + second
    assert check(request, [arrival]) == {"ORDER"}


def build_crashes(count, at):
    """Return arrivals of one request that crash three runners, then later ones."""
    request, _, arrival = build_day("idempotent")
    ended = [
        replace(arrival, runner_id=f"i{number}", runner_crashed_at=10.0 + number)
        for number in range(3)
    ]
    return request, [*ended, *(replace(arrival, at=at) for _ in range(count))]


@pytest.mark.parametrize(
    ("count", "at", "is_violation"),
    [(3, 16.0, False), (4, 16.0, True), (9, 14.9, False)],
)
def test_resending_after_three_crashes_is_a_violation(count, at, is_violation):
    assert ("BUDGET" in check(*build_crashes(count, at))) == is_violation


@pytest.mark.parametrize(
    ("count", "is_announced", "arrival_offset", "is_violation"),
    [
        (11, True, 4.0, False),
        (12, True, 4.0, True),
        (12, False, 4.0, False),
        (12, True, 2.0, False),
    ],
)
def test_exceeding_an_announced_limit_is_a_violation(
    count, is_announced, arrival_offset, is_violation
):
    request, attempt, arrival = build_day("idempotent")
    named_at = 10.1 if is_announced else None
    first = replace(arrival, at=10.1, limit_announced_at=named_at)
    arrivals = [
        first,
        *(replace(arrival, at=10.0 + arrival_offset) for _ in range(count)),
    ]
    period = RateLimitPeriod("i", 1.0, 10.0)
    checker = Checker([request], arrivals, [VERSION], limits=[period])
    assert ("LIMIT" in {rule for rule, _ in checker.check()}) == is_violation


def build_leaving_day():
    """Return a passed-on answer that states leaving, and a request 2.5 s later."""
    request, first, told = build_day()
    told.states_leaving = True
    second = replace(first, request_id="q", sent_at=13.5, ended_at=14.0)
    second.answer = {"x-request-id": "q", "x-response-seal": "i.q"}
    request.attempts.append(second)
    late = replace(told, request_id="q", at=13.6, states_leaving=False)
    return request, told, late


def test_send_after_an_answer_stated_leaving_is_a_violation():
    request, told, late = build_leaving_day()
    assert check(request, [told, late]) == {"DRAIN"}
    request.attempts[1].sent_at = 12.9
    assert check(request, [told, late]) == set()


def test_leaving_binds_only_the_host_that_passed_it_on():
    request, told, late = build_leaving_day()
    request.attempts[1].node = Address("127.0.0.1", 2)
    assert check(request, [told, late]) == set()
    request, told, late = build_leaving_day()
    checker = Checker([request], [told, late], [VERSION], host_starts={HOST: [12.0]})
    assert checker.check() == []


def build_cooldown_day(count):
    """Return a refusal with Retry-After 3, and sends in the second second of it."""
    request, attempt, refused = build_day()
    refused.status, refused.has_run, refused.cooldown_seconds = 503, False, 3.0
    arrivals = [refused]
    request.attempts.clear()
    for number in range(count):
        sent_at = refused.ended_at + 1.0 + number / 10
        again = replace(attempt, request_id=f"q{number}", sent_at=sent_at)
        again.answer = {"x-request-id": f"q{number}", "x-response-seal": f"i.q{number}"}
        request.attempts.append(again)
        arrivals.append(
            replace(
                refused,
                request_id=f"q{number}",
                at=sent_at,
                cooldown_seconds=None,
                status=200,
                has_run=True,
            )
        )
    attempt.status, attempt.answer = 503, {}
    request.attempts.append(attempt)
    return request, arrivals


def test_sends_during_a_cooldown_beyond_two_are_a_violation():
    request, arrivals = build_cooldown_day(3)
    assert check(request, arrivals) == {"BUDGET"}
    request, arrivals = build_cooldown_day(2)
    assert check(request, arrivals) == set()
    request, arrivals = build_cooldown_day(3)
    arrivals[0].cooldown_seconds = 0.9
    assert check(request, arrivals) == set()


def test_cooldown_binds_only_the_host_that_was_asked():
    request, arrivals = build_cooldown_day(3)
    for attempt in request.attempts[:-1]:
        attempt.node = Address("127.0.0.1", 2)
    assert check(request, arrivals) == set()
    request, arrivals = build_cooldown_day(3)
    starts = {HOST: [11.0]}
    assert Checker([request], arrivals, [VERSION], host_starts=starts).check() == []


def build_first_attempts(failed, served, failed_elsewhere=0, at=14.0):
    """Return requests whose first attempts failed or were served, by host."""
    other = Address("127.0.0.2", 1)
    outcomes = [(HOST, 503)] * failed + [(HOST, 200)] * served
    outcomes += [(other, 503)] * failed_elsewhere + [(other, 200)] * 30
    plan = RequestPlan("/a/", "idempotent", "h", "/a/x")
    requests = []
    for number, (host, status) in enumerate(outcomes):
        attempt = Attempt(f"r{number}", host, at, {}, status=status, is_complete=True)
        attempt.ended_at = at + 0.1
        requests.append(ClientRequest(plan, at, [attempt]))
    return requests


@pytest.mark.parametrize(
    ("requests", "is_violation"),
    [
        (build_first_attempts(30, 0), True),
        (build_first_attempts(12, 20), True),
        (build_first_attempts(12, 30), False),
        (build_first_attempts(10, 0), False),
        (build_first_attempts(30, 30, failed_elsewhere=30), False),
        (build_first_attempts(30, 0, at=12.9), False),
        (build_first_attempts(30, 0, at=20.0), False),
    ],
)
def test_poor_service_at_hosts_cut_off_from_runners_is_a_violation(
    requests, is_violation
):
    cut = LinkCut(HOST, began_at=10.0, ended_at=20.0)
    assert (find_neglected_callers(requests, [cut]) is not None) is is_violation
