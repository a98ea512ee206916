"""Run one policy's hosts over modelled engines, with a clock of its own."""

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

NETWORK_SECONDS = 0.001
REPORT_SECONDS = 0.25
POLL_SECONDS = 0.5
GOSSIP_SECONDS = 1.0
NOTICE_SECONDS = 1.0
SWEEP_SECONDS = 3.0
CALLER_RETRY_SECONDS = 1.0
MAX_REFUSED_TRIES = 3
LOST_EVENT_EVERY = 50
NEVER = float("inf")


@dataclass(frozen=True)
class Faults:
    """What goes wrong in a run, and when, in seconds."""

    report_lag_seconds: float = 0.3
    engine_lost_at: float = NEVER
    host_lost_at: float = NEVER


@dataclass
class Result:
    """What became of one request; times in seconds from its first arrival."""

    arrival: Arrival
    ttft_seconds: float | None = None
    finished_seconds: float | None = None
    was_admitted: bool = False
    refusals: int = 0
    last_code: ResultCode | None = None


def _count_long(model: EngineModel) -> int:
    queued = model.get_queued_by_priority()
    return sum(n for level, n in queued.items() if level >= FIRST_LONG_PRIORITY)


@dataclass
class _Engine:
    name: str
    model: EngineModel
    is_stepping: bool = False
    is_lost: bool = False
    snapshots: deque[tuple[float, dict[str, Any], int]] = field(default_factory=deque)


@dataclass
class _Host:
    number: int
    policy: HostPolicy
    is_lost: bool = False
    reports: dict[str, tuple[float, dict[str, Any]]] = field(default_factory=dict)
    demand: dict[str, float] = field(default_factory=dict)


@dataclass
class _Run:
    """One attempt of one request."""

    result: Result
    host: _Host
    attempt: int
    tries: int = 0
    placed: Placed | None = None
    group: GroupReservation | None = None
    excluded: set[str] = field(default_factory=set)
    has_ended: bool = False

    @property
    def work_id(self) -> str:
        """Return the id of the attempt's stream on its engine."""
        return f"{self.result.arrival.request_id}/{self.attempt}/{self.tries}"


class Fleet:
    """Hosts, engines and callers of one run of one policy."""

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
        self._open = len(arrivals)
        self._engines = {
            name: _Engine(name, EngineModel(sizes))
            for name in (f"engine-{n:02}" for n in range(mix.engines))
        }
        self._hosts = [
            _Host(n, make_policy(Random(seed * 1_000 + n))) for n in range(mix.hosts)
        ]
        self._runs: dict[str, _Run] = {}
        self._schedule_start()

    def _schedule_start(self) -> None:
        for result in self.results:
            self._at(result.arrival.at, self._arrive, result)
        for host in self._hosts:
            phase = self._random.random()
            self._at(phase * POLL_SECONDS, self._poll, host)
            self._at(phase * GOSSIP_SECONDS, self._gossip, host)
        self._at(0.0, self._report)
        if self._faults.engine_lost_at < NEVER:
            self._at(self._faults.engine_lost_at, self._lose_engine)
        if self._faults.host_lost_at < NEVER:
            self._at(self._faults.host_lost_at, self._lose_host)

    @property
    def has_ended(self) -> bool:
        """Return whether every request has ended."""
        return self._open == 0

    def run_until(self, until: float) -> None:
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= until and self._open:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    def count_leaked_tokens(self) -> int:
        """Return the KV memory that is held after the end, which must be none."""
        return sum(
            engine.model.sizes.kv_tokens - engine.model.free_kv_tokens
            for engine in self._engines.values()
            if not engine.is_lost
        )

    def _at(self, time: float, call: Callable[..., None], *arguments: Any) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, call, arguments))

    # Callers

    def _arrive(self, result: Result) -> None:
        run = _Run(result, self._hosts[result.arrival.host], 1)
        deadline = result.arrival.at + result.arrival.time_limit_seconds
        self._at(deadline, self._expire, result)
        self._runs[result.arrival.request_id] = run
        self._move_host(run)
        self._start(run)

    def _move_host(self, run: _Run) -> None:
        live = [host for host in self._hosts if not host.is_lost]
        if run.host.is_lost:
            run.host = self._random.choice(live)

    def _expire(self, result: Result) -> None:
        run = self._runs.pop(result.arrival.request_id, None)
        if run is not None:
            self._leave(run)
            self._end(run)

    def _come_back(self, run: _Run, seconds: float) -> None:
        """Let the caller send its request again; its time limit goes on."""
        retry = _Run(run.result, run.host, run.attempt + 1)
        self._runs[run.result.arrival.request_id] = retry
        self._at(self.now + seconds, self._start_again, retry)

    def _start_again(self, run: _Run) -> None:
        if self._is_current(run):
            self._move_host(run)
            self._start(run)

    def _is_current(self, run: _Run) -> bool:
        return self._runs.get(run.result.arrival.request_id) is run

    # Hosts

    def _start(self, run: _Run) -> None:
        arrival, host = run.result.arrival, run.host
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
        views = self._build_views(host, run.excluded)
        placed = host.policy.place(request, views, self.now, self._build_fleet(host))
        if isinstance(placed, Refused):
            run.result.refusals += 1
            # The caller is told that nothing ran; what it sends again is new.
            run.result.was_admitted = False
            run.result.last_code = placed.code
            jitter = 1 + self._random.random() / 4
            self._come_back(run, placed.retry_after_seconds * jitter)
            return
        run.result.was_admitted = True
        run.placed = placed
        if len(placed.engines) == 1:
            self._at(self.now + NETWORK_SECONDS, self._submit, run)
        else:
            members = map(GroupMember, placed.engines, placed.parts)
            run.group = GroupReservation(list(members), run.tries)
            self._apply_group(run, run.group.start())

    def _build_views(self, host: _Host, excluded: set[str]) -> list[EngineView]:
        views = []
        for name, (read_at, report) in host.reports.items():
            if name not in excluded:
                age = self.now - read_at
                views.append(EngineView(name, report_age_seconds=age, **report))
        return views

    def _build_fleet(self, host: _Host) -> FleetView:
        live = sum(not other.is_lost for other in self._hosts)
        return FleetView(live, self._mix.weights, host.demand)

    def _poll(self, host: _Host) -> None:
        if host.is_lost:
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
        self._at(self.now + POLL_SECONDS, self._poll, host)

    def _read_report(
        self, engine: _Engine, until: float
    ) -> tuple[float, dict[str, Any], int] | None:
        if engine.is_lost and self.now > self._faults.engine_lost_at + NOTICE_SECONDS:
            return None
        known = engine.snapshots[0]
        for snapshot in engine.snapshots:
            if snapshot[0] > until:
                break
            known = snapshot
        return known

    def _read_cache_events(
        self, policy: Placement, engine: _Engine, sequence: int
    ) -> None:
        after = policy.prefixes.get_sequence(engine.name)
        events = [
            CacheUpdate(event.sequence, event.added, event.removed)
            for event in engine.model.get_cache_events(after)
            if event.sequence <= sequence and event.sequence % LOST_EVENT_EVERY
        ]
        policy.prefixes.update(engine.name, events)

    def _gossip(self, host: _Host) -> None:
        demand: dict[str, float] = {}
        for other in self._hosts:
            if other is host or other.is_lost:
                continue
            if isinstance(other.policy, Placement):
                for name, rate in other.policy.get_demand(self.now).items():
                    demand[name] = demand.get(name, 0.0) + rate
        host.demand = demand
        self._at(self.now + GOSSIP_SECONDS, self._gossip, host)

    def _lose_host(self) -> None:
        host = self._hosts[0]
        host.is_lost = True
        for run in list(self._runs.values()):
            if run.host is host:
                run.has_ended = True
                self._at(self.now + SWEEP_SECONDS, self._free, run)
                self._come_back(run, CALLER_RETRY_SECONDS)

    # Groups

    def _apply_group(self, run: _Run, effects: list[GroupEffect]) -> None:
        for effect in effects:
            match effect:
                case ReservePart(member):
                    self._at(self.now + NETWORK_SECONDS, self._reserve, run, member)
                case ReleasePart(engine):
                    self._engines[engine].model.release(run.work_id)
                case GroupReady():
                    self._submit(run)
                case RetryGroup(max_delay):
                    self._retry(run, max_delay * self._random.random())

    def _reserve(self, run: _Run, member: GroupMember) -> None:
        if run.has_ended or run.group is None or run.group.has_ended:
            return
        engine = self._engines[member.engine]
        granted = not engine.is_lost and engine.model.reserve(
            run.work_id, member.tokens
        )
        kind = ReservationGranted if granted else ReservationRefused
        self._apply_group(run, run.group.handle(kind(member.engine)))

    def _retry(self, run: _Run, delay: float) -> None:
        """Place an admitted prompt again, within its time limit."""
        run.host.policy.release(run.result.arrival.request_id)
        retry = _Run(run.result, run.host, run.attempt, run.tries + 1)
        retry.excluded = run.excluded
        self._runs[run.result.arrival.request_id] = retry
        self._at(self.now + delay, self._start_again, retry)

    # Engines

    def _submit(self, run: _Run) -> None:
        if not self._is_current(run) or run.placed is None:
            return
        arrival, placed = run.result.arrival, run.placed
        engine = self._engines[placed.engines[0]]
        work = EngineWork(
            run.work_id,
            arrival.prompt_tokens,
            arrival.max_tokens,
            placed.engine_priority,
            placed.chunk_tokens,
            arrival.prefix_hashes,
            run.work_id if run.group else "",
        )
        if engine.is_lost or not engine.model.submit(work):
            self._resubmit(run, engine.name)
        elif not engine.is_stepping:
            self._step(engine)

    def _resubmit(self, run: _Run, refused_by: str) -> None:
        self._leave(run)
        run.excluded.add(refused_by)
        if len(run.excluded) > MAX_REFUSED_TRIES:
            self._come_back(run, CALLER_RETRY_SECONDS)
        else:
            self._retry(run, 0.0)

    def _step(self, engine: _Engine) -> None:
        result = engine.model.step()
        engine.is_stepping = result is not None
        if result is not None:
            self._at(self.now + result.seconds, self._end_step, engine, result)

    def _end_step(self, engine: _Engine, result: Any) -> None:
        if engine.is_lost:
            return
        for work_id in result.first_tokens_for:
            run = self._find(work_id)
            if run is not None:
                if run.result.ttft_seconds is None:
                    run.result.ttft_seconds = self.now - run.result.arrival.at
                run.host.policy.note_first_token(
                    run.result.arrival.request_id, self.now
                )
        for work_id in result.finished:
            run = self._find(work_id)
            if run is not None:
                del self._runs[run.result.arrival.request_id]
                run.result.finished_seconds = self.now - run.result.arrival.at
                run.host.policy.note_finished(
                    run.result.arrival.request_id,
                    run.result.arrival.max_tokens,
                    self.now,
                )
                self._leave(run)
                self._end(run)
        self._step(engine)

    def _find(self, work_id: str) -> _Run | None:
        run = self._runs.get(work_id.partition("/")[0])
        return run if run is not None and run.work_id == work_id else None

    def _leave(self, run: _Run) -> None:
        run.has_ended = True
        run.host.policy.release(run.result.arrival.request_id)
        self._free(run)

    def _free(self, run: _Run) -> None:
        for name in run.placed.engines if run.placed else ():
            model = self._engines[name].model
            model.remove(run.work_id)
            model.release(run.work_id)

    def _end(self, run: _Run) -> None:
        self._open -= 1

    def _report(self) -> None:
        for engine in self._engines.values():
            if engine.is_lost:
                continue
            model = engine.model
            report = {
                "kv_tokens": model.sizes.kv_tokens,
                "free_kv_tokens": model.free_kv_tokens,
                "queued_prefill_tokens": model.queued_prefill_tokens,
                "running": model.running,
                "queued_long_tokens": _count_long(model),
                "prefill_tokens_per_second": model.prefill_tokens_per_second,
                "seconds_per_token": model.seconds_per_token,
            }
            engine.snapshots.append((self.now, report, model.cache.sequence))
            while len(engine.snapshots) > 64:
                engine.snapshots.popleft()
        self._at(self.now + REPORT_SECONDS, self._report)

    def _lose_engine(self) -> None:
        engine = self._engines["engine-00"]
        engine.is_lost = True
        for run in list(self._runs.values()):
            if run.placed and engine.name in run.placed.engines:
                self._leave(run)
                run.excluded.add(engine.name)
                self._retry(run, NETWORK_SECONDS)
