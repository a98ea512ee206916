"""Own one connection of an HTTP server: read a request, answer it, and so on."""

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

from .const import LINGER_SECONDS, MAX_PARSED_BYTES, READ_BYTES
from .http_messages import HttpHead, HttpLimits, HttpRequest, measure_head, parse_head
from .http_responder import Responder

if TYPE_CHECKING:
    from .http_server import HttpServer

__all__ = ["HttpConnection", "async_linger"]

CLOSE = {"connection": "close"}


async def async_linger(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read and drop what a refused caller still sends, for a bounded time.

    Closing with unread data makes the kernel reset the connection. Symptom: the
    caller, still sending its body, sees a reset in place of the numbered error.
    """
    if writer.can_write_eof():
        writer.write_eof()
    with suppress(TimeoutError):
        async with asyncio.timeout(LINGER_SECONDS):
            while await reader.read(READ_BYTES):
                pass


class HttpConnection:
    """One socket, its h11 state, and the bytes of bodies held for it."""

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
        self._wait: asyncio.Timeout | None = None
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_PARSED_BYTES
        )

    @property
    def _limits(self) -> HttpLimits:
        """Return the limits in force, which may change while the connection is open."""
        return self._server.limits

    async def async_serve(self) -> None:
        """Serve requests until either side closes."""
        wait = self._limits.head_timeout
        while await self._async_serve_one(wait):
            # On a closing server too, a kept connection is closed only by an answer
            # that says so: a caller may be sending its next request just now.
            if self._h11.our_state is not h11.DONE:
                return
            self._h11.start_next_cycle()
            wait = self._limits.idle_timeout

    async def async_refuse(self, code: ResultCode) -> None:
        """Answer with an error before any request was read, and close."""
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
        self._server.note_refused(responder.request_id, error.code)
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
        """Wait for a request to begin; return whether one did."""
        if self._h11.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(wait) as self._wait:
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            data = await self._async_read_what_came()
        finally:
            self._wait = None
        self._h11.receive_data(data)
        return bool(data)

    def end_wait(self) -> None:
        """Close the connection where it waits for a request to begin."""
        if self._wait is not None:
            self._wait.reschedule(asyncio.get_running_loop().time())

    async def _async_read_what_came(self) -> bytes:
        # A request may come at the very moment at which the wait ends. Symptom: the
        # host has its bytes, and closes without an answer.
        with suppress(TimeoutError):
            async with asyncio.timeout(0):
                return await self._reader.read(READ_BYTES)
        return b""

    async def _async_read_and_handle(self, responder: Responder) -> bool:
        head = await self._async_read_head(responder.request_id)
        responder.method = head.method
        with self._server.count_active():
            try:
                context = self._check_head(head)
                body = await self._async_read_body(head)
            except RequestRefusedError as err:
                raise self._server.judge_refusal(head, err) from None
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
            await self._async_handle_until_caller_leaves(request, responder)
        return True

    def _check_head(self, head: HttpHead) -> Any:
        # A fault in the check would end the connection's task. Symptom: the caller's
        # connection is closed without an answer, and nothing says why.
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
            raise ConnectionResetError("the caller left")
        # The limit in force may have changed since the connection was made, and a head
        # that came in one read was never waited for.
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
                raise ConnectionResetError("the caller left")
            body += event.data
            self._reserve(len(body) - self._held_bytes)

    def _reserve(self, size: int) -> None:
        """Reserve size more bytes before they are read, or refuse the request."""
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
        while len(self._h11.trailing_data[0]) <= self._limits.max_head_bytes:
            data = await self._reader.read(READ_BYTES)
            if not data:
                return
            self._h11.receive_data(data)
        # A caller that pipelines a long prompt behind a request has not left. No more
        # is read until its first answer is whole, so what is held stays bounded.
        await asyncio.get_running_loop().create_future()
