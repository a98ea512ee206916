"""Stand-in for a model runner: streams, delayed load reports and reservations."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import orjson

from tarragonward_core import Address

from .platform_engine import PassEngine, PassSizes, PassWork
from .platform_http import PlainRequest, reset_connection
from .platform_reservations import ReservationLog
from .platform_runner import (
    CRASH_PREFIX,
    Arrival,
    ArrivalLog,
    PlatformRunner,
    RunnerPlan,
)
from .platform_store import PlatformStore

__all__ = ["ModelRunner", "RunnersByAddress", "build_stream_event"]

CHUNKED = ("Transfer-Encoding", "chunked")
EVENT_STREAM = ("Content-Type", "text/event-stream")
LAST_CHUNK = b"0\r\n\r\n"
MILLISECONDS = 1_000
MAX_HELPERS = 16
REPORT_STEP_SECONDS = 0.02
EVENTS_BEFORE_FAULT = 2
# With these, a stream is complete.
HARMLESS_FAULTS = ("", "extra", "no_length")
CRASH_SECONDS = 0.05
STALL_SECONDS = 1.5
WEIGHTS_HEADER = "X-Weight-Versions"

RunnersByAddress = dict[str, "ModelRunner"]


def build_stream_event(
    prompt_id: str, number: int, is_last: bool, step: int = 1
) -> bytes:
    """Return one event of the answer to a prompt, the same from every runner.

    Ids increase by step.
    """
    end = " end" if is_last else ""
    return f"id: {number * step}\ndata: {prompt_id} {number}{end}\n\n".encode()


@dataclass(frozen=True)
class _StreamFailure:
    """A stream cannot continue; failed_runner is the address of the cause, if any."""

    failed_runner: str = ""


@dataclass(eq=False)
class _Stream:
    """A request on the engine and its parts on other engines.

    Each item of events tells whether the event is the last one, or that the stream
    failed.
    """

    work: PassWork
    events: asyncio.Queue[bool | _StreamFailure] = field(default_factory=asyncio.Queue)
    parts: list[tuple[ModelRunner, PassWork]] = field(default_factory=list)
    reservations: list[tuple[ModelRunner, str]] = field(default_factory=list)


class ModelRunner(PlatformRunner):
    """A runner that streams answers as its engine's passes generate them."""

    def __init__(
        self,
        plan: RunnerPlan,
        store: PlatformStore,
        arrivals: ArrivalLog,
        seed: int,
        sizes: PassSizes,
        runners_by_address: RunnersByAddress,
        address: Address | None = None,
        report_lag_seconds: float = 0.2,
        event_step: int = 1,
    ) -> None:
        super().__init__(plan, store, arrivals, seed, address)
        self._event_step = event_step
        self.engine = PassEngine(sizes)
        self._runners_by_address = runners_by_address
        self._streams: dict[PassWork, _Stream] = {}
        self._part_owners: dict[PassWork, tuple[ModelRunner, PassWork]] = {}
        self._reservation_users: dict[str, tuple[ModelRunner, PassWork]] = {}
        self.reservation_log = ReservationLog(self.id)
        self.weights_version = 1
        self._work_added = asyncio.Event()
        self._pass_task: asyncio.Task[None] | None = None
        self._report_task: asyncio.Task[None] | None = None
        self._reports: deque[dict[str, Any]] = deque(
            maxlen=max(1, round(report_lag_seconds / REPORT_STEP_SECONDS))
        )
        self.route("GET", "/report", self._async_report)
        self.route("POST", "/order", self._async_handle_order)

    async def async_setup(self) -> None:
        """Listen, register and start running passes."""
        await super().async_setup()
        self._runners_by_address[str(self.address)] = self
        self._pass_task = asyncio.create_task(self._async_run_passes())
        self._report_task = asyncio.create_task(self._async_record_reports())

    async def async_unload(self) -> None:
        """Stop at once."""
        for task in (self._pass_task, self._report_task):
            if task is not None:
                task.cancel()
        for runner, work in {
            *self._part_owners.values(),
            *self._reservation_users.values(),
        }:
            if runner is not self:
                runner._stall(work, str(self.address))
        self.reservation_log.update((), asyncio.get_running_loop().time())
        self._runners_by_address.pop(str(self.address), None)
        await super().async_unload()

    def is_full(self) -> bool:
        """Return whether the queue is full."""
        return len(self.engine.waiting) >= self.plan.queue

    async def async_run(
        self,
        request: PlainRequest,
        arrival: Arrival,
        fault: str,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Queue the prompt and stream the answer."""
        stream = self._build_stream(request)
        if stream is None:
            self._record_end_of_use(request)
            return self._refuse(writer, arrival, 503)
        try:
            self._start_stream(stream)
            return await self._async_stream(stream, request, arrival, fault, writer)
        finally:
            self._end_stream(stream)
            self._record_end_of_use(request)

    def _build_stream(self, request: PlainRequest) -> _Stream | None:
        counts = request.headers.get("x-token-counts", "1000,100").split(",")
        prompt, answer = int(counts[0]), max(1, int(counts[1]))
        urgency = int(request.headers.get("x-request-urgency", "5"))
        request_id = request.headers["x-request-id"]
        stream = _Stream(PassWork(request_id, prompt, answer, urgency))
        entries = [e for e in request.headers.get("x-helpers", "").split(",") if e]
        if entries and not self._add_helpers(stream, entries[:MAX_HELPERS]):
            return None
        if stream.work.local_tokens - stream.work.reserved_tokens > (
            self.engine.sizes.memory_tokens
        ):
            return None
        return stream

    def _add_helpers(self, stream: _Stream, entries: list[str]) -> bool:
        work = stream.work
        helpers: list[ModelRunner] = []
        reserved = 0
        for entry in entries:
            address, _, reservation_id = entry.strip().partition("/")
            runner = self._runners_by_address.get(address)
            reservation = (
                runner.engine.reservations.get(reservation_id) if runner else None
            )
            if (
                runner is None
                or runner.is_draining
                or (reservation_id and reservation is None)
            ):
                return False
            if reservation is not None:
                runner._record_use(reservation_id, work.id)
                if reservation.is_waiting or reservation.used_by:
                    return False
                stream.reservations.append((runner, reservation_id))
                reserved += reservation.tokens
            if runner is not self:
                helpers.append(runner)
        parts = len(helpers) + 1
        share = -(-work.prompt_tokens // parts)
        work.part_tokens = share
        # What the reservations do not cover uses memory of this engine.
        work.reserved_tokens = min(share, reserved)
        work.pending_parts = len(helpers)
        work.hop_ms = self.engine.sizes.hop_ms if helpers else 0.0
        for number, runner in enumerate(helpers):
            part = PassWork(
                f"{work.id}/{number}",
                work.prompt_tokens,
                0,
                part_tokens=share,
                is_part=True,
                reserved_tokens=share,
            )
            stream.parts.append((runner, part))
        return True

    def _start_stream(self, stream: _Stream) -> None:
        for runner, reservation_id in stream.reservations:
            runner.engine.reservations[reservation_id].used_by = stream.work.id
            runner._reservation_users[reservation_id] = (self, stream.work)
        for runner, part in stream.parts:
            runner._part_owners[part] = (self, stream.work)
            runner.engine.add(part)
            runner._work_added.set()
        self._streams[stream.work] = stream
        self.engine.add(stream.work)
        self._work_added.set()

    def _end_stream(self, stream: _Stream) -> None:
        self._streams.pop(stream.work, None)
        self.engine.remove(stream.work)
        for runner, part in stream.parts:
            runner._part_owners.pop(part, None)
            runner.engine.remove(part)
        for runner, reservation_id in stream.reservations:
            reservation = runner.engine.reservations.get(reservation_id)
            if reservation is not None and reservation.used_by == stream.work.id:
                reservation.used_by = ""
                runner._reservation_users.pop(reservation_id, None)

    def change_weights(self) -> None:
        """Load the next weights version; streams announce it with their next event."""
        self.weights_version += 1

    def _record_use(self, reservation_id: str, request_id: str) -> None:
        self.reservation_log.update(self.engine.reservations.values(), self._now())
        record = self.reservation_log.get(reservation_id)
        if record is not None:
            record.begin_use(request_id)

    def _record_end_of_use(self, request: PlainRequest) -> None:
        """Record the end of a request with each reservation that it named."""
        for entry in request.headers.get("x-helpers", "").split(","):
            address, _, reservation_id = entry.strip().partition("/")
            runner = self._runners_by_address.get(address)
            record = (
                runner.reservation_log.get(reservation_id)
                if runner is not None
                else None
            )
            if record is not None:
                record.end_use(request.headers["x-request-id"], self._now())

    def _expire(self) -> None:
        expired = self.engine.expire(self._now())
        self.reservation_log.update(self.engine.reservations.values(), self._now())
        for reservation in expired:
            self._fail_reservation_user(reservation.id)

    def _fail_reservation_user(self, reservation_id: str) -> None:
        user = self._reservation_users.pop(reservation_id, None)
        if user is not None:
            runner, work = user
            runner._fail_stream(work, _StreamFailure())

    def _stall(self, work: PassWork, failed_runner: str) -> None:
        """Stall a request that depends on a dead runner, then fail it."""
        work.pending_parts += 1
        asyncio.get_running_loop().call_later(
            STALL_SECONDS, self._fail_stream, work, _StreamFailure(failed_runner)
        )

    def _fail_stream(self, work: PassWork, reason: _StreamFailure) -> None:
        stream = self._streams.get(work)
        if stream is not None:
            stream.events.put_nowait(reason)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _answer_failure(
        self,
        arrival: Arrival,
        number: int,
        reason: _StreamFailure,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if number == 0 and reason.failed_runner:
            head = ("At-Server", reason.failed_runner)
            return self._refuse(writer, arrival, 503, (head,))
        arrival.is_aborted = True
        return False

    async def _async_stream(
        self,
        stream: _Stream,
        request: PlainRequest,
        arrival: Arrival,
        fault: str,
        writer: asyncio.StreamWriter,
    ) -> bool:
        arrival.status = 200
        skipped = int(request.headers.get("last-event-id", "0")) // self._event_step
        prompt_id = request.headers.get("x-prompt-prefix", "").rpartition(",")[2]
        number = 0
        is_last = False
        is_chunked = fault != "no_length"
        sent_version = self.weights_version
        while not is_last:
            event = await stream.events.get()
            if isinstance(event, _StreamFailure):
                return self._answer_failure(arrival, number, event, writer)
            is_last = event
            number += 1
            if number == 1:
                arrival.has_run = True
                sent_version = self.weights_version
                weights = (WEIGHTS_HEADER, str(sent_version))
                framing = (EVENT_STREAM, weights)
                if is_chunked:
                    framing += (CHUNKED,)
                writer.write(self.build_answer_head(arrival, framing))
                arrival.crashing_segment = self.find_crashing_segment(request)
                if arrival.crashing_segment or request.body.startswith(CRASH_PREFIX):
                    await asyncio.sleep(CRASH_SECONDS)
                    self.crash_during(arrival)
                    return False
            if number <= skipped:
                continue
            step = self._event_step
            data = build_stream_event(prompt_id, number, is_last, step)
            if sent_version != self.weights_version:
                sent_version = self.weights_version
                data = f"{WEIGHTS_HEADER.lower()}: {sent_version}\n".encode() + data
            if fault not in HARMLESS_FAULTS and number > skipped + EVENTS_BEFORE_FAULT:
                return self._abort_answer(arrival, fault, data, writer)
            arrival.body += data
            if is_chunked:
                data = f"{len(data):x}\r\n".encode() + data + b"\r\n"
            writer.write(data)
            await writer.drain()
        writer.write(LAST_CHUNK if is_chunked else b"")
        return is_chunked

    def _abort_answer(
        self, arrival: Arrival, fault: str, data: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        arrival.is_aborted = True
        part = data[: len(data) // 2]
        writer.write(f"{len(data):x}\r\n".encode() + part)
        if fault == "reset":
            reset_connection(writer)
        return False

    async def _async_run_passes(self) -> None:
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        while True:
            self._expire()
            if not self.engine.has_work:
                self._work_added.clear()
                await self._work_added.wait()
                next_at = loop.time()
            result = self.engine.begin_pass()
            # Sleeps overrun; scheduling from the previous pass's end keeps the pace.
            next_at = max(next_at + max(result.seconds, 0.0005), loop.time() - 0.05)
            await asyncio.sleep(next_at - loop.time())
            for work, tokens in result.decoded:
                self._emit_event(work, tokens)
            for work in self.engine.end_pass(result):
                self._handle_prefilled(work)

    def _emit_event(self, work: PassWork, tokens: int) -> None:
        stream = self._streams.get(work)
        if stream is None:
            return
        stream.events.put_nowait(work.generated_tokens + tokens >= work.answer_tokens)

    def _handle_prefilled(self, work: PassWork) -> None:
        owner = self._part_owners.get(work)
        if owner is not None:
            runner, leader = owner
            leader.pending_parts -= 1
            runner._start_decoding(leader)
            return
        self._start_decoding(work)

    def _start_decoding(self, work: PassWork) -> None:
        if work.is_prefilled and not work.pending_parts and not work.generated_tokens:
            work.generated_tokens = 1
            self._emit_first_event(work)

    def _emit_first_event(self, work: PassWork) -> None:
        stream = self._streams.get(work)
        if stream is not None:
            stream.events.put_nowait(work.answer_tokens <= 1)
            self._work_added.set()

    async def _async_record_reports(self) -> None:
        while True:
            self._expire()
            self._reports.append(self._build_report())
            await asyncio.sleep(REPORT_STEP_SECONDS)

    def _build_report(self) -> dict[str, Any]:
        engine, now = self.engine, asyncio.get_running_loop().time()
        return {
            "stage": "hybrid",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "waiting": len(engine.waiting),
            "running": sum(not work.is_part for work in engine.running),
            "kvUsed": engine.held_tokens,
            "kvTotal": engine.sizes.memory_tokens,
            "handles": 0,
            "pace": engine.pace,
            "tickets": [
                {
                    "id": reservation.id,
                    "tokens": reservation.tokens,
                    "state": "waiting"
                    if reservation.is_waiting
                    else ("used" if reservation.used_by else "held"),
                    "ageMs": round((now - reservation.created_at) * MILLISECONDS),
                }
                for reservation in engine.reservations.values()
            ],
        }

    async def _async_report(
        self, request: PlainRequest, writer: asyncio.StreamWriter
    ) -> bool:
        report = self._reports[0] if self._reports else self._build_report()
        return self.write_json(writer, 200, report)

    async def _async_handle_order(
        self, request: PlainRequest, writer: asyncio.StreamWriter
    ) -> bool:
        order = orjson.loads(request.body)
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return self.write_json(writer, 421, {})
        if order.get("op") == "release":
            self.engine.release(order["id"])
            self._fail_reservation_user(order["id"])
            return self.write_json(writer, 200, {"free": self.engine.free_tokens})
        if order.get("op") != "reserve":
            return self.write_json(writer, 400, {})
        now = asyncio.get_running_loop().time()
        hold = order["holdMs"] / MILLISECONDS
        wait = bool(order.get("wait"))
        status = self.engine.reserve(order["id"], order["tokens"], hold, wait, now)
        free = 0 if status == 202 else max(0, self.engine.free_tokens)
        return self.write_json(writer, status, {"free": free})
