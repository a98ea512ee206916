"""Stand in for a model runner: streams by passes, reports with lag, reservations."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import orjson

from .platform_engine import PassEngine, PassSizes, PassWork
from .platform_http import PlainRequest, async_reset_connection
from .platform_runner import (
    CRASH_MARK,
    Arrival,
    Journal,
    PlatformRunner,
    RunnerPlan,
)
from .platform_store import PlatformStore
from .platform_tickets import TicketJournal

__all__ = ["ModelRunner", "Neighbours", "build_piece"]

CHUNKED = ("Transfer-Encoding", "chunked")
EVENT_STREAM = ("Content-Type", "text/event-stream")
LAST_CHUNK = b"0\r\n\r\n"
MILLISECONDS = 1_000
MAX_HELPERS = 16
REPORT_STEP_SECONDS = 0.02
PIECES_BEFORE_FAULT = 2
CRASH_SECONDS = 0.05
STALL_SECONDS = 1.5
WEIGHTS_HEADER = "X-Weight-Versions"

Neighbours = dict[str, "ModelRunner"]


def build_piece(subject: str, number: int, is_last: bool) -> bytes:
    """Return one event of the answer to a subject, the same from every runner."""
    end = " end" if is_last else ""
    return f"id: {number}\ndata: {subject} {number}{end}\n\n".encode()


@dataclass(frozen=True)
class _CutOff:
    """A stream cannot go on; at_server is the runner at fault where there is one."""

    at_server: str = ""


@dataclass(eq=False)
class _Stream:
    """A request at the engine: its events (is it the last?), and its helpers' parts."""

    work: PassWork
    events: asyncio.Queue[bool | _CutOff] = field(default_factory=asyncio.Queue)
    parts: list[tuple[ModelRunner, PassWork]] = field(default_factory=list)
    tickets: list[tuple[ModelRunner, str]] = field(default_factory=list)


class ModelRunner(PlatformRunner):
    """A runner whose answers are streams, written in passes."""

    def __init__(
        self,
        plan: RunnerPlan,
        store: PlatformStore,
        journal: Journal,
        seed: int,
        sizes: PassSizes,
        neighbours: Neighbours,
        report_lag_seconds: float = 0.2,
    ) -> None:
        super().__init__(plan, store, journal, seed)
        self.engine = PassEngine(sizes)
        self._neighbours = neighbours
        self._streams: dict[PassWork, _Stream] = {}
        self._part_owners: dict[PassWork, tuple[ModelRunner, PassWork]] = {}
        self._ticket_users: dict[str, tuple[ModelRunner, PassWork]] = {}
        self.tickets = TicketJournal(self.id)
        self.weights_version = 1
        self._has_work = asyncio.Event()
        self._passing: asyncio.Task[None] | None = None
        self._reporting: asyncio.Task[None] | None = None
        self._reports: deque[dict[str, Any]] = deque(
            maxlen=max(1, round(report_lag_seconds / REPORT_STEP_SECONDS))
        )
        self.route("GET", "/report", self._async_report)
        self.route("POST", "/order", self._async_take_order)

    async def async_setup(self) -> None:
        """Listen, register and begin to work through passes."""
        await super().async_setup()
        self._neighbours[str(self.address)] = self
        self._passing = asyncio.create_task(self._async_pass())
        self._reporting = asyncio.create_task(self._async_note_reports())

    async def async_unload(self) -> None:
        """Leave at once."""
        for task in (self._passing, self._reporting):
            if task is not None:
                task.cancel()
        for runner, work in {
            *self._part_owners.values(),
            *self._ticket_users.values(),
        }:
            if runner is not self:
                runner._stall(work, str(self.address))
        self.tickets.note((), asyncio.get_running_loop().time())
        self._neighbours.pop(str(self.address), None)
        await super().async_unload()

    def is_full(self) -> bool:
        """Return whether one more request would find no place in the queue."""
        return len(self.engine.waiting) >= self.plan.queue

    async def async_run(
        self,
        request: PlainRequest,
        arrival: Arrival,
        fault: str,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Read the prompt and stream the answer."""
        stream = self._build_stream(request)
        if stream is None:
            self._note_unused(request)
            return self._refuse(writer, arrival, 503)
        try:
            self._begin(stream)
            return await self._async_stream(stream, request, arrival, fault, writer)
        finally:
            self._end(stream)
            self._note_unused(request)

    def _build_stream(self, request: PlainRequest) -> _Stream | None:
        counts = request.headers.get("x-token-counts", "1000,100").split(",")
        prompt, answer = int(counts[0]), max(1, int(counts[1]))
        urgency = int(request.headers.get("x-request-urgency", "5"))
        request_id = request.headers["x-request-id"]
        stream = _Stream(PassWork(request_id, prompt, answer, urgency))
        entries = [e for e in request.headers.get("x-helpers", "").split(",") if e]
        if entries and not self._add_helpers(stream, entries[:MAX_HELPERS]):
            return None
        if stream.work.own_tokens - stream.work.ticket_tokens > (
            self.engine.sizes.memory_tokens
        ):
            return None
        return stream

    def _add_helpers(self, stream: _Stream, entries: list[str]) -> bool:
        work = stream.work
        helpers: list[ModelRunner] = []
        stored = 0
        for entry in entries:
            address, _, ticket_id = entry.strip().partition("/")
            runner = self._neighbours.get(address)
            ticket = runner.engine.tickets.get(ticket_id) if runner else None
            if runner is None or runner.is_leaving or (ticket_id and ticket is None):
                return False
            if ticket is not None:
                runner._note_use(ticket_id, work.id)
                if ticket.is_waiting or ticket.used_by:
                    return False
                stream.tickets.append((runner, ticket_id))
                stored += ticket.tokens
            if runner is not self:
                helpers.append(runner)
        parts = len(helpers) + 1
        share = -(-work.prompt_tokens // parts)
        work.part_tokens = share
        # What the tickets do not hold is stored here.
        work.ticket_tokens = min(share, stored)
        work.waits_for = len(helpers)
        work.hop_ms = self.engine.sizes.hop_ms if helpers else 0.0
        for number, runner in enumerate(helpers):
            part = PassWork(
                f"{work.id}/{number}",
                work.prompt_tokens,
                0,
                part_tokens=share,
                is_part=True,
                ticket_tokens=share,
            )
            stream.parts.append((runner, part))
        return True

    def _begin(self, stream: _Stream) -> None:
        for runner, ticket_id in stream.tickets:
            runner.engine.tickets[ticket_id].used_by = stream.work.id
            runner._ticket_users[ticket_id] = (self, stream.work)
        for runner, part in stream.parts:
            runner._part_owners[part] = (self, stream.work)
            runner.engine.add(part)
            runner._has_work.set()
        self._streams[stream.work] = stream
        self.engine.add(stream.work)
        self._has_work.set()

    def _end(self, stream: _Stream) -> None:
        self._streams.pop(stream.work, None)
        self.engine.remove(stream.work)
        for runner, part in stream.parts:
            runner._part_owners.pop(part, None)
            runner.engine.remove(part)
        for runner, ticket_id in stream.tickets:
            ticket = runner.engine.tickets.get(ticket_id)
            if ticket is not None and ticket.used_by == stream.work.id:
                ticket.used_by = ""
                runner._ticket_users.pop(ticket_id, None)

    def change_weights(self) -> None:
        """Load the next version; streams tell of it at their next event."""
        self.weights_version += 1

    def _note_use(self, ticket_id: str, request_id: str) -> None:
        self.tickets.note(self.engine.tickets.values(), self._now())
        record = self.tickets.get(ticket_id)
        if record is not None:
            record.begin_use(request_id)

    def _note_unused(self, request: PlainRequest) -> None:
        """Note that a request has ended or was rejected, whatever it got of them."""
        for entry in request.headers.get("x-helpers", "").split(","):
            address, _, ticket_id = entry.strip().partition("/")
            runner = self._neighbours.get(address)
            record = runner.tickets.get(ticket_id) if runner is not None else None
            if record is not None:
                record.end_use(request.headers["x-request-id"], self._now())

    def _expire(self) -> None:
        gone = self.engine.expire(self._now())
        self.tickets.note(self.engine.tickets.values(), self._now())
        for ticket in gone:
            self._cut_off_user(ticket.id)

    def _cut_off_user(self, ticket_id: str) -> None:
        user = self._ticket_users.pop(ticket_id, None)
        if user is not None:
            runner, work = user
            runner._cut_off(work, _CutOff())

    def _stall(self, work: PassWork, at_server: str) -> None:
        """Let work that depends on a dead runner stand still, then end it."""
        work.waits_for += 1
        asyncio.get_running_loop().call_later(
            STALL_SECONDS, self._cut_off, work, _CutOff(at_server)
        )

    def _cut_off(self, work: PassWork, reason: _CutOff) -> None:
        stream = self._streams.get(work)
        if stream is not None:
            stream.events.put_nowait(reason)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _end_early(
        self,
        arrival: Arrival,
        number: int,
        reason: _CutOff,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if number == 0 and reason.at_server:
            head = ("At-Server", reason.at_server)
            return self._refuse(writer, arrival, 503, (head,))
        arrival.has_broken_off = True
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
        skipped = int(request.headers.get("last-event-id", "0"))
        subject = request.headers.get("x-prompt-prefix", "").rpartition(",")[2]
        number = 0
        is_last = False
        told_version = self.weights_version
        while not is_last:
            event = await stream.events.get()
            if isinstance(event, _CutOff):
                return self._end_early(arrival, number, event, writer)
            is_last = event
            number += 1
            if number == 1:
                arrival.has_run = True
                told_version = self.weights_version
                weights = (WEIGHTS_HEADER, str(told_version))
                framing = (EVENT_STREAM, CHUNKED, weights)
                writer.write(self.build_answer_head(arrival, framing))
                if request.body.startswith(CRASH_MARK):
                    await asyncio.sleep(CRASH_SECONDS)
                    self.crash_by(arrival)
                    return False
            if number <= skipped:
                continue
            data = build_piece(subject, number, is_last)
            if told_version != self.weights_version:
                told_version = self.weights_version
                data = f"{WEIGHTS_HEADER.lower()}: {told_version}\n".encode() + data
            if fault and fault != "extra" and number > skipped + PIECES_BEFORE_FAULT:
                return self._break_off(arrival, fault, data, writer)
            arrival.body += data
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
        writer.write(LAST_CHUNK)
        return True

    def _break_off(
        self, arrival: Arrival, fault: str, data: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        arrival.has_broken_off = True
        part = data[: len(data) // 2]
        writer.write(f"{len(data):x}\r\n".encode() + part)
        if fault == "reset":
            async_reset_connection(writer)
        return False

    async def _async_pass(self) -> None:
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        while True:
            self._expire()
            if not self.engine.has_work:
                self._has_work.clear()
                await self._has_work.wait()
                next_at = loop.time()
            result = self.engine.begin_pass()
            # Sleeps end late; counting from the last pass's end keeps the model's pace.
            next_at = max(next_at + max(result.seconds, 0.0005), loop.time() - 0.05)
            await asyncio.sleep(next_at - loop.time())
            for work, tokens in result.written:
                self._write(work, tokens)
            for work in self.engine.end_pass(result):
                self._note_read(work)

    def _write(self, work: PassWork, tokens: int) -> None:
        stream = self._streams.get(work)
        if stream is None:
            return
        stream.events.put_nowait(work.written + tokens >= work.answer_tokens)

    def _note_read(self, work: PassWork) -> None:
        owner = self._part_owners.get(work)
        if owner is not None:
            runner, whole = owner
            whole.waits_for -= 1
            runner._note_first(whole)
            return
        self._note_first(work)

    def _note_first(self, work: PassWork) -> None:
        if work.is_read and not work.waits_for and not work.written:
            work.written = 1
            self._write_first(work)

    def _write_first(self, work: PassWork) -> None:
        stream = self._streams.get(work)
        if stream is not None:
            stream.events.put_nowait(work.answer_tokens <= 1)
            self._has_work.set()

    async def _async_note_reports(self) -> None:
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
                    "id": ticket.id,
                    "tokens": ticket.tokens,
                    "state": "waiting"
                    if ticket.is_waiting
                    else ("used" if ticket.used_by else "held"),
                    "ageMs": round((now - ticket.created_at) * MILLISECONDS),
                }
                for ticket in engine.tickets.values()
            ],
        }

    async def _async_report(
        self, request: PlainRequest, writer: asyncio.StreamWriter
    ) -> bool:
        report = self._reports[0] if self._reports else self._build_report()
        return self.write_json(writer, 200, report)

    async def _async_take_order(
        self, request: PlainRequest, writer: asyncio.StreamWriter
    ) -> bool:
        order = orjson.loads(request.body)
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return self.write_json(writer, 421, {})
        if order.get("op") == "release":
            self.engine.release(order["id"])
            self._cut_off_user(order["id"])
            return self.write_json(writer, 200, {"free": self.engine.free_tokens})
        if order.get("op") != "reserve":
            return self.write_json(writer, 400, {})
        now = asyncio.get_running_loop().time()
        hold = order["holdMs"] / MILLISECONDS
        wait = bool(order.get("wait"))
        status = self.engine.reserve(order["id"], order["tokens"], hold, wait, now)
        free = 0 if status == 202 else max(0, self.engine.free_tokens)
        return self.write_json(writer, status, {"free": free})
