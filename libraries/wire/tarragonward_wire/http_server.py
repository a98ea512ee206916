"""Serve HTTP/1.1 with h11, one task for each connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import h11
import orjson

from tarragonward_core import Address, RequestRefusedError, ResultCode, log_event

from .const import (
    DEFAULT_BODY_TIMEOUT_SECONDS,
    DEFAULT_HEAD_TIMEOUT_SECONDS,
    DEFAULT_IDLE_TIMEOUT_SECONDS,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_MAX_HEAD_BYTES,
    DEFAULT_WRITE_TIMEOUT_SECONDS,
    READ_BYTES,
    WRITE_BUFFER_BYTES,
)

__all__ = ["HttpLimits", "HttpRequest", "HttpServer", "Responder", "build_error_body"]

Headers = dict[str, str]
JSON_HEADERS = {"content-type": "application/json"}


@dataclass(frozen=True)
class HttpLimits:
    """What one server allows each connection; times in seconds, sizes in bytes."""

    max_head_bytes: int = DEFAULT_MAX_HEAD_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    head_timeout: float = DEFAULT_HEAD_TIMEOUT_SECONDS
    body_timeout: float = DEFAULT_BODY_TIMEOUT_SECONDS
    idle_timeout: float = DEFAULT_IDLE_TIMEOUT_SECONDS
    write_timeout: float = DEFAULT_WRITE_TIMEOUT_SECONDS


@dataclass(frozen=True)
class HttpRequest:
    """A whole request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: Headers
    body: bytes = field(repr=False)


Handler = Callable[[HttpRequest, "Responder"], Awaitable[None]]


def build_error_body(
    code: ResultCode, detail: str = "", request_id: str = ""
) -> dict[str, Any]:
    """Return the JSON error that goes with a result code."""
    return {
        "error": {
            "code": code.number,
            "type": code.name,
            "message": detail or code.text,
            "conclusion": code.conclusion.value,
            "repeat": code.repeat.value,
            "request_id": request_id,
        }
    }


class Responder:
    """Write one answer; a slow reader holds its writer back, not memory.

    A reader that takes nothing for write_timeout seconds loses its connection.
    """

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        write_timeout: float,
        is_closing: Callable[[], bool] = lambda: False,
    ) -> None:
        self._connection = connection
        self._writer = writer
        self._write_timeout = write_timeout
        self._is_closing = is_closing
        self.is_started = False
        self.is_finished = False

    async def async_send_json(
        self, status: int, payload: Any, headers: Headers | None = None
    ) -> None:
        """Send a whole JSON answer."""
        body = orjson.dumps(payload)
        await self.async_send_bytes(status, body, {**JSON_HEADERS, **(headers or {})})

    async def async_send_bytes(
        self, status: int, body: bytes, headers: Headers
    ) -> None:
        """Send a whole answer."""
        sized = {**headers, "content-length": str(len(body))}
        await self.async_start(status, sized)
        await self.async_send_chunk(body)
        await self.async_finish()

    async def async_send_error(
        self,
        code: ResultCode,
        detail: str = "",
        request_id: str = "",
        retry_after_seconds: float | None = None,
        headers: Headers | None = None,
    ) -> None:
        """Send a numbered error, with when to come back where that is known."""
        all_headers = {**(headers or {}), "x-result-code": str(code.number)}
        if retry_after_seconds is not None:
            all_headers["retry-after"] = str(max(1, round(retry_after_seconds)))
        body = build_error_body(code, detail, request_id)
        await self.async_send_json(code.http_status, body, all_headers)

    async def async_start(self, status: int, headers: Headers) -> None:
        """Send the head; without a content-length the body goes in chunks."""
        self.is_started = True
        if self._is_closing():
            headers = {**headers, "connection": "close"}
        response = h11.Response(status_code=status, headers=list(headers.items()))
        self._write(response)

    async def async_send_chunk(self, data: bytes) -> None:
        """Send a part of the body and wait until the reader has room."""
        if not data:
            return
        self._write(h11.Data(data=data))
        async with asyncio.timeout(self._write_timeout):
            await self._writer.drain()

    async def async_finish(self) -> None:
        """End the answer."""
        self._write(h11.EndOfMessage())
        self.is_finished = True
        async with asyncio.timeout(self._write_timeout):
            await self._writer.drain()

    def _write(self, event: h11.Event) -> None:
        data = self._connection.send(event)
        if data:
            self._writer.write(data)


class HttpServer:
    """Listen on an address and hand whole requests to a handler."""

    def __init__(
        self, address: Address, handler: Handler, limits: HttpLimits | None = None
    ) -> None:
        self._address = address
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self.is_closing = False

    @property
    def address(self) -> Address:
        """Return the address in use; the port is known only after setup."""
        if self._server is None:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def async_setup(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._async_accept,
            self._address.host,
            self._address.port,
            limit=READ_BYTES,
            backlog=1024,
        )

    def close_after_answers(self) -> None:
        """End each connection after its answer; go on taking new ones.

        Closing the listening socket resets the connections that wait in its backlog.
        Symptom: a caller's request is cut off while this host drains. So it listens
        until nothing is in progress, and says "connection: close" in each answer.
        """
        self.is_closing = True

    async def async_stop_listening(self) -> None:
        """Take no new connection; those that are open end after their request."""
        self.close_after_answers()
        if self._server is not None:
            self._server.close()

    async def async_unload(self) -> None:
        """Stop to listen and end all connections."""
        await self.async_stop_listening()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._connections) >= self._limits.max_connections:
            writer.transport.abort()
            return
        self._connections.add(task)
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        try:
            await _Connection(self, reader, writer, self._limits).async_serve()
        except (OSError, TimeoutError, h11.ProtocolError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._connections.discard(task)
            writer.close()

    async def async_handle(self, request: HttpRequest, responder: Responder) -> None:
        """Run the handler; a fault in it is answered and logged, not silent."""
        try:
            await self._handler(request, responder)
        except RequestRefusedError as err:
            await responder.async_send_error(
                err.code, err.detail, retry_after_seconds=err.retry_after_seconds
            )
        except (OSError, TimeoutError, h11.LocalProtocolError):
            raise
        except Exception as err:
            log_event("handler_failed", path=request.path, error=repr(err))
            if responder.is_started:
                raise ConnectionAbortedError from err
            await responder.async_send_error(ResultCode.INTERNAL_ERROR)


class _Connection:
    """Own one socket: read a request, answer it, and so on."""

    def __init__(
        self,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: HttpLimits,
    ) -> None:
        self._server = server
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_head_bytes
        )

    async def async_serve(self) -> None:
        """Serve requests until either side closes."""
        timeout = self._limits.head_timeout
        while await self._async_serve_one(timeout):
            if self._h11.our_state is not h11.DONE or self._server.is_closing:
                return
            self._h11.start_next_cycle()
            timeout = self._limits.idle_timeout

    async def _async_serve_one(self, timeout: float) -> bool:
        responder = Responder(
            self._h11,
            self._writer,
            self._limits.write_timeout,
            lambda: self._server.is_closing,
        )
        try:
            request = await self._async_read_request(timeout)
        except h11.RemoteProtocolError as err:
            code = ResultCode.MALFORMED_HTTP
            if err.error_status_hint == ResultCode.HEAD_TOO_LARGE.http_status:
                code = ResultCode.HEAD_TOO_LARGE
            await self._async_refuse(responder, code)
            return False
        except RequestRefusedError as err:
            await self._async_refuse(responder, err.code)
            return False
        if request is None:
            return False
        await self._async_handle_until_caller_leaves(request, responder)
        return True

    async def _async_refuse(self, responder: Responder, code: ResultCode) -> None:
        log_event("request_refused", code=code.number, name=code.name)
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await responder.async_send_error(code, headers={"connection": "close"})

    async def _async_read_request(self, timeout: float) -> HttpRequest | None:
        try:
            async with asyncio.timeout(timeout):
                head = await self._async_next_event()
        except TimeoutError:
            if self._h11.trailing_data[0]:
                raise RequestRefusedError(ResultCode.SLOW_SENDER) from None
            return None
        if not isinstance(head, h11.Request):
            return None
        headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in head.headers
        }
        try:
            async with asyncio.timeout(self._limits.body_timeout):
                body = await self._async_read_body(headers)
        except TimeoutError:
            raise RequestRefusedError(ResultCode.SLOW_SENDER) from None
        target = urlsplit(head.target.decode("latin-1"))
        return HttpRequest(
            method=head.method.decode("ascii"),
            path=target.path,
            query=dict(parse_qsl(target.query)),
            headers=headers,
            body=body,
        )

    async def _async_read_body(self, headers: Headers) -> bytes:
        maximum = self._limits.max_body_bytes
        if int(headers.get("content-length", "0")) > maximum:
            raise RequestRefusedError(ResultCode.BODY_TOO_LARGE)
        if self._h11.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._h11.send(response))
        body = bytearray()
        while True:
            event = await self._async_next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the caller left")
            body += event.data
            if len(body) > maximum:
                raise RequestRefusedError(ResultCode.BODY_TOO_LARGE)

    async def _async_next_event(self) -> Any:
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._reader.read(READ_BYTES))

    async def _async_handle_until_caller_leaves(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        # A caller that leaves must not go on using an engine. Symptom: memory held
        # for an answer that nobody reads. The end of its stream cancels the handler,
        # whose exit stacks release what it holds.
        handling = asyncio.ensure_future(self._server.async_handle(request, responder))
        watching = asyncio.ensure_future(self._async_watch_caller())
        try:
            await asyncio.wait(
                {handling, watching}, return_when=asyncio.FIRST_COMPLETED
            )
            if not handling.done():
                handling.cancel()
                with suppress(asyncio.CancelledError):
                    await handling
                raise ConnectionResetError("the caller left")
            await handling
        finally:
            for task in (handling, watching):
                task.cancel()
            await asyncio.gather(handling, watching, return_exceptions=True)

    async def _async_watch_caller(self) -> None:
        """Return when the caller has closed; keep what it sends early."""
        while True:
            data = await self._reader.read(READ_BYTES)
            if not data:
                return
            self._h11.receive_data(data)
            if len(self._h11.trailing_data[0]) > self._limits.max_head_bytes:
                return
