"""Send HTTP/1.1 requests with h11, with a new connection for each request."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import h11
import orjson

from tarragonward_core import (
    Address,
    ConnectionLostError,
    NotConnectedError,
    TargetError,
)

from .answer_limit import AnswerDeadline
from .const import DEFAULT_CONNECT_TIMEOUT_SECONDS
from .http_messages import RawHeaders, encode_headers
from .keepalive import set_unreachable_timeout
from .pause_timeout import PauseTimeout
from .receiver import Receiver

__all__ = [
    "Connector",
    "HttpAnswer",
    "HttpStream",
    "async_accepts_connections",
    "async_open_http",
    "async_send_http",
]

MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_LINE_BYTES = 4 * 1024 * 1024
MAX_INFORMATIONAL_ANSWERS = 16
# An answer in chunks of a byte takes as much processor time as one many times its size.
MAX_TINY_CHUNKS = 32 * 1024
TINY_CHUNK_BYTES = 8

# Connects to the target of a request in place of a connection to its address. Raises
# OSError or NotConnectedError if there is none, and nothing has been sent then.
Connector = Callable[[], Awaitable[tuple[asyncio.Transport, Receiver]]]

# A function is called once there is a connection, as connecting takes time.
HeaderSource = dict[str, str] | RawHeaders | Callable[[], RawHeaders] | None


@dataclass(frozen=True)
class HttpAnswer:
    """A complete answer; header names are in lower case.

    transfer_seconds is the time from the answer's head to the end of its body;
    has_ended_with_connection is that of HttpStream.
    """

    status: int
    headers: dict[str, str]
    body: bytes = field(repr=False)
    transfer_seconds: float = 0.0
    has_ended_with_connection: bool = False

    def parse_json(self) -> Any:
        """Return the body's JSON; raise TargetError if it is not valid."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as err:
            raise TargetError(f"the answer is not JSON: {err}") from None


class HttpStream:
    """An answer whose body is still being received."""

    def __init__(
        self,
        connection: h11.Connection,
        receiver: Receiver,
    ) -> None:
        self._h11 = connection
        self._receiver = receiver
        # Whether only the end of the connection has ended the answer. A target that
        # crashes closes its connections, too, so the answer may be incomplete.
        self.has_ended_with_connection = False
        self._chunks = 0
        self._body_bytes = 0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.raw_headers: RawHeaders = ()

    @property
    def has_trailing_data(self) -> bool:
        """Return whether data was received after the end of the answer."""
        return bool(self._h11.trailing_data[0])

    async def async_read_head(self) -> None:
        """Read the status line and the headers."""
        for _ in range(MAX_INFORMATIONAL_ANSWERS):
            event = await self._async_next_event()
            if not isinstance(event, h11.InformationalResponse):
                break
        if not isinstance(event, h11.Response):
            raise ConnectionLostError("connection closed before the answer")
        self.status = event.status_code
        self.headers = {}
        for raw_name, raw_value in event.headers:
            name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
            # Different values of one name are combined as in RFC 9110, section 5.3.
            known = self.headers.get(name, value)
            self.headers[name] = value if known == value else f"{known}, {value}"
        self.raw_headers = tuple(event.headers.raw_items())

    async def async_iterate_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise ConnectionLostError if truncated."""
        while True:
            event = await self._async_next_event()
            if isinstance(event, h11.Data):
                self._check_chunk(len(event.data))
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ConnectionLostError(
                    "connection closed before the end of the answer"
                )

    def _check_chunk(self, chunk_bytes: int) -> None:
        """Raise ConnectionLostError if the body comes in very many tiny chunks."""
        self._chunks += 1
        self._body_bytes += chunk_bytes
        is_tiny = self._body_bytes < self._chunks * TINY_CHUNK_BYTES
        if is_tiny and self._chunks > MAX_TINY_CHUNKS:
            raise ConnectionLostError("the answer consists of tiny chunks")

    async def async_iterate_lines(self) -> AsyncIterator[bytes]:
        """Yield the lines of the body without line endings.

        Raise TargetError if a line exceeds MAX_LINE_BYTES.
        """
        rest = bytearray()
        async for chunk in self.async_iterate_chunks():
            *lines, last = chunk.split(b"\n")
            for line in lines:
                yield bytes(rest + line).rstrip(b"\r")
                rest.clear()
            rest += last
            if len(rest) > MAX_LINE_BYTES:
                raise TargetError("a line of the answer exceeds the size limit")
        if rest:
            yield bytes(rest)

    async def async_read_body(self, max_bytes: int = MAX_ANSWER_BYTES) -> bytes:
        """Read the rest of the body; raise TargetError if it is too large."""
        body = bytearray()
        await self.async_read_into(body, max_bytes)
        return bytes(body)

    async def async_read_into(
        self,
        body: bytearray,
        max_bytes: int = MAX_ANSWER_BYTES,
        on_progress: Callable[[], None] = lambda: None,
    ) -> None:
        """Append the rest of the body; a lost connection leaves what was received.

        on_progress is called once at the start, and after each piece of the body.
        """
        on_progress()
        async for chunk in self.async_iterate_chunks():
            body += chunk
            if len(body) > max_bytes:
                raise TargetError("the answer exceeds the size limit")
            on_progress()

    async def _async_next_event(self) -> Any:
        try:
            while True:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._receiver.async_read()
                self.has_ended_with_connection = not data
                self._h11.receive_data(data)
        except (OSError, h11.RemoteProtocolError) as err:
            raise ConnectionLostError(str(err)) from err


@asynccontextmanager
async def async_open_http(
    address: Address,
    method: str,
    path: str | bytes,
    *,
    headers: HeaderSource = None,
    body: bytes = b"",
    connect_timeout: float = DEFAULT_CONNECT_TIMEOUT_SECONDS,
    before_write: Callable[[], None] | None = None,
    unreachable_timeout: float | None = None,
    connect: Connector | None = None,
) -> AsyncIterator[HttpStream]:
    """Send a request and yield its answer as a stream; always closes the connection.

    Raw headers are sent unchanged, including the host; only a missing content-length is
    added. A dict of headers is completed with host and content-length.

    The connection ends if the peer's kernel acknowledges nothing for
    unreachable_timeout seconds, however long the answer may take; None leaves this to
    the kernel's defaults.

    connect replaces the connection to the address, for example by one through another
    host.

    before_write is called immediately before the first byte is written, without an
    await in between; if it raises, nothing was sent and the exception propagates.
    Raise NotConnectedError only if nothing can have been sent, and ConnectionLostError
    if something may have been.
    """
    connection = h11.Connection(h11.CLIENT)
    loop = asyncio.get_running_loop()
    try:
        async with PauseTimeout(loop.time() + connect_timeout):
            transport, receiver = await (
                connect() if connect is not None else _async_connect(address)
            )
    except (OSError, TimeoutError) as err:
        reason = str(err) or f"no connection in {connect_timeout:.3g} s"
        raise NotConnectedError(f"{address}: {reason}") from err
    try:
        if unreachable_timeout is not None:
            set_unreachable_timeout(transport, unreachable_timeout)
        if before_write is not None:
            before_write()
        request = h11.Request(
            method=method, target=path, headers=_build_headers(address, headers, body)
        )
        # One write for head and body: a single system call for a short body.
        parts = [connection.send(request)]
        if body:
            parts.append(connection.send(h11.Data(data=body)))
        parts.append(connection.send(h11.EndOfMessage()))
        transport.write(b"".join(parts))
        # Read the answer while the body is still being sent: a target that refuses a
        # long prompt by its head answers and closes before it has read the body.
        stream = HttpStream(connection, receiver)
        await stream.async_read_head()
        yield stream
    finally:
        transport.abort()


async def async_accepts_connections(
    address: Address,
    timeout: float,
    connect: Connector | None = None,
    open_seconds: float = 0.0,
) -> bool:
    """Return whether a connection succeeds within timeout seconds; sends nothing.

    It has to stay open for open_seconds, as the kernel may still accept one for a
    process that is ending. connect is that of async_open_http.
    """
    try:
        async with PauseTimeout(asyncio.get_running_loop().time() + timeout):
            connecting = connect() if connect else _async_connect(address)
            transport, receiver = await connecting
    except (OSError, TimeoutError, NotConnectedError):
        return False
    try:
        return not open_seconds or await _async_stays_open(receiver, open_seconds)
    finally:
        transport.abort()


async def _async_stays_open(receiver: Receiver, seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            return bool(await receiver.async_read())
    except TimeoutError:
        return True
    except OSError:
        return False


async def _async_connect(address: Address) -> tuple[asyncio.Transport, Receiver]:
    return await asyncio.get_running_loop().create_connection(
        Receiver, address.host, address.port
    )


def _build_headers(
    address: Address, headers: HeaderSource, body: bytes
) -> list[tuple[bytes, bytes]]:
    if callable(headers):
        headers = headers()
    length = str(len(body))
    if headers is None or isinstance(headers, dict):
        completed = {
            "host": str(address),
            "content-length": length,
            "connection": "close",
            **(headers or {}),
        }
        return encode_headers(completed)
    framing = [(b"Connection", b"close")]
    has_length = any(name.lower() == b"content-length" for name, _ in headers)
    if body and not has_length:
        framing.append((b"Content-Length", length.encode("ascii")))
    return [*headers, *framing]


async def async_send_http(
    address: Address,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float,
    inactivity_timeout: float | None = None,
    connect_timeout: float = DEFAULT_CONNECT_TIMEOUT_SECONDS,
    before_write: Callable[[], None] | None = None,
    on_progress: Callable[[], None] | None = None,
    connect: Connector | None = None,
    max_bytes: int = MAX_ANSWER_BYTES,
) -> HttpAnswer:
    """Send a request and return the complete answer within timeout seconds.

    With an inactivity_timeout an answer that began in time may take longer: it is
    aborted when nothing arrives for that many seconds, or MAX_TRANSFER_SECONDS after
    its head. on_progress is called for the head and for each part of the body.

    Raise TargetError if the body exceeds max_bytes.

    connect is that of async_open_http.

    Raise NotConnectedError or ConnectionLostError like async_open_http; a timeout
    raises ConnectionLostError.
    """
    deadline = AnswerDeadline(timeout, inactivity_timeout)
    body_read = bytearray()

    def record_progress() -> None:
        deadline.record_progress()
        if on_progress is not None:
            on_progress()

    try:
        async with (
            deadline.timer,
            async_open_http(
                address,
                method,
                path,
                headers=headers,
                body=body,
                connect_timeout=min(connect_timeout, timeout),
                before_write=before_write,
                connect=connect,
            ) as stream,
        ):
            await stream.async_read_into(body_read, max_bytes, record_progress)
            return HttpAnswer(
                stream.status,
                stream.headers,
                bytes(body_read),
                deadline.transfer_seconds,
                stream.has_ended_with_connection,
            )
    except TimeoutError as err:
        waited = f"no answer in {deadline.waited_seconds:.1f} s"
        reason = f"{waited}, {len(body_read)} bytes of it came"
        raise ConnectionLostError(f"{address}: {reason}") from err
