"""Serve the requests of one connection of an HTTP server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import h11

from tarragonward_core import (
    RequestRefusedError,
    ResultCode,
    log_event,
    new_request_id,
)

from .const import LINGER_TIMEOUT_SECONDS, MAX_PARSED_BYTES, READ_BYTES
from .http_messages import HttpHead, HttpLimits, HttpRequest, measure_head, parse_head
from .http_responder import Responder

if TYPE_CHECKING:
    from .http_server import HttpServer

__all__ = ["HttpConnection", "async_linger"]

CLOSE = {"connection": "close"}


async def async_linger(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read and discard what a refused caller still sends (lingering close).

    Closing a socket with unread data makes the kernel reset the connection: a caller
    that is still sending its body would get a reset instead of the error response.
    The time is bounded by LINGER_TIMEOUT_SECONDS.
    """
    if writer.can_write_eof():
        writer.write_eof()
    with suppress(TimeoutError):
        async with asyncio.timeout(LINGER_TIMEOUT_SECONDS):
            while await reader.read(READ_BYTES):
                pass


class HttpConnection:
    """A connection: its streams, h11 state and reserved body bytes."""

    def __init__(
        self,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._server = server
        self._reader = reader
        self._writer = writer
        self._held_bytes = 0
        self._idle_timer: asyncio.Timeout | None = None
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_PARSED_BYTES
        )

    @property
    def _limits(self) -> HttpLimits:
        """Return the current limits; they may change while the connection is open."""
        return self._server.limits

    async def async_serve(self) -> None:
        """Serve requests until either side closes the connection."""
        wait = self._limits.head_timeout
        while await self._async_serve_one(wait):
            # Even while the server shuts down, a persistent connection is closed only
            # after a response with "connection: close": the caller may be sending its
            # next request already.
            if self._h11.our_state is not h11.DONE:
                return
            self._h11.start_next_cycle()
            wait = self._limits.idle_timeout

    async def async_refuse(self, code: ResultCode) -> None:
        """Send an error before reading any request, and close the connection."""
        await self._build_responder().async_send_error(code, headers=CLOSE)
        await async_linger(self._reader, self._writer)

    def _build_responder(self) -> Responder:
        return Responder(
            self._h11,
            self._writer,
            self._limits.write_timeout,
            lambda: self._server.is_closing,
        )

    async def _async_serve_one(self, wait: float) -> bool:
        responder = self._build_responder()
        responder.request_id = new_request_id()
        try:
            if not await self._async_wait_for_bytes(wait):
                return False
            return await self._async_read_and_handle(responder)
        except h11.RemoteProtocolError as err:
            code = ResultCode.MALFORMED_HTTP
            if err.error_status_hint == ResultCode.HEAD_TOO_LARGE.http_status:
                code = ResultCode.HEAD_TOO_LARGE
            await self._async_refuse(responder, RequestRefusedError(code, str(err)))
        except RequestRefusedError as err:
            await self._async_refuse(responder, err)
        finally:
            self._server.bodies.release(self._held_bytes)
            self._held_bytes = 0
        return False

    async def _async_refuse(
        self, responder: Responder, error: RequestRefusedError
    ) -> None:
        self._server.on_refused(responder.request_id, error.code)
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await responder.async_send_error(
            error.code,
            error.detail,
            retry_after_seconds=error.retry_after_seconds,
            headers=CLOSE,
        )
        await async_linger(self._reader, self._writer)

    async def _async_wait_for_bytes(self, wait: float) -> bool:
        """Wait for the start of a request; return whether one arrived."""
        if self._h11.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(wait) as self._idle_timer:
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            data = await self._async_read_buffered()
        finally:
            self._idle_timer = None
        self._h11.receive_data(data)
        return bool(data)

    def close_if_idle(self) -> None:
        """Close the connection if it is waiting for a request."""
        if self._idle_timer is not None:
            self._idle_timer.reschedule(asyncio.get_running_loop().time())

    async def _async_read_buffered(self) -> bytes:
        # A request may arrive just as the wait times out. Its data is buffered then,
        # and closing the connection would leave it without an answer.
        with suppress(TimeoutError):
            async with asyncio.timeout(0):
                return await self._reader.read(READ_BYTES)
        return b""

    async def _async_read_and_handle(self, responder: Responder) -> bool:
        head = await self._async_read_head(responder.request_id)
        responder.method = head.method
        with self._server.track_active_request():
            try:
                context = self._check_head(head)
                body = await self._async_read_body(head)
            except RequestRefusedError as err:
                raise self._server.translate_refusal(head, err) from None
            request = HttpRequest(
                method=head.method,
                path=head.path,
                query=head.query,
                headers=head.headers,
                body=body,
                request_id=head.request_id,
                context=context,
                target=head.target,
                raw_headers=head.raw_headers,
            )
            await self._async_handle_until_disconnect(request, responder)
        return True

    def _check_head(self, head: HttpHead) -> Any:
        # An unexpected exception in the check would end the connection's task: the
        # connection would be closed without an answer or a log line.
        try:
            return self._server.check_head(head)
        except RequestRefusedError:
            raise
        except Exception as err:
            log_event("head_check_failed", request_id=head.request_id, error=repr(err))
            raise RequestRefusedError(ResultCode.INTERNAL_ERROR) from err

    async def _async_read_head(self, request_id: str) -> HttpHead:
        try:
            async with asyncio.timeout(self._limits.head_timeout):
                event = await self._async_next_event(self._check_head_size)
        except TimeoutError:
            raise RequestRefusedError(ResultCode.SLOW_SENDER) from None
        if not isinstance(event, h11.Request):
            raise ConnectionResetError("the caller disconnected")
        # _check_head_size runs only before a wait for more data, so a head that arrived
        # in a single read is checked here, against the current limit.
        if measure_head(event) > self._limits.max_head_bytes:
            raise RequestRefusedError(ResultCode.HEAD_TOO_LARGE)
        return parse_head(request_id, event)

    def _check_head_size(self) -> None:
        if len(self._h11.trailing_data[0]) > self._limits.max_head_bytes:
            raise RequestRefusedError(ResultCode.HEAD_TOO_LARGE)

    async def _async_read_body(self, head: HttpHead) -> bytes:
        size = int(head.headers.get("content-length", "0"))
        self._reserve(size)
        if self._h11.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._h11.send(response))
        try:
            async with asyncio.timeout(self._limits.body_timeout):
                return await self._async_read_parts()
        except TimeoutError:
            raise RequestRefusedError(ResultCode.SLOW_SENDER) from None

    async def _async_read_parts(self) -> bytes:
        body = bytearray()
        while True:
            event = await self._async_next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the caller disconnected")
            body += event.data
            self._reserve(len(body) - self._held_bytes)

    def _reserve(self, size: int) -> None:
        """Reserve size more body bytes before reading them, or refuse the request."""
        if size <= 0:
            return
        if self._held_bytes + size > self._limits.max_body_bytes:
            raise RequestRefusedError(ResultCode.BODY_TOO_LARGE)
        if not self._server.bodies.reserve(size):
            raise RequestRefusedError(
                ResultCode.OVERLOADED, "This host holds too many long prompts."
            )
        self._held_bytes += size

    async def _async_next_event(
        self, before_wait: Callable[[], None] = lambda: None
    ) -> Any:
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            before_wait()
            self._h11.receive_data(await self._reader.read(READ_BYTES))

    async def _async_handle_until_disconnect(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        # A caller that disconnects must not keep an engine's memory in use for an
        # answer that nobody reads. The end of its stream cancels the handler, whose
        # exit stacks release its resources.
        handler_task = asyncio.ensure_future(
            self._server.async_handle(request, responder)
        )
        disconnect_task = asyncio.ensure_future(self._async_watch_disconnect())
        try:
            await asyncio.wait(
                {handler_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if not handler_task.done():
                handler_task.cancel()
                with suppress(asyncio.CancelledError):
                    await handler_task
                raise ConnectionResetError("the caller disconnected")
            await handler_task
        finally:
            for task in (handler_task, disconnect_task):
                task.cancel()
            await asyncio.gather(handler_task, disconnect_task, return_exceptions=True)

    async def _async_watch_disconnect(self) -> None:
        """Return when the caller disconnects; buffer data of pipelined requests."""
        while len(self._h11.trailing_data[0]) <= self._limits.max_head_bytes:
            data = await self._reader.read(READ_BYTES)
            if not data:
                return
            self._h11.receive_data(data)
        # A caller that pipelines a long prompt behind a request has not disconnected.
        # Nothing more is read until the first answer is complete, which bounds the
        # buffer.
        await asyncio.get_running_loop().create_future()
