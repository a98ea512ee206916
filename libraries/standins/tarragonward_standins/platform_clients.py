"""Clients of the platform, with attempts, retries and resumed streams as specified."""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonward_core import Address

from .platform_http import HEAD_END, LINE_END

__all__ = ["Attempt", "ClientRequest", "PlatformClient", "RequestPlan"]

CONNECT_SECONDS = 1.0
FINAL_STATUSES = (400, 401, 404, 413, 431)
NOT_RUN_STATUSES = (408, 421, 429, 503)
MILLISECONDS = 1_000
BACKOFF_SECONDS = 0.05
STATUSES_WITHOUT_BODY = (204, 304)
EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"^id: ([0-9]+)$", re.MULTILINE)

Headers = dict[str, str]


@dataclass(frozen=True)
class RequestPlan:
    """A request for a client to make; times in seconds."""

    route: str
    kind: str
    host: str
    path: str
    method: str = "POST"
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    deadline_seconds: float = 5.0
    aim_seconds: float = 1.0
    timeout_seconds: float = 5.0
    retries: int = 1
    prompt_id: str = ""
    is_resumable: bool = False
    disconnect_after_seconds: float | None = None
    is_chunked: bool = False

    @property
    def may_repeat(self) -> bool:
        """Return whether the request may run more than once."""
        return self.kind == "idempotent" or self.is_resumable


@dataclass(eq=False)
class Attempt:
    """One attempt, as seen on the client's socket; times are the event loop's."""

    request_id: str
    node: Address
    sent_at: float
    headers: Headers
    last_event_id: int = 0
    status: int = 0
    answer: Headers = field(default_factory=dict)
    body: bytes = b""
    first_event_at: float | None = None
    ended_at: float | None = None
    is_complete: bool = False
    has_disconnected: bool = False
    # Whether the client's plan is to leave before its deadline.
    leaves_early: bool = False
    has_sent: bool = False


@dataclass(eq=False)
class ClientRequest:
    """A request with all its attempts."""

    plan: RequestPlan
    began_at: float
    attempts: list[Attempt] = field(default_factory=list)
    received_events: bytes = b""
    first_event_at: float | None = None
    ended_at: float = 0.0

    @property
    def is_success(self) -> bool:
        """Return whether the last attempt got the complete answer."""
        last = self.attempts[-1] if self.attempts else None
        return last is not None and last.is_complete and last.status // 100 == 2

    @property
    def is_late(self) -> bool:
        """Return whether the answer, or a stream's first event, missed its aim."""
        first = self.first_event_at if self.plan.kind == "stream" else self.ended_at
        return first is None or first - self.began_at > self.plan.aim_seconds


@dataclass(eq=False)
class _Connection:
    node: Address
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class PlatformClient:
    """A client that keeps one connection alive and retries on new ones.

    choose_host returns the host of a new connection, given whether it is for a retry;
    keeps_connection: whether its next request uses the connection of the last one.
    """

    def __init__(
        self, choose_host: Callable[[bool], Address], key: str, seed: int
    ) -> None:
        self._choose_host = choose_host
        self._key = key
        self._random = random.Random(seed)
        self._idle_connection: _Connection | None = None
        self.keeps_connection = True
        self.requests: list[ClientRequest] = []

    async def async_request(self, plan: RequestPlan) -> ClientRequest:
        """Send a request, with retries, within its deadline."""
        loop = asyncio.get_running_loop()
        request = ClientRequest(plan, loop.time())
        self.requests.append(request)
        deadline = request.began_at + plan.deadline_seconds
        for number in range(plan.retries + 1):
            attempt = await self._async_attempt(request, deadline, is_new=number > 0)
            wait = self._compute_retry_delay(plan, attempt, deadline - loop.time())
            if wait is None:
                break
            await asyncio.sleep(wait)
        request.ended_at = loop.time()
        return request

    def close(self) -> None:
        """Close the idle connection."""
        if self._idle_connection is not None:
            self._idle_connection.writer.close()
            self._idle_connection = None

    def _compute_retry_delay(
        self, plan: RequestPlan, attempt: Attempt, remaining: float
    ) -> float | None:
        """Return the delay before the next attempt, or None for no retry."""
        if remaining <= 0 or attempt.has_disconnected:
            return None
        if attempt.is_complete:
            if attempt.status // 100 == 2 or attempt.status in FINAL_STATUSES:
                return None
            if attempt.status in NOT_RUN_STATUSES:
                retry_after = float(attempt.answer.get("retry-after", BACKOFF_SECONDS))
                return min(retry_after, remaining / 3)
        if plan.may_repeat or not attempt.has_sent:
            return self._random.uniform(0, BACKOFF_SECONDS)
        return None

    async def _async_attempt(
        self, request: ClientRequest, deadline: float, is_new: bool
    ) -> Attempt:
        loop = asyncio.get_running_loop()
        plan = request.plan
        attempt = Attempt(
            f"{self._random.getrandbits(64):016x}",
            self._choose_host(is_new),
            loop.time(),
            {},
        )
        request.attempts.append(attempt)
        leave_at = deadline
        if plan.disconnect_after_seconds is not None:
            leave_at = min(leave_at, attempt.sent_at + plan.disconnect_after_seconds)
            attempt.leaves_early = True
        connection = None
        is_reusable = False
        try:
            async with asyncio.timeout_at(leave_at):
                connection = await self._async_connect(attempt, is_new)
                await self._async_send(connection, request, attempt, deadline)
                is_reusable = await self._async_read(connection, request, attempt)
        except TimeoutError:
            attempt.has_disconnected = True
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            attempt.ended_at = loop.time()
            if connection is not None:
                self._release_connection(connection, is_reusable)
        return attempt

    def _release_connection(self, connection: _Connection, is_reusable: bool) -> None:
        if is_reusable and self.keeps_connection and self._idle_connection is None:
            self._idle_connection = connection
        else:
            connection.writer.transport.abort()

    async def _async_connect(self, attempt: Attempt, is_new: bool) -> _Connection:
        idle, self._idle_connection = self._idle_connection, None
        if idle is not None and (is_new or idle.reader.at_eof()):
            idle.writer.close()
            idle = None
        if idle is not None:
            attempt.node = idle.node
            return idle
        node = attempt.node
        async with asyncio.timeout(CONNECT_SECONDS):
            return _Connection(node, *await asyncio.open_connection(*_split(node)))

    async def _async_send(
        self,
        connection: _Connection,
        request: ClientRequest,
        attempt: Attempt,
        deadline: float,
    ) -> None:
        plan = request.plan
        ids = EVENT_ID.findall(request.received_events)
        attempt.last_event_id = int(ids[-1]) if ids else 0
        remaining = deadline - asyncio.get_running_loop().time()
        headers = [
            ("Host", plan.host),
            ("X-Request-Id", attempt.request_id),
            *plan.headers,
            ("X-Deadline-Ms", str(max(1, int(remaining * MILLISECONDS)))),
            ("X-Key", self._key),
        ]
        if attempt.last_event_id:
            headers.append(("Last-Event-Id", str(attempt.last_event_id)))
        body = plan.body
        if plan.is_chunked and body:
            headers.append(("Transfer-Encoding", "chunked"))
            body = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
        elif body:
            headers.append(("Content-Length", str(len(body))))
        attempt.headers = {name.lower(): value for name, value in headers}
        lines = [f"{plan.method} {plan.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        attempt.sent_at = asyncio.get_running_loop().time()
        attempt.has_sent = True
        connection.writer.write("\r\n".join(lines).encode() + HEAD_END + body)

    async def _async_read(
        self, connection: _Connection, request: ClientRequest, attempt: Attempt
    ) -> bool:
        reader = connection.reader
        head = (await reader.readuntil(HEAD_END)).decode("latin-1")
        first_line, *lines = head.strip().split("\r\n")
        for line in lines:
            name, _, value = line.partition(":")
            attempt.answer[name.lower()] = value.strip()
        attempt.status = int(first_line.split()[1])
        if "transfer-encoding" in attempt.answer:
            await self._async_read_chunks(reader, request, attempt)
        elif attempt.status not in STATUSES_WITHOUT_BODY:
            length = int(attempt.answer["content-length"])
            attempt.body = await reader.readexactly(length)
        attempt.is_complete = True
        return attempt.answer.get("connection", "").lower() != "close"

    async def _async_read_chunks(
        self,
        reader: asyncio.StreamReader,
        request: ClientRequest,
        attempt: Attempt,
    ) -> None:
        earlier_events = request.received_events
        while True:
            size = int((await reader.readuntil(LINE_END)).strip(), 16)
            part = await reader.readexactly(size + len(LINE_END))
            if not size:
                return
            now = asyncio.get_running_loop().time()
            attempt.body += part[:size]
            attempt.first_event_at = attempt.first_event_at or now
            request.first_event_at = request.first_event_at or now
            # Only complete events count; a partial one is requested again.
            complete_events = attempt.body.rpartition(EVENT_END)
            request.received_events = (
                earlier_events + complete_events[0] + complete_events[1]
            )


def _split(address: Address) -> tuple[str, int]:
    return address.host, address.port
