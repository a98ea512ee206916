"""Serve HTTP/1.1 with h11, one task for each connection."""

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
RefusalJudge = Callable[[HttpHead, RequestRefusedError], RequestRefusedError]
RefusalNote = Callable[[str, ResultCode], None]


class HttpServer:
    """Listen on an address and hand whole requests to a handler.

    check_head sees a request before its body is read: it raises RequestRefusedError,
    or returns what the handler gets as the request's context. judge_refusal turns a
    refusal by a head or body into what its caller is told; note_refused is told the
    request id and code of each request that never reached the handler.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        limits: HttpLimits | None = None,
        *,
        check_head: HeadCheck = lambda head: None,
        judge_refusal: RefusalJudge = lambda head, error: error,
        note_refused: RefusalNote | None = None,
        bodies: BodyBudget | None = None,
    ) -> None:
        self._address = address
        self._handler = handler
        self.limits = limits or HttpLimits()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._refused: set[asyncio.Task[None]] = set()
        self._open: set[HttpConnection] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self.check_head = check_head
        self.judge_refusal = judge_refusal
        self.note_refused = note_refused or _log_refused
        self.bodies = bodies or BodyBudget()
        self.active_requests = 0
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

    async def async_wait_idle(self) -> None:
        """Wait until no request is being read or answered, and all answers are out."""
        while self.active_requests:
            await self._idle.wait()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection in list(self._open):
            connection.end_wait()

    async def async_unload(self) -> None:
        """Stop to listen and end all connections."""
        await self.async_stop_listening()
        tasks = [*self._connections, *self._refused]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @contextmanager
    def count_active(self) -> Iterator[None]:
        """Count a request as active from its head to the end of its answer."""
        self.active_requests += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.active_requests -= 1
            if not self.active_requests:
                self._idle.set()

    async def async_handle(self, request: HttpRequest, responder: Responder) -> None:
        """Run the handler; a fault in it is answered and logged, not silent."""
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
        self._open.add(connection)
        is_closed = False
        try:
            if is_full:
                await connection.async_refuse(ResultCode.OVERLOADED)
            else:
                await connection.async_serve()
            # An answer is in progress until its reader has it. Symptom of ending the
            # count before: a host that stops cuts the last answers of slow readers.
            with self.count_active():
                await self._async_flush(writer)
            is_closed = True
        except (OSError, TimeoutError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            group.discard(task)
            self._open.discard(connection)
            # A transport whose last bytes went out after it was closed raises where it
            # is aborted. Symptom, with the abort before the place is given back: each
            # such connection counts as open for good, until all callers are refused.
            if not is_closed:
                writer.transport.abort()

    async def _async_flush(self, writer: asyncio.StreamWriter) -> None:
        # A closed transport keeps its socket until its reader has taken all. Symptom:
        # sockets of readers that take nothing pile up, counted by nobody. After the
        # timeout the socket is aborted, so each costs one connection's place at most.
        writer.close()
        async with asyncio.timeout(self.limits.write_timeout):
            await writer.wait_closed()


def _log_refused(request_id: str, code: ResultCode) -> None:
    log_event(
        "request_refused", request_id=request_id, code=code.number, name=code.name
    )
