"""Serve HTTP/1.1 with h11, with one task for each connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import h11

from tarragonward_core import Address, RequestRefusedError, ResultCode, log_event

from .body_budget import BodyBudget
from .const import MAX_REFUSED_CONNECTIONS, READ_BYTES, WRITE_BUFFER_BYTES
from .http_connection import HttpConnection
from .http_messages import HttpHead, HttpLimits, HttpRequest
from .http_responder import Responder

__all__ = ["HeadCheck", "HttpServer"]

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]
HeadCheck = Callable[[HttpHead], Any]
RefusalTranslator = Callable[[HttpHead, RequestRefusedError], RequestRefusedError]
RefusalCallback = Callable[[str, ResultCode], None]


class HttpServer:
    """Listen on an address and pass complete requests to a handler.

    check_head is called before a request's body is read: it raises RequestRefusedError
    or returns the context of the request. translate_refusal maps a refusal caused by
    the head or body to the error that is sent to the caller. on_refused is called with
    the request id and code of each request that did not reach the handler.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        limits: HttpLimits | None = None,
        *,
        check_head: HeadCheck = lambda head: None,
        translate_refusal: RefusalTranslator = lambda head, error: error,
        on_refused: RefusalCallback | None = None,
        bodies: BodyBudget | None = None,
    ) -> None:
        self._address = address
        self._handler = handler
        self.limits = limits or HttpLimits()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._refused: set[asyncio.Task[None]] = set()
        self._open_connections: set[HttpConnection] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self.check_head = check_head
        self.translate_refusal = translate_refusal
        self.on_refused = on_refused or _log_refused
        self.bodies = bodies or BodyBudget()
        # Returns whether to serve a connection that has just been accepted; otherwise
        # it is closed unread, and its caller may try another host at once.
        self.may_accept: Callable[[], bool] = lambda: True
        self.active_requests = 0
        # When the last connection was accepted, in event loop time.
        self.last_accepted_at = float("-inf")
        self.is_closing = False

    @property
    def address(self) -> Address:
        """Return the bound address; port 0 is resolved only after setup."""
        if self._server is None:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def async_setup(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._async_accept,
            self._address.host,
            self._address.port,
            limit=READ_BYTES,
            backlog=1024,
        )

    def disable_keep_alive(self) -> None:
        """Close each connection after its response; still accept new connections.

        Closing the listening socket resets the connections in its backlog, which would
        cut off requests while this host drains. So the server keeps listening until
        nothing is in progress, and sends "connection: close" in each response.
        """
        self.is_closing = True

    async def async_stop_listening(self) -> None:
        """Accept no new connections; open ones are closed after their request."""
        self.disable_keep_alive()
        if self._server is not None:
            self._server.close()

    async def async_wait_idle(self) -> None:
        """Wait until no request is in progress and all responses are delivered."""
        while self.active_requests:
            await self._idle.wait()

    def close_idle_connections(self) -> None:
        """Close the connections that are waiting for a request."""
        for connection in list(self._open_connections):
            connection.close_if_idle()

    async def async_unload(self) -> None:
        """Stop listening and cancel all connections."""
        await self.async_stop_listening()
        tasks = [*self._connections, *self._refused]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @contextmanager
    def track_active_request(self) -> Iterator[None]:
        """Count a request as active, from its head to the end of its response."""
        self.active_requests += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.active_requests -= 1
            if not self.active_requests:
                self._idle.set()

    async def async_handle(self, request: HttpRequest, responder: Responder) -> None:
        """Run the handler; log its unexpected exceptions and respond with an error."""
        try:
            await self._handler(request, responder)
        except RequestRefusedError as err:
            await responder.async_send_error(
                err.code, err.detail, retry_after_seconds=err.retry_after_seconds
            )
        except Exception as err:
            if not (responder.is_started and isinstance(err, OSError)):
                log_event(
                    "handler_failed",
                    request_id=request.request_id,
                    path=request.path,
                    error=repr(err),
                )
            if responder.is_started:
                raise ConnectionAbortedError from err
            await responder.async_send_error(ResultCode.INTERNAL_ERROR)

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.last_accepted_at = asyncio.get_running_loop().time()
        if not self.may_accept():
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        is_full = len(self._connections) >= self.limits.max_connections
        group = self._refused if is_full else self._connections
        if is_full and len(self._refused) >= MAX_REFUSED_CONNECTIONS:
            writer.transport.abort()
            return
        group.add(task)
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        connection = HttpConnection(self, reader, writer)
        self._open_connections.add(connection)
        is_closed = False
        try:
            if is_full:
                await connection.async_refuse(ResultCode.OVERLOADED)
            else:
                await connection.async_serve()
            # A response is in progress until its reader has received it; otherwise a
            # host that stops would cut off the last responses of slow readers.
            with self.track_active_request():
                await self._async_flush(writer)
            is_closed = True
        except (OSError, TimeoutError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            group.discard(task)
            self._open_connections.discard(connection)
            # abort() raises on a transport whose last data was sent after close(). The
            # connection is therefore removed from the sets first; otherwise each such
            # connection would count as open forever, until all callers are refused.
            if not is_closed:
                writer.transport.abort()

    async def _async_flush(self, writer: asyncio.StreamWriter) -> None:
        # A closed transport keeps its socket until the reader has received everything.
        # Sockets of stalled readers would accumulate without being counted, so they
        # stay counted as connections here and are aborted after the timeout.
        writer.close()
        async with asyncio.timeout(self.limits.write_timeout):
            await writer.wait_closed()


def _log_refused(request_id: str, code: ResultCode) -> None:
    log_event(
        "request_refused", request_id=request_id, code=code.number, name=code.name
    )
