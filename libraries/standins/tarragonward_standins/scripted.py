"""Scripted targets and callers on raw sockets, with control over each byte."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field

from tarragonward_core import Address

__all__ = [
    "CHUNKED",
    "RawAnswer",
    "RawCaller",
    "RawRequest",
    "Script",
    "ScriptedTarget",
    "answer_with",
    "async_lose_answer",
    "async_reset",
    "build_answer",
    "build_chunk",
    "build_event",
    "refuse_with",
    "stream_events",
]

CHUNKED = "Transfer-Encoding: chunked"
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
HEALTH_REQUEST = "GET /health "
STREAM_LINES = ("Content-Type: text/event-stream",)
STATUSES_WITHOUT_BODY = (204, 304)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
WAIT_SECONDS = 10.0

RawHeaderList = list[tuple[str, str]]


def _parse_head(head: bytes) -> tuple[str, RawHeaderList]:
    first_line, *lines = head.decode("latin-1").strip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first_line, [(name, value.strip()) for name, value in pairs]


def _get_values(headers: RawHeaderList, name: str) -> list[str]:
    return [value for key, value in headers if key.lower() == name.lower()]


@dataclass
class RawRequest:
    """A request as a target received it."""

    first_line: str
    headers: RawHeaderList
    body: bytes = b""

    def get(self, name: str) -> list[str]:
        """Return the values of a header, in order."""
        return _get_values(self.headers, name)


Script = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class ScriptedTarget:
    """A target that answers one request per connection by a script.

    One with an id answers health checks by itself, unless it is full.
    caller_left is set when the caller has closed its connection.
    """

    script: Script
    id: str = ""
    reads_body: bool = True
    is_full: bool = False
    requests: list[RawRequest] = field(default_factory=list)
    caller_left: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """Return the listening address."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def async_setup(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)

    async def async_unload(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            request = RawRequest(*_parse_head(await reader.readuntil(HEAD_END)))
            if self.reads_body:
                length = int((request.get("content-length") or ["0"])[0])
                request.body = await reader.readexactly(length)
            if self._answers_health and request.first_line.startswith(HEALTH_REQUEST):
                writer.write(self._build_health_answer(request))
                await writer.drain()
                writer.close()
                return
            self.requests.append(request)
            watch_task = asyncio.ensure_future(self._async_watch(reader))
            try:
                await self._async_play(request, writer)
                await writer.drain()
            finally:
                watch_task.cancel()
        writer.close()

    @property
    def _answers_health(self) -> bool:
        return bool(self.id)

    def _build_health_answer(self, request: RawRequest) -> bytes:
        """Return what a target says to a health check, with its id."""
        if self.is_full:
            return b"HTTP/1.1 503 Busy\r\nContent-Length: 0" + HEAD_END
        is_expected = request.get("x-expected-target") in ([], [self.id])
        status = "200 OK" if is_expected else "421 Misdirected"
        lines = [f"HTTP/1.1 {status}", f"X-Target: {self.id}", "Content-Length: 0"]
        return "\r\n".join(lines).encode() + HEAD_END

    async def _async_play(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self.script(request, writer)
        except OSError:
            # A write may fail on the closed connection before _async_watch reads EOF.
            self.caller_left.set()
            raise

    async def _async_watch(self, reader: asyncio.StreamReader) -> None:
        if not self.reads_body:
            return
        with suppress(OSError):
            await reader.read(1)
        self.caller_left.set()


def build_answer(
    request: RawRequest,
    body: bytes = b"whole",
    status: str = "200 OK",
    lines: Iterable[str] = (),
    framing: Iterable[str] | None = None,
    seal: str = "X-Answer-Seal: sealed",
) -> bytes:
    """Return a sealed answer, framed by Content-Length unless framing is given."""
    if framing is None:
        framing = (f"Content-Length: {len(body)}",)
    request_id = (request.get("x-request-id") or [""])[0]
    head = [f"HTTP/1.1 {status}", f"X-Request-Id: {request_id}", seal]
    return "\r\n".join([*head, *framing, *lines]).encode() + HEAD_END + body


def answer_with(body: bytes = b"whole", status: str = "200 OK", **parts: str) -> Script:
    """Return a script that sends build_answer's answer."""

    async def script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(build_answer(request, body, status, **parts))

    return script


def refuse_with(status: str = "503 Busy", lines: Iterable[str] = ()) -> Script:
    """Return a script that refuses the request as not run."""
    head = [f"HTTP/1.1 {status}", "X-Did-Not-Run: 1", "Content-Length: 0", *lines]
    answer = "\r\n".join(head).encode() + HEAD_END

    async def script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer)

    return script


async def async_lose_answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    """Read the request and close the connection without an answer."""


async def async_reset(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    """Read the request and reset the connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def build_event(number: int) -> bytes:
    """Return one server-sent event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def build_chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def stream_events(
    numbers: Iterable[int],
    cut: bytes = b"",
    is_ended: bool = True,
    lines: Iterable[str] = (),
) -> Script:
    """Return a script that streams events, then the partial event cut.

    The last chunk is sent only if is_ended.
    """
    chunks = [build_chunk(build_event(number)) for number in numbers]

    async def script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        head_lines = (*STREAM_LINES, *lines)
        writer.write(build_answer(request, b"", "200 OK", head_lines, [CHUNKED]))
        for chunk in chunks:
            writer.write(chunk)
            await writer.drain()
        writer.write(build_chunk(cut) if cut else b"")
        writer.write(LAST_CHUNK if is_ended else b"")

    return script


@dataclass
class RawAnswer:
    """An answer as a caller received it; is_complete is False if truncated."""

    status: int
    headers: RawHeaderList
    body: bytes = b""
    is_complete: bool = True

    def get(self, name: str) -> list[str]:
        """Return the values of a header, in order."""
        return _get_values(self.headers, name)


@dataclass
class RawCaller:
    """A caller's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def async_open(cls, address: Address) -> RawCaller:
        """Connect to a host."""
        return cls(*await asyncio.open_connection(address.host, address.port))

    def send(
        self,
        method: str = "GET",
        path: str = "/app/x",
        lines: Iterable[str] = (),
        body: bytes = b"",
        request_id: str = "r1",
    ) -> None:
        """Send a request with an API key; lines are additional headers."""
        head = [
            f"{method} {path} HTTP/1.1",
            "Host: app.example",
            f"X-Request-Id: {request_id}",
            "X-Api-Key: k1",
            *lines,
        ]
        self.writer.write("\r\n".join(head).encode("latin-1") + HEAD_END + body)

    async def async_read_answer(self, method: str = "GET") -> RawAnswer:
        """Return the next answer."""
        async with asyncio.timeout(WAIT_SECONDS):
            first_line, headers = _parse_head(await self.reader.readuntil(HEAD_END))
            answer = RawAnswer(int(first_line.split()[1]), headers)
            if method != "HEAD" and answer.status not in STATUSES_WITHOUT_BODY:
                await self._async_read_body(answer)
        return answer

    async def _async_read_body(self, answer: RawAnswer) -> None:
        try:
            length = answer.get("content-length")
            if length:
                answer.body = await self.reader.readexactly(int(length[0]))
                return
            while not answer.body.endswith(LAST_CHUNK):
                size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                part = await self.reader.readexactly(size + len(b"\r\n"))
                if not size:
                    return
                answer.body += part[:size]
        except (asyncio.IncompleteReadError, ConnectionError):
            answer.is_complete = False
