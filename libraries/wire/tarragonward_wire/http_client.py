"""Send HTTP/1.1 requests with h11, one connection for each request."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
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

from .answer_limit import AnswerLimit
from .const import (
    DEFAULT_CONNECT_TIMEOUT_SECONDS,
    SHORT_KEEPALIVE_PROBES,
    SHORT_KEEPALIVE_SECONDS,
)
from .http_messages import RawHeaders, encode_headers
from .receiver import Receiver

__all__ = ["HttpAnswer", "HttpStream", "async_open_http", "async_send_http"]

MAX_ANSWER_BYTES = 64 * 1024 * 1024
MILLISECONDS = 1_000


@dataclass(frozen=True)
class HttpAnswer:
    """A whole answer; header names are in lower case.

    transfer_seconds is how long the body took from the answer's head to its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes = field(repr=False)
    transfer_seconds: float = 0.0

    def parse_json(self) -> Any:
        """Return the body's JSON; raise TargetError where it is not valid."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as err:
            raise TargetError(f"the answer is not JSON: {err}") from None


class HttpStream:
    """An answer whose body is still coming."""

    def __init__(
        self,
        connection: h11.Connection,
        receiver: Receiver,
    ) -> None:
        self._h11 = connection
        self._receiver = receiver
        self.status = 0
        self.headers: dict[str, str] = {}
        self.raw_headers: RawHeaders = ()

    @property
    def has_surplus(self) -> bool:
        """Return whether bytes came that belong to no answer."""
        return bool(self._h11.trailing_data[0])

    async def async_read_head(self) -> None:
        """Read the status and the headers."""
        event = await self._async_next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._async_next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionLostError("closed before the answer")
        self.status = event.status_code
        self.headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in event.headers
        }
        self.raw_headers = tuple(event.headers.raw_items())

    async def async_iterate_chunks(self) -> AsyncIterator[bytes]:
        """Give the body as it comes; raise ConnectionLostError if it is cut short."""
        while True:
            event = await self._async_next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ConnectionLostError("closed within the answer")

    async def async_iterate_lines(self) -> AsyncIterator[bytes]:
        """Give the body line by line, without line ends."""
        rest = b""
        async for chunk in self.async_iterate_chunks():
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                yield line.rstrip(b"\r")
        if rest:
            yield rest

    async def async_read_body(self, max_bytes: int = MAX_ANSWER_BYTES) -> bytes:
        """Read the rest of the body; raise TargetError where it is too large."""
        body = bytearray()
        await self.async_read_into(body, max_bytes)
        return bytes(body)

    async def async_read_into(
        self,
        body: bytearray,
        max_bytes: int = MAX_ANSWER_BYTES,
        note_progress: Callable[[], None] = lambda: None,
    ) -> None:
        """Add the rest of the body to what is there, which a cut leaves as it is.

        note_progress runs at the head, and after each piece of the body.
        """
        note_progress()
        async for chunk in self.async_iterate_chunks():
            body += chunk
            if len(body) > max_bytes:
                raise TargetError("the answer is too large")
            note_progress()

    async def _async_next_event(self) -> Any:
        try:
            while True:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._h11.receive_data(await self._receiver.async_read())
        except (OSError, h11.RemoteProtocolError) as err:
            raise ConnectionLostError(str(err)) from err


@asynccontextmanager
async def async_open_http(
    address: Address,
    method: str,
    path: str | bytes,
    *,
    headers: dict[str, str] | RawHeaders | None = None,
    body: bytes = b"",
    connect_timeout: float = DEFAULT_CONNECT_TIMEOUT_SECONDS,
    before_write: Callable[[], None] | None = None,
    unreachable_timeout: float | None = None,
) -> AsyncIterator[HttpStream]:
    """Send a request and give its answer as a stream; closed on every path.

    Raw headers are sent as they are, with their host; a body without a length gets one.
    A map of headers is completed with host and length.

    A peer whose host has not acknowledged anything for unreachable_timeout seconds ends
    the connection, however long its answer may take; None leaves it to the kernel.

    before_write runs right before the first byte is written, with no await between;
    what it raises goes to the caller, and nothing was sent.
    Raise NotConnectedError only where nothing can have been sent, and
    ConnectionLostError where something may have been.
    """
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method=method, target=path, headers=_build_headers(address, headers, body)
    )
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(connect_timeout):
            transport, receiver = await loop.create_connection(
                Receiver, address.host, address.port
            )
    except (OSError, TimeoutError) as err:
        reason = str(err) or f"no connection in {connect_timeout:.3g} s"
        raise NotConnectedError(f"{address}: {reason}") from err
    try:
        if unreachable_timeout is not None:
            _end_when_unreachable(transport, unreachable_timeout)
        if before_write is not None:
            before_write()
        # One write for head and body: one system call where the body is short.
        parts = [connection.send(request)]
        if body:
            parts.append(connection.send(h11.Data(data=body)))
        parts.append(connection.send(h11.EndOfMessage()))
        transport.write(b"".join(parts))
        # The answer is read while the body still goes out: a target that refuses a
        # long prompt at its head answers, and closes, before it has read it all.
        stream = HttpStream(connection, receiver)
        await stream.async_read_head()
        yield stream
    finally:
        transport.abort()


def _end_when_unreachable(transport: asyncio.Transport, timeout: float) -> None:
    # A peer that lost its power, or is cut off, sends no reset. Symptom: the wait for
    # an answer ends only with the request's own time. Its kernel answers probes while
    # it lives, so the silence of a peer at work is not taken for its end.
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, SHORT_KEEPALIVE_SECONDS),
        (socket.TCP_KEEPINTVL, SHORT_KEEPALIVE_SECONDS),
        (socket.TCP_KEEPCNT, SHORT_KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, int(timeout * MILLISECONDS)),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


def _build_headers(
    address: Address, headers: dict[str, str] | RawHeaders | None, body: bytes
) -> list[tuple[bytes, bytes]]:
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
    silence_timeout: float | None = None,
    connect_timeout: float = DEFAULT_CONNECT_TIMEOUT_SECONDS,
    before_write: Callable[[], None] | None = None,
) -> HttpAnswer:
    """Send a request and return its whole answer within timeout seconds.

    With a silence_timeout an answer that began in time may take longer: it is given
    up once nothing came for so many seconds, or LONGEST_TRANSFER_SECONDS after its
    head.

    Raise NotConnectedError or ConnectionLostError as async_open_http does; running
    out of time counts as ConnectionLostError.
    """
    limit = AnswerLimit(timeout, silence_timeout)
    body_read = bytearray()
    try:
        async with (
            limit.timer,
            async_open_http(
                address,
                method,
                path,
                headers=headers,
                body=body,
                connect_timeout=min(connect_timeout, timeout),
                before_write=before_write,
            ) as stream,
        ):
            await stream.async_read_into(body_read, note_progress=limit.note_progress)
            return HttpAnswer(
                stream.status, stream.headers, bytes(body_read), limit.transfer_seconds
            )
    except TimeoutError as err:
        waited = f"no answer in {limit.waited_seconds:.1f} s"
        reason = f"{waited}, {len(body_read)} bytes of it came"
        raise ConnectionLostError(f"{address}: {reason}") from err
