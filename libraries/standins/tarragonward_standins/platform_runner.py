"""Stand-in for a runner of the platform: registration, answers and faults.

Each request that arrives is recorded for the checker.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Awaitable, Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from tarragonward_core import Address

from .fault_proxy import FaultProxy
from .platform_http import (
    PlainRequest,
    PlainServer,
    build_head,
    reset_connection,
)
from .platform_store import PlatformStore

__all__ = [
    "CRASH_PREFIX",
    "Arrival",
    "ColdPeriod",
    "RateLimitPeriod",
    "PlatformRunner",
    "RunnerFaults",
    "RunnerPlan",
    "list_shared_segments",
]

# A request whose body starts with this crashes each runner that runs it.
CRASH_PREFIX = b"crash:"

MILLISECONDS = 1_000
OVERLOAD_STATUS = 503
WORK_TIME_FACTORS = (0.5, 1.5)
MISSED_HEARTBEATS_UNTIL_REMOVAL = 3
JSON_TYPE = ("Content-Type", "application/json")
LEAVING = ("Server-Leaving", "1")
ArrivalLog = list["Arrival"]


@dataclass(frozen=True)
class RunnerPlan:
    """Configuration of a runner; times in seconds."""

    service: str
    zone: str
    slots: int = 6
    queue: int = 24
    work_seconds: float = 0.03
    answer_bytes: int = 800
    health_path: str = "/health"
    max_connections: int = 110
    heartbeat_seconds: float = 1.2
    host: str = "127.0.0.1"
    # How many requests per second a cold runner tolerates, any number if 0.0.
    cold_per_second: float = 0.0


@dataclass
class RunnerFaults:
    """Probability of each fault; a request meets at most one."""

    error: float = 0.0
    shed: float = 0.0
    break_off: float = 0.0
    truncate: float = 0.0
    garbage: float = 0.0
    no_length: float = 0.0
    extra: float = 0.0
    lose_answer: float = 0.0
    reset: float = 0.0

    def draw(self, rng: random.Random) -> str:
        """Return the name of the fault to inject, or an empty string."""
        number = rng.random()
        for name, share in vars(self).items():
            number -= share
            if number < 0:
                return name
        return ""


@dataclass(eq=False)
class Arrival:
    """A request that reached a runner, and its outcome there."""

    request_id: str
    runner_id: str
    service: str
    at: float
    method: str
    target: str
    headers: dict[str, str]
    body_hash: str
    runner_withdrawn_at: float | None = None
    has_run: bool = False
    ended_at: float | None = None
    status: int = 0
    body: bytes = field(default=b"", repr=False)
    is_aborted: bool = False
    # When the runner crashed during the request.
    runner_crashed_at: float | None = None
    # The segment of the prompt that crashed the runner.
    crashing_segment: str = ""
    # When an answer that announces a rate limit was sent.
    limit_announced_at: float | None = None
    # Whether the answer stated that the runner is leaving.
    states_leaving: bool = False
    # For how many seconds the runner asked to get nothing when it refused the request.
    cooldown_seconds: float | None = None
    zone: str = ""


@dataclass
class ColdPeriod:
    """A period in which a runner is cold and tolerates a rate per second."""

    runner_id: str
    rate: float
    began_at: float
    ended_at: float


@dataclass
class RateLimitPeriod:
    """A period in which a runner announced a limit, in requests per second."""

    runner_id: str
    rate: float
    began_at: float
    ended_at: float = float("inf")


class PlatformRunner:
    """One incarnation of a plain service's runner; the base of model runners."""

    def __init__(
        self,
        plan: RunnerPlan,
        store: PlatformStore,
        arrivals: ArrivalLog,
        seed: int,
        address: Address | None = None,
    ) -> None:
        self.plan = plan
        self.faults = RunnerFaults()
        self.arrivals = arrivals
        self.is_draining = False
        self.states_leaving = True
        # Whether its entry in the store is its own to keep.
        self.is_registered = False
        self.withdrawn_at: float | None = None
        self.active = 0
        self.waiting = 0
        self.random = random.Random(seed)
        self.id = f"i-{self.random.getrandbits(32):08x}"
        self._store = store
        self._seq = 0
        self._slots = asyncio.Semaphore(plan.slots)
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._server = PlainServer(
            self._async_handle, plan.host, max_connections=plan.max_connections
        )
        self.proxy: FaultProxy | None = None
        self.on_crash: list[Callable[[PlatformRunner], None]] = []
        # Segments of prompts that crash this runner as it begins to answer.
        self.crashing_segments: Collection[str] = ()
        self._crash_task: asyncio.Task[None] | None = None
        self.limits: list[RateLimitPeriod] = []
        self.cold_periods: list[ColdPeriod] = []
        # While set, all requests are refused with this many seconds of Retry-After.
        self.cooldown_seconds: float | None = None
        self._address = address or Address(plan.host, 0)
        self._handlers: dict[
            tuple[str, str],
            Callable[[PlainRequest, asyncio.StreamWriter], Awaitable[bool]],
        ] = {("GET", plan.health_path): self._async_answer_health}

    @property
    def address(self) -> Address:
        """Return the published address, that of its fault proxy."""
        return self._address

    def write_again(self) -> None:
        """Register as before, after the store has lost what was written last."""
        self._register()

    async def async_setup(self) -> None:
        """Start listening and send heartbeats."""
        await self._server.async_setup()
        self.proxy = FaultProxy(self._address, self._server.address)
        await self.proxy.async_setup()
        self._address = self.proxy.address
        self._heartbeat_task = asyncio.create_task(self._async_send_heartbeats())

    async def async_unload(self) -> None:
        """Stop at once, as in a crash; the registration stays."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        # A process that has ended accepts nothing once its connections are closed.
        if self.proxy is not None:
            self.proxy.stop_listening()
        await self._server.async_unload()
        if self.proxy is not None:
            await self.proxy.async_unload()

    async def async_drain(
        self, serve_seconds: float, report_after_seconds: float = 0.0
    ) -> None:
        """Leave: state it in all answers, register it, serve on, then stop.

        report_after_seconds: the store accepts the report of draining this much later;
        serve_seconds: how long the runner serves after that, before it deregisters.
        """
        self.is_draining = True
        await asyncio.sleep(report_after_seconds)
        self.withdrawn_at = self.withdrawn_at or asyncio.get_running_loop().time()
        self._register()
        await asyncio.sleep(serve_seconds)
        await self.async_unload()
        self.is_registered = False
        self._store.delete(f"servers/{self.id}")

    async def async_crash(self) -> None:
        """Stop without notice; the registration expires after missed heartbeats."""
        await self.async_unload()
        self.is_registered = False
        await asyncio.sleep(
            self.plan.heartbeat_seconds * MISSED_HEARTBEATS_UNTIL_REMOVAL
        )
        self.withdrawn_at = asyncio.get_running_loop().time()
        self._store.delete(f"servers/{self.id}")

    def set_rate_limit(self, rate: float | None) -> None:
        """Announce a rate limit in all answers from now on, or none."""
        now = asyncio.get_running_loop().time()
        for period in self.limits:
            period.ended_at = min(period.ended_at, now)
        if rate is not None:
            self.limits.append(RateLimitPeriod(self.id, rate, now))

    def become_cold(self, seconds: float) -> None:
        """Tolerate few requests for a while; the next check-in reports it."""
        now = asyncio.get_running_loop().time()
        rate = self.plan.cold_per_second
        self.cold_periods.append(ColdPeriod(self.id, rate, now, now + seconds))

    def _count_cold_milliseconds(self) -> int:
        now = asyncio.get_running_loop().time()
        ends = [period.ended_at for period in self.cold_periods]
        return int(max(0.0, max(ends, default=now) - now) * MILLISECONDS)

    def _build_statements(self, arrival: Arrival) -> tuple[tuple[str, str], ...]:
        """Return the headers that state something about this runner."""
        headers = self._build_limit_header(arrival)
        if self.is_draining and self.states_leaving:
            arrival.states_leaving = True
            headers += (LEAVING,)
        return headers

    def _build_limit_header(self, arrival: Arrival) -> tuple[tuple[str, str], ...]:
        now = asyncio.get_running_loop().time()
        period = self.limits[-1] if self.limits else None
        if period is None or period.ended_at <= now:
            return ()
        arrival.limit_announced_at = now
        return (("Server-Limit", f"{period.rate:g}"),)

    def crash_during(self, arrival: Arrival) -> None:
        """Crash during a request; all other requests in progress are lost too."""
        arrival.runner_crashed_at = asyncio.get_running_loop().time()
        arrival.is_aborted = True
        if self._crash_task is None:
            self._crash_task = asyncio.create_task(self.async_crash())
            for notify in self.on_crash:
                notify(self)

    def find_crashing_segment(self, request: PlainRequest) -> str:
        """Return the segment of a prompt that crashes this runner, empty if none."""
        shared = list_shared_segments(request.headers)
        return next((each for each in shared if each in self.crashing_segments), "")

    def route(
        self,
        method: str,
        path: str,
        handler: Callable[[PlainRequest, asyncio.StreamWriter], Awaitable[bool]],
    ) -> None:
        """Register a handler for a path that is not a route's request."""
        self._handlers[method, path] = handler

    async def _async_send_heartbeats(self) -> None:
        while True:
            if not self.is_draining:
                self._register()
            await asyncio.sleep(self.plan.heartbeat_seconds)

    def _register(self) -> None:
        self._seq += 1
        self.is_registered = True
        self._store.check_in(
            f"servers/{self.id}",
            {
                "service": self.plan.service,
                "address": str(self.address),
                "zone": self.plan.zone,
                "version": "v1",
                "slots": self.plan.slots,
                "state": "draining" if self.is_draining else "ready",
                "coldLeftMs": self._count_cold_milliseconds(),
                "seq": self._seq,
            },
        )

    async def _async_handle(
        self, request: PlainRequest, writer: asyncio.StreamWriter
    ) -> bool:
        special = self._handlers.get((request.method, request.path))
        if special is not None:
            return await special(request, writer)
        if "x-request-id" not in request.headers:
            return self._refuse(writer, None, 400)
        arrival = self._record_arrival(request)
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return self._refuse(writer, arrival, 421)
        fault = self.faults.draw(self.random)
        if self.cooldown_seconds is not None:
            return self._ask_for_cooldown(writer, arrival, self.cooldown_seconds)
        if fault == "shed" or self.is_full():
            return self._refuse(writer, arrival, OVERLOAD_STATUS)
        try:
            return await self.async_run(request, arrival, fault, writer)
        finally:
            arrival.ended_at = asyncio.get_running_loop().time()

    def is_full(self) -> bool:
        """Return whether the queue is full."""
        return self.waiting >= self.plan.queue

    async def async_run(
        self,
        request: PlainRequest,
        arrival: Arrival,
        fault: str,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run and answer a request; return whether to keep the connection open."""
        self.waiting += 1
        try:
            async with self._slots:
                self.waiting -= 1
                self.active += 1
                arrival.has_run = True
                try:
                    seconds = self.plan.work_seconds
                    await asyncio.sleep(
                        seconds * self.random.uniform(*WORK_TIME_FACTORS)
                    )
                finally:
                    self.active -= 1
                    self.waiting += 1
        finally:
            self.waiting -= 1
        if request.body.startswith(CRASH_PREFIX):
            self.crash_during(arrival)
            return False
        arrival.status = 500 if fault == "error" else 200
        arrival.body = self._build_body(arrival)
        return await self._async_answer(arrival, fault, writer)

    def _record_arrival(self, request: PlainRequest) -> Arrival:
        arrival = Arrival(
            request.headers["x-request-id"],
            self.id,
            self.plan.service,
            asyncio.get_running_loop().time(),
            request.method,
            request.target,
            request.headers,
            hashlib.sha256(request.body).hexdigest(),
            self.withdrawn_at,
            zone=self.plan.zone,
        )
        self.arrivals.append(arrival)
        return arrival

    def _build_body(self, arrival: Arrival) -> bytes:
        line = f"{arrival.request_id}:{arrival.runner_id}:{arrival.status}\n".encode()
        return (line * (self.plan.answer_bytes // len(line) + 1))[
            : self.plan.answer_bytes
        ]

    def build_answer_head(
        self, arrival: Arrival, framing: tuple[tuple[str, str], ...]
    ) -> bytes:
        """Return the head of an answer, with its response seal."""
        load = f"{self.active},{self.waiting},{self.plan.slots}"
        headers = [
            ("X-Request-Id", arrival.request_id),
            ("X-Response-Seal", f"{arrival.runner_id}.{arrival.request_id}"),
            ("X-Server-Load", load),
            *self._build_statements(arrival),
            *framing,
        ]
        if self.is_draining:
            headers.append(("Connection", "close"))
        return build_head(arrival.status, headers)

    async def _async_answer(
        self, arrival: Arrival, fault: str, writer: asyncio.StreamWriter
    ) -> bool:
        if fault in ("lose_answer", "break_off"):
            arrival.is_aborted = True
            return False
        if fault == "reset":
            arrival.is_aborted = True
            reset_connection(writer)
            return False
        if fault == "garbage":
            arrival.is_aborted = True
            writer.write(b"\x16\x03\x01 this is no answer\r\n\r\n")
            return False
        length = ("Content-Length", str(len(arrival.body)))
        framing = () if fault == "no_length" else (length,)
        body = arrival.body
        if fault == "truncate":
            arrival.is_aborted = True
            body = body[: len(body) // 2]
        writer.write(self.build_answer_head(arrival, framing) + body)
        if fault == "extra":
            writer.write(self.build_answer_head(arrival, framing) + body)
        return fault == ""

    def _refuse(
        self,
        writer: asyncio.StreamWriter,
        arrival: Arrival | None,
        status: int,
        more: tuple[tuple[str, str], ...] = (),
    ) -> bool:
        headers = [("X-Not-Run", "1"), ("X-Instance-Id", self.id), *more]
        if arrival is not None:
            arrival.status = status
            headers.append(("X-Request-Id", arrival.request_id))
            headers += self._build_statements(arrival)
        writer.write(build_head(status, [*headers, ("Content-Length", "0")]))
        return True

    def _ask_for_cooldown(
        self, writer: asyncio.StreamWriter, arrival: Arrival, seconds: float
    ) -> bool:
        arrival.cooldown_seconds = seconds
        arrival.ended_at = asyncio.get_running_loop().time()
        header = ("Retry-After", f"{seconds:g}")
        return self._refuse(writer, arrival, OVERLOAD_STATUS, (header,))

    async def _async_answer_health(
        self, request: PlainRequest, writer: asyncio.StreamWriter
    ) -> bool:
        status = 503 if self.is_draining or self.is_full() else 200
        cold = ("X-Cold-Ms", str(self._count_cold_milliseconds()))
        headers = [("X-Instance-Id", self.id), cold, ("Content-Length", "0")]
        writer.write(build_head(status, headers))
        return True

    def write_json(
        self, writer: asyncio.StreamWriter, status: int, payload: Any
    ) -> bool:
        """Write a JSON answer; return True, as the connection stays open."""
        body = orjson.dumps(payload)
        length = ("Content-Length", str(len(body)))
        writer.write(build_head(status, [JSON_TYPE, length]) + body)
        return True


def list_shared_segments(headers: Mapping[str, str]) -> tuple[str, ...]:
    """Return the ids of a prompt's segments but for the last, which is its own."""
    entries = headers.get("x-prompt-prefix", "").split(",")
    return tuple(entry.partition(":")[0] for entry in entries[:-1])
