"""Simulate the hosts of one policy on modelled engines, with its own clock."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from tarragonward_core import ResultCode
from tarragonward_placement import (
    FIRST_LONG_PRIORITY,
    CacheUpdate,
    EngineView,
    FleetView,
    GroupEffect,
    GroupMember,
    GroupReady,
    GroupReservation,
    Placed,
    Placement,
    PlacementRequest,
    Refused,
    ReleasePart,
    ReservationGranted,
    ReservationRefused,
    ReservePart,
    RetryGroup,
)
from tarragonward_standins.engine_model import EngineModel, EngineSizes, EngineWork

from .mix import Arrival, Mix
from .policies import HostPolicy

__all__ = ["Faults", "Fleet", "Result"]

NETWORK_DELAY_SECONDS = 0.001
REPORT_INTERVAL_SECONDS = 0.25
POLL_INTERVAL_SECONDS = 0.5
GOSSIP_INTERVAL_SECONDS = 1.0
FAILURE_DETECTION_SECONDS = 1.0
ORPHAN_SWEEP_SECONDS = 3.0
CALLER_RETRY_DELAY_SECONDS = 1.0
MAX_REFUSING_ENGINES = 3
LOST_EVENT_INTERVAL = 50
NEVER = float("inf")


@dataclass(frozen=True)
class Faults:
    """The faults of a run and their times, in seconds."""

    report_lag_seconds: float = 0.3
    engine_fails_at: float = NEVER
    host_fails_at: float = NEVER


@dataclass
class Result:
    """The outcome of one request; durations in seconds from its first arrival."""

    arrival: Arrival
    ttft_seconds: float | None = None
    finished_seconds: float | None = None
    was_admitted: bool = False
    refusal_count: int = 0
    last_code: ResultCode | None = None


def _count_queued_long_tokens(model: EngineModel) -> int:
    queued = model.get_queued_by_priority()
    return sum(n for level, n in queued.items() if level >= FIRST_LONG_PRIORITY)


@dataclass
class _Engine:
    name: str
    model: EngineModel
    is_stepping: bool = False
    has_failed: bool = False
    snapshots: deque[tuple[float, dict[str, Any], int]] = field(default_factory=deque)


@dataclass
class _Host:
    number: int
    policy: HostPolicy
    has_failed: bool = False
    reports: dict[str, tuple[float, dict[str, Any]]] = field(default_factory=dict)
    demand: dict[str, float] = field(default_factory=dict)


@dataclass
class _Attempt:
    """One attempt of one request."""

    result: Result
    host: _Host
    caller_attempt: int
    placement_retries: int = 0
    placement: Placed | None = None
    group: GroupReservation | None = None
    excluded: set[str] = field(default_factory=set)
    has_ended: bool = False

    @property
    def work_id(self) -> str:
        """Return the id of the attempt's work on its engine."""
        return (
            f"{self.result.arrival.request_id}/{self.caller_attempt}"
            f"/{self.placement_retries}"
        )


class Fleet:
    """The hosts, engines and callers of one run of one policy."""

    def __init__(
        self,
        mix: Mix,
        arrivals: list[Arrival],
        make_policy: Callable[[Random], HostPolicy],
        sizes: EngineSizes,
        faults: Faults,
        seed: int,
    ) -> None:
        self.now = 0.0
        self.results = [Result(arrival) for arrival in arrivals]
        self._mix = mix
        self._faults = faults
        self._random = Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = 0
        self._open_requests = len(arrivals)
        self._engines = {
            name: _Engine(name, EngineModel(sizes))
            for name in (f"engine-{n:02}" for n in range(mix.engines))
        }
        self._hosts = [
            _Host(n, make_policy(Random(seed * 1_000 + n))) for n in range(mix.hosts)
        ]
        self._attempts: dict[str, _Attempt] = {}
        self._schedule_start()

    def _schedule_start(self) -> None:
        for result in self.results:
            self._schedule(result.arrival.at, self._arrive, result)
        for host in self._hosts:
            phase = self._random.random()
            self._schedule(phase * POLL_INTERVAL_SECONDS, self._poll, host)
            self._schedule(phase * GOSSIP_INTERVAL_SECONDS, self._gossip, host)
        self._schedule(0.0, self._report)
        if self._faults.engine_fails_at < NEVER:
            self._schedule(self._faults.engine_fails_at, self._fail_engine)
        if self._faults.host_fails_at < NEVER:
            self._schedule(self._faults.host_fails_at, self._fail_host)

    @property
    def has_ended(self) -> bool:
        """Return whether every request has ended."""
        return self._open_requests == 0

    def run_until(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until and self._open_requests:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until

    def count_leaked_tokens(self) -> int:
        """Return the KV memory in use at the end of the run, which must be zero."""
        return sum(
            engine.model.sizes.kv_tokens - engine.model.free_kv_tokens
            for engine in self._engines.values()
            if not engine.has_failed
        )

    def _schedule(
        self, time: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, action, arguments))

    # Callers

    def _arrive(self, result: Result) -> None:
        attempt = _Attempt(result, self._hosts[result.arrival.host], 1)
        deadline = result.arrival.at + result.arrival.time_limit_seconds
        self._schedule(deadline, self._expire, result)
        self._attempts[result.arrival.request_id] = attempt
        self._replace_failed_host(attempt)
        self._place(attempt)

    def _replace_failed_host(self, attempt: _Attempt) -> None:
        live_hosts = [host for host in self._hosts if not host.has_failed]
        if attempt.host.has_failed:
            attempt.host = self._random.choice(live_hosts)

    def _expire(self, result: Result) -> None:
        attempt = self._attempts.pop(result.arrival.request_id, None)
        if attempt is not None:
            self._release(attempt)
            self._count_end(attempt)

    def _schedule_caller_retry(self, attempt: _Attempt, seconds: float) -> None:
        """Schedule the caller's retry; its time limit keeps running."""
        retry = _Attempt(attempt.result, attempt.host, attempt.caller_attempt + 1)
        self._attempts[attempt.result.arrival.request_id] = retry
        self._schedule(self.now + seconds, self._restart, retry)

    def _restart(self, attempt: _Attempt) -> None:
        if self._is_current(attempt):
            self._replace_failed_host(attempt)
            self._place(attempt)

    def _is_current(self, attempt: _Attempt) -> bool:
        return self._attempts.get(attempt.result.arrival.request_id) is attempt

    # Hosts

    def _place(self, attempt: _Attempt) -> None:
        arrival, host = attempt.result.arrival, attempt.host
        request = PlacementRequest(
            request_id=arrival.request_id,
            account=arrival.account,
            model="model",
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.max_tokens,
            priority=0,
            remaining_seconds=arrival.at + arrival.time_limit_seconds - self.now,
            prefix_hashes=arrival.prefix_hashes,
        )
        views = self._build_views(host, attempt.excluded)
        placement = host.policy.place(request, views, self.now, self._build_fleet(host))
        if isinstance(placement, Refused):
            attempt.result.refusal_count += 1
            # The answer says that nothing ran, so a retry counts as a new request.
            attempt.result.was_admitted = False
            attempt.result.last_code = placement.code
            jitter = 1 + self._random.random() / 4
            self._schedule_caller_retry(attempt, placement.retry_after_seconds * jitter)
            return
        attempt.result.was_admitted = True
        attempt.placement = placement
        if len(placement.engines) == 1:
            self._schedule(self.now + NETWORK_DELAY_SECONDS, self._submit, attempt)
        else:
            members = map(GroupMember, placement.engines, placement.parts)
            attempt.group = GroupReservation(list(members), attempt.placement_retries)
            self._apply_group(attempt, attempt.group.start())

    def _build_views(self, host: _Host, excluded: set[str]) -> list[EngineView]:
        views = []
        for name, (polled_at, report) in host.reports.items():
            if name not in excluded:
                age = self.now - polled_at
                views.append(EngineView(name, report_age_seconds=age, **report))
        return views

    def _build_fleet(self, host: _Host) -> FleetView:
        live_hosts = sum(not other.has_failed for other in self._hosts)
        return FleetView(live_hosts, self._mix.weights, host.demand)

    def _poll(self, host: _Host) -> None:
        if host.has_failed:
            return
        until = self.now - self._faults.report_lag_seconds
        for engine in self._engines.values():
            report = self._read_report(engine, until)
            if report is None:
                host.reports.pop(engine.name, None)
                continue
            host.reports[engine.name] = (self.now, report[1])
            if isinstance(host.policy, Placement):
                self._read_cache_events(host.policy, engine, report[2])
        self._schedule(self.now + POLL_INTERVAL_SECONDS, self._poll, host)

    def _read_report(
        self, engine: _Engine, until: float
    ) -> tuple[float, dict[str, Any], int] | None:
        if (
            engine.has_failed
            and self.now > self._faults.engine_fails_at + FAILURE_DETECTION_SECONDS
        ):
            return None
        latest = engine.snapshots[0]
        for snapshot in engine.snapshots:
            if snapshot[0] > until:
                break
            latest = snapshot
        return latest

    def _read_cache_events(
        self, policy: Placement, engine: _Engine, sequence: int
    ) -> None:
        after = policy.prefixes.get_sequence(engine.name)
        events = [
            CacheUpdate(event.sequence, event.added, event.removed)
            for event in engine.model.get_cache_events(after)
            if event.sequence <= sequence and event.sequence % LOST_EVENT_INTERVAL
        ]
        policy.prefixes.update(engine.name, events)

    def _gossip(self, host: _Host) -> None:
        demand: dict[str, float] = {}
        for other in self._hosts:
            if other is host or other.has_failed:
                continue
            if isinstance(other.policy, Placement):
                for name, rate in other.policy.get_demand(self.now).items():
                    demand[name] = demand.get(name, 0.0) + rate
        host.demand = demand
        self._schedule(self.now + GOSSIP_INTERVAL_SECONDS, self._gossip, host)

    def _fail_host(self) -> None:
        host = self._hosts[0]
        host.has_failed = True
        for attempt in list(self._attempts.values()):
            if attempt.host is host:
                attempt.has_ended = True
                self._schedule(
                    self.now + ORPHAN_SWEEP_SECONDS, self._free_engine_memory, attempt
                )
                self._schedule_caller_retry(attempt, CALLER_RETRY_DELAY_SECONDS)

    # Groups

    def _apply_group(self, attempt: _Attempt, effects: list[GroupEffect]) -> None:
        for effect in effects:
            match effect:
                case ReservePart(member):
                    self._schedule(
                        self.now + NETWORK_DELAY_SECONDS, self._reserve, attempt, member
                    )
                case ReleasePart(engine):
                    self._engines[engine].model.release(attempt.work_id)
                case GroupReady():
                    self._submit(attempt)
                case RetryGroup(max_delay):
                    self._retry(attempt, max_delay * self._random.random())

    def _reserve(self, attempt: _Attempt, member: GroupMember) -> None:
        if attempt.has_ended or attempt.group is None or attempt.group.has_ended:
            return
        engine = self._engines[member.engine]
        granted = not engine.has_failed and engine.model.reserve(
            attempt.work_id, member.tokens
        )
        event_type = ReservationGranted if granted else ReservationRefused
        self._apply_group(attempt, attempt.group.handle(event_type(member.engine)))

    def _retry(self, attempt: _Attempt, delay: float) -> None:
        """Place an admitted prompt again within its time limit."""
        attempt.host.policy.release(attempt.result.arrival.request_id)
        retry = _Attempt(
            attempt.result,
            attempt.host,
            attempt.caller_attempt,
            attempt.placement_retries + 1,
        )
        retry.excluded = attempt.excluded
        self._attempts[attempt.result.arrival.request_id] = retry
        self._schedule(self.now + delay, self._restart, retry)

    # Engines

    def _submit(self, attempt: _Attempt) -> None:
        if not self._is_current(attempt) or attempt.placement is None:
            return
        arrival, placement = attempt.result.arrival, attempt.placement
        engine = self._engines[placement.engines[0]]
        work = EngineWork(
            attempt.work_id,
            arrival.prompt_tokens,
            arrival.max_tokens,
            placement.engine_priority,
            placement.chunk_tokens,
            arrival.prefix_hashes,
            attempt.work_id if attempt.group else "",
        )
        if engine.has_failed or not engine.model.submit(work):
            self._resubmit(attempt, engine.name)
        elif not engine.is_stepping:
            self._step(engine)

    def _resubmit(self, attempt: _Attempt, refusing_engine: str) -> None:
        self._release(attempt)
        attempt.excluded.add(refusing_engine)
        if len(attempt.excluded) > MAX_REFUSING_ENGINES:
            self._schedule_caller_retry(attempt, CALLER_RETRY_DELAY_SECONDS)
        else:
            self._retry(attempt, 0.0)

    def _step(self, engine: _Engine) -> None:
        result = engine.model.step()
        engine.is_stepping = result is not None
        if result is not None:
            self._schedule(
                self.now + result.seconds, self._complete_step, engine, result
            )

    def _complete_step(self, engine: _Engine, result: Any) -> None:
        if engine.has_failed:
            return
        for work_id in result.first_tokens_for:
            attempt = self._find_attempt(work_id)
            if attempt is not None:
                if attempt.result.ttft_seconds is None:
                    attempt.result.ttft_seconds = self.now - attempt.result.arrival.at
                attempt.host.policy.note_first_token(
                    attempt.result.arrival.request_id, self.now
                )
        for work_id in result.finished:
            attempt = self._find_attempt(work_id)
            if attempt is not None:
                del self._attempts[attempt.result.arrival.request_id]
                attempt.result.finished_seconds = self.now - attempt.result.arrival.at
                attempt.host.policy.note_finished(
                    attempt.result.arrival.request_id,
                    attempt.result.arrival.max_tokens,
                    self.now,
                )
                self._release(attempt)
                self._count_end(attempt)
        self._step(engine)

    def _find_attempt(self, work_id: str) -> _Attempt | None:
        attempt = self._attempts.get(work_id.partition("/")[0])
        return attempt if attempt is not None and attempt.work_id == work_id else None

    def _release(self, attempt: _Attempt) -> None:
        attempt.has_ended = True
        attempt.host.policy.release(attempt.result.arrival.request_id)
        self._free_engine_memory(attempt)

    def _free_engine_memory(self, attempt: _Attempt) -> None:
        for name in attempt.placement.engines if attempt.placement else ():
            model = self._engines[name].model
            model.remove(attempt.work_id)
            model.release(attempt.work_id)

    def _count_end(self, attempt: _Attempt) -> None:
        self._open_requests -= 1

    def _report(self) -> None:
        for engine in self._engines.values():
            if engine.has_failed:
                continue
            model = engine.model
            report = {
                "kv_tokens": model.sizes.kv_tokens,
                "free_kv_tokens": model.free_kv_tokens,
                "queued_prefill_tokens": model.queued_prefill_tokens,
                "running": model.running,
                "queued_long_tokens": _count_queued_long_tokens(model),
                "prefill_tokens_per_second": model.prefill_tokens_per_second,
                "seconds_per_token": model.seconds_per_token,
            }
            engine.snapshots.append((self.now, report, model.cache.sequence))
            while len(engine.snapshots) > 64:
                engine.snapshots.popleft()
        self._schedule(self.now + REPORT_INTERVAL_SECONDS, self._report)

    def _fail_engine(self) -> None:
        engine = self._engines["engine-00"]
        engine.has_failed = True
        for attempt in list(self._attempts.values()):
            if attempt.placement and engine.name in attempt.placement.engines:
                self._release(attempt)
                attempt.excluded.add(engine.name)
                self._retry(attempt, NETWORK_DELAY_SECONDS)
