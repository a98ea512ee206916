"""Judge a played day from what clients and runners saw on their sockets."""

from __future__ import annotations

import hashlib
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from .platform_clients import PROMISES, Attempt, ClientRequest
from .platform_model_runner import build_piece
from .platform_runner import Arrival, LimitSpan
from .platform_tickets import TicketRecord, judge_tickets

__all__ = ["Checker", "ConfigStep", "Rule", "count_crashes", "count_most_within"]

APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
GONE_SECONDS = 0.5
GONE_ALLOWED = 3
HELD_SECONDS = 0.5
HELD_SHARE = 0.5
STABLE_SECONDS = 3.0
CRASHES_KNOWN = 3
SENDS_AFTER_CRASHES = 3
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_TOLD_SECONDS = 0.5
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
NOT_FOUND = (401, 404)
FAR = 1e18
WEIGHTS_LINE = re.compile(rb"^x-weight-versions: \d+\n")

Rule = str


@dataclass(frozen=True)
class ConfigStep:
    """A version of the configuration: when it was acknowledged, what it allows."""

    acked_at: float
    services_by_prefix: Mapping[str, frozenset[str]]
    tenants_by_key: Mapping[str, str]


@dataclass
class Checker:
    """Find broken rules; each finding is the rule and a request."""

    requests: Iterable[ClientRequest]
    arrivals: Iterable[Arrival]
    steps: list[ConfigStep]
    tickets: Iterable[TicketRecord] = ()
    limits: Iterable[LimitSpan] = ()
    now: float = 0.0
    broken: list[tuple[Rule, str]] = field(default_factory=list)

    def check(self) -> list[tuple[Rule, str]]:
        """Return the findings."""
        by_id: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals:
            by_id[arrival.request_id].append(arrival)
        sent: set[str] = set()
        for request in self.requests:
            for attempt in request.attempts:
                sent.add(attempt.request_id)
                self._check_attempt(request, attempt, by_id[attempt.request_id])
            self._check_stream(request)
        for arrival in self.arrivals:
            if arrival.request_id not in sent:
                self._note("UNASKED", arrival.request_id)
        self._check_many(by_id)
        self._check_crashes()
        for span in self.limits:
            self._check_limit(span)
        self.broken += judge_tickets(self.tickets, self.now)
        return self.broken

    def _note(self, rule: Rule, request_id: str) -> None:
        self.broken.append((rule, request_id))

    def _check_attempt(
        self, request: ClientRequest, attempt: Attempt, arrivals: list[Arrival]
    ) -> None:
        runs = [arrival for arrival in arrivals if arrival.has_run]
        if not request.plan.may_repeat:
            if len(runs) > 1:
                self._note("TWICE", attempt.request_id)
            if runs and attempt.is_whole and attempt.status in PROMISES:
                self._note("REFUSED", attempt.request_id)
        if attempt.is_whole and attempt.status // 100 == 2:
            self._check_success(request, attempt, arrivals)
        for arrival in arrivals:
            self._check_arrival(request, attempt, arrival)
        self._check_config(request, attempt)

    def _check_success(
        self, request: ClientRequest, attempt: Attempt, arrivals: list[Arrival]
    ) -> None:
        seal = attempt.answer.get("x-response-seal", "")
        seals = {f"{a.runner_id}.{a.request_id}" for a in arrivals if a.status == 200}
        is_mine = attempt.answer.get("x-request-id") == attempt.request_id
        if seal not in seals or not is_mine:
            self._note("MIXED", attempt.request_id)
        elif request.plan.kind != "stream":
            if attempt.body not in [a.body for a in arrivals]:
                self._note("MIXED", attempt.request_id)

    def _check_arrival(
        self, request: ClientRequest, attempt: Attempt, arrival: Arrival
    ) -> None:
        plan, headers = request.plan, arrival.headers
        body_hash = hashlib.sha256(plan.body).hexdigest()
        is_same = (
            (arrival.method, arrival.target) == (plan.method, plan.path)
            and arrival.body_hash == body_hash
            and all(headers.get(n.lower()) == v for n, v in plan.headers)
        )
        tenants = {
            step.tenants_by_key.get(attempt.headers["x-key"]) for step in self.steps
        }
        is_known = headers.get("x-tenant") in tenants - {None}
        if not is_same or "x-key" in headers or not is_known:
            self._note("UNASKED", attempt.request_id)
        allowed = {
            service
            for step in self.steps
            for service in step.services_by_prefix.get(plan.route, ())
        }
        if arrival.has_run and arrival.service not in allowed:
            self._note("ROUTE", attempt.request_id)
        left_at = arrival.runner_left_at
        if left_at is not None and arrival.at > left_at + DRAIN_SECONDS:
            if arrival.status != 421:
                self._note("DRAIN", attempt.request_id)

    def _check_config(self, request: ClientRequest, attempt: Attempt) -> None:
        if not (attempt.is_whole and attempt.status in NOT_FOUND):
            return
        # Every version that may be in force while the request was under way allows it.
        ends = [step.acked_at + APPLY_SECONDS for step in self.steps[1:]] + [FAR]
        open_steps = [
            step
            for step, end in zip(self.steps, ends, strict=True)
            if end >= attempt.sent_at and step.acked_at <= (attempt.ended_at or FAR)
        ]
        key = attempt.headers["x-key"]
        if all(
            request.plan.route in step.services_by_prefix and key in step.tenants_by_key
            for step in open_steps
        ):
            self._note("CONFIG", attempt.request_id)

    def _check_stream(self, request: ClientRequest) -> None:
        if request.plan.kind != "stream" or not request.pieces:
            return
        pieces = [part + b"\n\n" for part in request.pieces.split(b"\n\n")[:-1]]
        subject = request.plan.subject
        for number, told in enumerate(pieces, 1):
            piece = WEIGHTS_LINE.sub(b"", told)
            is_last = piece == build_piece(subject, number, True)
            if not is_last and piece != build_piece(subject, number, False):
                self._note("ORDER", request.attempts[-1].request_id)
                return
        if request.is_success and not is_last:
            self._note("ORDER", request.attempts[-1].request_id)

    def _check_many(self, by_id: Mapping[str, list[Arrival]]) -> None:
        """Check the rules that allow a few: GONE, LOST and answers held too long."""
        few: Counter[Rule] = Counter()
        at_work = asked = held = lasted = 0
        for request in self.requests:
            for attempt in request.attempts:
                end = attempt.ended_at or FAR
                arrivals = by_id.get(attempt.request_id, [])
                if attempt.has_left:
                    few["GONE"] += any(a.at > end + GONE_SECONDS for a in arrivals)
                    runs = [a for a in arrivals if a.has_run]
                    at_work += any(
                        (a.ended_at or FAR) > end + GONE_SECONDS for a in runs
                    )
                    asked += bool(runs)
                elif not attempt.status and any(
                    not a.has_broken_off and a.has_run for a in arrivals
                ):
                    few["LOST"] += 1
                limit = attempt.sent_at + request.plan.timeout_seconds
                if end > limit:
                    lasted += 1
                    held += end > limit + HELD_SECONDS
        for rule, count in few.items():
            if count > GONE_ALLOWED:
                self._note(rule, f"{count} requests")
        if asked >= GONE_ALLOWED and at_work > asked / 4:
            self._note("GONE", f"{at_work} of {asked} still at work")
        if lasted > GONE_ALLOWED and held > lasted * HELD_SHARE:
            self._note("CONFIG", f"{held} of {lasted} held past the time limit")

    def _check_crashes(self) -> None:
        """Check that a request that crashes its runners is soon sent to none."""
        by_request: dict[tuple[str, str, str], list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals:
            account = arrival.headers.get("x-tenant", "")
            identity = account, arrival.target, arrival.body_hash
            by_request[identity].append(arrival)
        for arrivals in by_request.values():
            ends = sorted(count_crashes(arrivals).values())
            if len(ends) < CRASHES_KNOWN:
                continue
            known_at = ends[CRASHES_KNOWN - 1] + STABLE_SECONDS
            late = [arrival for arrival in arrivals if arrival.at > known_at]
            if len(late) > SENDS_AFTER_CRASHES:
                self._note("BUDGET", f"{len(late)} sends, {len(ends)} runners ended")

    def _check_limit(self, span: LimitSpan) -> None:
        """Check what reached a runner from the hosts that it had told its limit."""
        hosts = {a.request_id: a.node for r in self.requests for a in r.attempts}
        told: dict[object, float] = {}
        counted: list[float] = []
        for arrival in sorted(self.arrivals, key=lambda arrival: arrival.at):
            if arrival.runner_id != span.runner_id:
                continue
            host = hosts.get(arrival.request_id)
            is_told = told.get(host, FAR) + LIMIT_TOLD_SECONDS <= arrival.at
            is_stable = span.began_at + STABLE_SECONDS <= arrival.at < span.ended_at
            if is_told and is_stable:
                counted.append(arrival.at)
            if arrival.limit_named_at is not None:
                told[host] = min(told.get(host, FAR), arrival.limit_named_at)
        allowed = LIMIT_FACTOR * span.rate * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        if count_most_within(counted, LIMIT_WINDOW_SECONDS) > allowed:
            self._note("LIMIT", f"{span.runner_id} named {span.rate:g} a second")


def count_most_within(times: Sequence[float], seconds: float) -> int:
    """Return the most of ordered times that lie in any span of so many seconds."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


def count_crashes(arrivals: Iterable[Arrival]) -> dict[str, float]:
    """Return the runners that ended under one of the requests, and when each did."""
    ended: dict[str, float] = {}
    for arrival in arrivals:
        if arrival.runner_crashed_at is not None:
            ended.setdefault(arrival.runner_id, arrival.runner_crashed_at)
    return ended
