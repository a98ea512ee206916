"""Check the platform's rules against what clients and runners saw on their sockets."""

from __future__ import annotations

import hashlib
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from .platform_clients import NOT_RUN_STATUSES, Attempt, ClientRequest
from .platform_concentration import Concentration, find_unserved_at_one_host
from .platform_domains import (
    Evacuation,
    find_crowds_at_cold_runners,
    find_sends_away_from_home,
    find_sends_to_evacuated_zones,
)
from .platform_links import LinkCut, find_neglected_callers
from .platform_model_runner import build_stream_event
from .platform_reservations import ReservationRecord, check_reservations
from .platform_runner import Arrival, ColdPeriod, RateLimitPeriod
from .platform_segments import (
    find_neglected_prompts,
    find_sends_of_crashing_segments,
)
from .platform_statements import (
    HostStarts,
    find_sends_after_leaving,
    find_sends_during_cooldown,
)

__all__ = [
    "Checker",
    "ConfigVersion",
    "Rule",
    "count_max_in_window",
    "find_crashed_runners",
]

CONFIG_APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
DISCONNECT_GRACE_SECONDS = 0.5
MAX_TOLERATED = 3
TIMEOUT_GRACE_SECONDS = 0.5
MAX_HELD_SHARE = 0.5
STABLE_SECONDS = 3.0
CRASHES_UNTIL_STOPPED = 3
MAX_SENDS_ONCE_STOPPED = 3
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_NOTICE_SECONDS = 0.5
LIMIT_FACTOR = 1.5
LIMIT_EXTRA_REQUESTS = 5
DENIED_STATUSES = (401, 404)
NEVER = 1e18
EVENT_ID = re.compile(rb"^id: ([0-9]+)$", re.MULTILINE)
WEIGHTS_FIELD = re.compile(rb"^x-weight-versions: \d+\n")

Rule = str


@dataclass(frozen=True)
class ConfigVersion:
    """A version of the configuration: its acknowledgement time and what it allows."""

    acknowledged_at: float
    services_by_prefix: Mapping[str, frozenset[str]]
    tenants_by_key: Mapping[str, str]


@dataclass
class Checker:
    """Finds violations of the platform's rules, as pairs of rule and request."""

    requests: Sequence[ClientRequest]
    arrivals: Sequence[Arrival]
    config_versions: list[ConfigVersion]
    reservations: Iterable[ReservationRecord] = ()
    limits: Iterable[RateLimitPeriod] = ()
    now: float = 0.0
    host_starts: HostStarts = field(default_factory=dict)
    cuts: Sequence[LinkCut] = ()
    concentrations: Sequence[Concentration] = ()
    evacuations: Sequence[Evacuation] = ()
    cold_periods: Sequence[ColdPeriod] = ()
    # Home regions by tenant, and the region of each zone.
    homes: Mapping[str, frozenset[str]] = field(default_factory=dict)
    regions: Mapping[str, str] = field(default_factory=dict)
    violations: list[tuple[Rule, str]] = field(default_factory=list)

    def check(self) -> list[tuple[Rule, str]]:
        """Run all checks and return the violations."""
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
                self._add_violation("UNASKED", arrival.request_id)
        self._check_tolerated(by_id)
        self._check_crashes()
        for found in find_sends_of_crashing_segments(
            self.requests, self.arrivals, self.host_starts
        ):
            self._add_violation("BUDGET", found)
        for found in find_neglected_prompts(self.requests, self.arrivals):
            self._add_violation("LOST", found)
        for period in self.limits:
            self._check_limit(period)
        attempts = [each for request in self.requests for each in request.attempts]
        for request_id in find_sends_after_leaving(
            attempts, self.arrivals, self.host_starts
        ):
            self._add_violation("DRAIN", request_id)
        for request_id in find_sends_during_cooldown(
            attempts, self.arrivals, self.host_starts
        ):
            self._add_violation("BUDGET", f"{request_id} during a cooldown")
        neglected = find_neglected_callers(self.requests, self.cuts)
        if neglected is not None:
            self._add_violation("RECOVER", neglected)
        for found in find_unserved_at_one_host(
            self.requests, self.arrivals, self.concentrations
        ):
            self._add_violation("RECOVER", found)
        self._check_domains(attempts)
        self.violations += check_reservations(self.reservations, self.now)
        return self.violations

    def _check_domains(self, attempts: Sequence[Attempt]) -> None:
        for found in find_sends_to_evacuated_zones(
            attempts, self.arrivals, self.evacuations, self.host_starts
        ):
            self._add_violation("EVAC", found)
        for found in find_crowds_at_cold_runners(self.arrivals, self.cold_periods):
            self._add_violation("FAILBACK", found)
        for found in find_sends_away_from_home(self.arrivals, self.homes, self.regions):
            self._add_violation("HOME", found)

    def _add_violation(self, rule: Rule, request_id: str) -> None:
        self.violations.append((rule, request_id))

    def _check_attempt(
        self, request: ClientRequest, attempt: Attempt, arrivals: list[Arrival]
    ) -> None:
        runs = [arrival for arrival in arrivals if arrival.has_run]
        if not request.plan.may_repeat:
            if len(runs) > 1:
                self._add_violation("TWICE", attempt.request_id)
            if runs and attempt.is_complete and attempt.status in NOT_RUN_STATUSES:
                self._add_violation("REFUSED", attempt.request_id)
        if attempt.is_complete and attempt.status // 100 == 2:
            self._check_success(request, attempt, arrivals)
        for arrival in arrivals:
            self._check_arrival(request, attempt, arrival)
        self._check_config(request, attempt)

    def _check_success(
        self, request: ClientRequest, attempt: Attempt, arrivals: list[Arrival]
    ) -> None:
        seal = attempt.answer.get("x-response-seal", "")
        seals = {f"{a.runner_id}.{a.request_id}" for a in arrivals if a.status == 200}
        is_own_answer = attempt.answer.get("x-request-id") == attempt.request_id
        if seal not in seals or not is_own_answer:
            self._add_violation("MIXED", attempt.request_id)
        elif request.plan.kind != "stream":
            if attempt.body not in [a.body for a in arrivals]:
                self._add_violation("MIXED", attempt.request_id)

    def _check_arrival(
        self, request: ClientRequest, attempt: Attempt, arrival: Arrival
    ) -> None:
        plan, headers = request.plan, arrival.headers
        body_hash = hashlib.sha256(plan.body).hexdigest()
        is_unchanged = (
            (arrival.method, arrival.target) == (plan.method, plan.path)
            and arrival.body_hash == body_hash
            and all(headers.get(n.lower()) == v for n, v in plan.headers)
        )
        tenants = {
            version.tenants_by_key.get(attempt.headers["x-key"])
            for version in self.config_versions
        }
        is_known = headers.get("x-tenant") in tenants - {None}
        if not is_unchanged or "x-key" in headers or not is_known:
            self._add_violation("UNASKED", attempt.request_id)
        allowed = {
            service
            for version in self.config_versions
            for service in version.services_by_prefix.get(plan.route, ())
        }
        if arrival.has_run and arrival.service not in allowed:
            self._add_violation("ROUTE", attempt.request_id)
        withdrawn_at = arrival.runner_withdrawn_at
        if withdrawn_at is not None and arrival.at > withdrawn_at + DRAIN_SECONDS:
            if arrival.status != 421:
                self._add_violation("DRAIN", attempt.request_id)

    def _check_config(self, request: ClientRequest, attempt: Attempt) -> None:
        is_denied = attempt.status in DENIED_STATUSES
        is_success = attempt.status // 100 == 2
        if not attempt.is_complete or not (is_denied or is_success):
            return
        # The versions that may have been in force during the request. A denial is a
        # violation if all of them allow the request, a success if none does.
        ends = [
            version.acknowledged_at + CONFIG_APPLY_SECONDS
            for version in self.config_versions[1:]
        ] + [NEVER]
        possible_versions = [
            version
            for version, end in zip(self.config_versions, ends, strict=True)
            if end >= attempt.sent_at
            and version.acknowledged_at <= (attempt.ended_at or NEVER)
        ]
        key = attempt.headers["x-key"]
        allowing = [
            version
            for version in possible_versions
            if request.plan.route in version.services_by_prefix
            and key in version.tenants_by_key
        ]
        if (is_denied and len(allowing) == len(possible_versions)) or (
            is_success and not allowing
        ):
            self._add_violation("CONFIG", attempt.request_id)

    def _check_stream(self, request: ClientRequest) -> None:
        if request.plan.kind != "stream" or not request.received_events:
            return
        events = [
            part + b"\n\n" for part in request.received_events.split(b"\n\n")[:-1]
        ]
        prompt_id = request.plan.prompt_id
        first_id = EVENT_ID.search(events[0]) if events else None
        step = int(first_id[1]) if first_id is not None else 1
        for number, received in enumerate(events, 1):
            event = WEIGHTS_FIELD.sub(b"", received)
            is_last = event == build_stream_event(prompt_id, number, True, step)
            part = build_stream_event(prompt_id, number, False, step)
            if not is_last and event != part:
                self._add_violation("ORDER", request.attempts[-1].request_id)
                return
        if request.is_success and not is_last:
            self._add_violation("ORDER", request.attempts[-1].request_id)

    def _check_tolerated(self, by_id: Mapping[str, list[Arrival]]) -> None:
        """Check the rules that tolerate a few cases: GONE, LOST and late answers."""
        counts: Counter[Rule] = Counter()
        still_running = abandoned = held = timed_out = 0
        for request in self.requests:
            for attempt in request.attempts:
                end = attempt.ended_at or NEVER
                arrivals = by_id.get(attempt.request_id, [])
                if attempt.has_disconnected:
                    counts["GONE"] += any(
                        a.at > end + DISCONNECT_GRACE_SECONDS for a in arrivals
                    )
                    runs = [a for a in arrivals if a.has_run]
                    still_running += any(
                        (a.ended_at or NEVER) > end + DISCONNECT_GRACE_SECONDS
                        for a in runs
                    )
                    abandoned += bool(runs)
                elif not attempt.status and any(
                    not a.is_aborted and a.has_run for a in arrivals
                ):
                    counts["LOST"] += 1
                limit = attempt.sent_at + request.plan.timeout_seconds
                if end > limit:
                    timed_out += 1
                    held += end > limit + TIMEOUT_GRACE_SECONDS
        for rule, count in counts.items():
            if count > MAX_TOLERATED:
                self._add_violation(rule, f"{count} requests")
        if abandoned >= MAX_TOLERATED and still_running > abandoned / 4:
            self._add_violation("GONE", f"{still_running} of {abandoned} still at work")
        if timed_out > MAX_TOLERATED and held > timed_out * MAX_HELD_SHARE:
            self._add_violation(
                "CONFIG", f"{held} of {timed_out} held past the time limit"
            )

    def _check_crashes(self) -> None:
        """Check that a request that crashes runners is soon no longer sent."""
        by_request: dict[tuple[str, str, str], list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals:
            account = arrival.headers.get("x-tenant", "")
            identity = account, arrival.target, arrival.body_hash
            by_request[identity].append(arrival)
        for arrivals in by_request.values():
            ends = sorted(find_crashed_runners(arrivals).values())
            if len(ends) < CRASHES_UNTIL_STOPPED:
                continue
            known_at = ends[CRASHES_UNTIL_STOPPED - 1] + STABLE_SECONDS
            late = [arrival for arrival in arrivals if arrival.at > known_at]
            if len(late) > MAX_SENDS_ONCE_STOPPED:
                self._add_violation(
                    "BUDGET", f"{len(late)} sends, {len(ends)} runners ended"
                )

    def _check_limit(self, period: RateLimitPeriod) -> None:
        """Check the rate at a runner from hosts that were told of its limit."""
        hosts = {a.request_id: a.node for r in self.requests for a in r.attempts}
        informed_at: dict[object, float] = {}
        counted: list[float] = []
        for arrival in sorted(self.arrivals, key=lambda arrival: arrival.at):
            if arrival.runner_id != period.runner_id:
                continue
            host = hosts.get(arrival.request_id)
            is_informed = (
                informed_at.get(host, NEVER) + LIMIT_NOTICE_SECONDS <= arrival.at
            )
            is_stable = period.began_at + STABLE_SECONDS <= arrival.at < period.ended_at
            if is_informed and is_stable:
                counted.append(arrival.at)
            if arrival.limit_announced_at is not None:
                informed_at[host] = min(
                    informed_at.get(host, NEVER), arrival.limit_announced_at
                )
        allowed = (
            LIMIT_FACTOR * period.rate * LIMIT_WINDOW_SECONDS + LIMIT_EXTRA_REQUESTS
        )
        if count_max_in_window(counted, LIMIT_WINDOW_SECONDS) > allowed:
            self._add_violation(
                "LIMIT", f"{period.runner_id} named {period.rate:g} a second"
            )


def count_max_in_window(times: Sequence[float], seconds: float) -> int:
    """Return the maximum count of sorted times within any window of seconds."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


def find_crashed_runners(arrivals: Iterable[Arrival]) -> dict[str, float]:
    """Return the crash time of each runner that crashed during one of the requests."""
    ended: dict[str, float] = {}
    for arrival in arrivals:
        if arrival.runner_crashed_at is not None:
            ended.setdefault(arrival.runner_id, arrival.runner_crashed_at)
    return ended
