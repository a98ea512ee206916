"""Minimal HTTP/1.1 server on raw streams, for stand-ins that send invalid answers."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

from tarragonward_core import Address

__all__ = ["PlainRequest", "PlainServer", "reset_connection", "build_head"]

HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BACKLOG = 512


@dataclass
class PlainRequest:
    """A request as received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the query parameters."""
        return dict(parse_qsl(self.target.partition("?")[2]))


Handler = Callable[[PlainRequest, asyncio.StreamWriter], Awaitable[bool]]


def build_head(status: int, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + HEAD_END


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        # The connection may just have been closed.
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def _async_read_head(reader: asyncio.StreamReader) -> PlainRequest:
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first_line, *lines = head.strip().split("\r\n")
    method, target, _ = first_line.split(" ")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return PlainRequest(method, target, headers)


async def _async_read_body(
    request: PlainRequest, reader: asyncio.StreamReader
) -> bytes:
    if "transfer-encoding" not in request.headers:
        return await reader.readexactly(int(request.headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readuntil(LINE_END)).strip(), 16)
        part = await reader.readexactly(size + len(LINE_END))
        if not size:
            return body
        body += part[:size]


@dataclass(eq=False)
class PlainServer:
    """Serves requests sequentially on each connection.

    The handler returns whether to keep the connection open. It is cancelled when the
    client disconnects, as most targets stop work then.
    """

    handler: Handler
    host: str = "127.0.0.1"
    port: int = 0
    reads_body: bool = True
    max_connections: int | None = None
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def address(self) -> Address:
        """Return the address in use."""
        return Address(self.host, self.port)

    async def async_setup(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._async_serve, self.host, self.port, backlog=BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def async_unload(self) -> None:
        """Stop listening and reset open connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset_connection(writer)
        await asyncio.sleep(0)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        limit = self.max_connections
        if limit is not None and len(self._writers) >= limit:
            reset_connection(writer)
            return
        self._writers.add(writer)
        try:
            with suppress(OSError, ValueError, asyncio.IncompleteReadError):
                while await self._async_serve_one(reader, writer):
                    pass
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _async_serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await _async_read_head(reader)
        if self.reads_body:
            request.body = await _async_read_body(request, reader)
        handler_task = asyncio.ensure_future(self.handler(request, writer))
        disconnect_watch = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait(
                {handler_task, disconnect_watch}, return_when=asyncio.FIRST_COMPLETED
            )
            if not handler_task.done():
                return False
            await writer.drain()
            return handler_task.result() and not disconnect_watch.done()
        finally:
            for task in (handler_task, disconnect_watch):
                task.cancel()
            await asyncio.gather(handler_task, disconnect_watch, return_exceptions=True)
