"""Servers that send bytes without end until the client closes the connection."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum

from tarragonward_core import Address

__all__ = ["EndlessBytes", "EndlessServer"]

PIECE_BYTES = 16 * 1024
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
JSON_HEAD = OK_HEAD + b"Content-Type: application/json\r\n"


class EndlessBytes(Enum):
    """What comes once, and what is repeated after it."""

    GARBAGE = (b"", b"\x00")
    STATUS_LINE = (b"HTTP/1.1 200 ", b"x")
    HEADER = (OK_HEAD + b"X-A: ", b"a")
    HEADERS = (OK_HEAD, b"X-A: a\r\n")
    INFORMATIONAL = (b"", b"HTTP/1.1 100 Continue\r\n\r\n")
    BODY = (JSON_HEAD + b"\r\n", b"[")
    CHUNKS = (JSON_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\n[\r\n")
    CHUNK_SIZE = (JSON_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0")

    @property
    def piece(self) -> bytes:
        """Return the repeated bytes, many times over."""
        repeated = self.value[1]
        return repeated * (PIECE_BYTES // len(repeated))


class EndlessServer:
    """Answers each connection with endless bytes; sent_bytes is their number so far."""

    def __init__(self, kind: EndlessBytes, first: bytes | None = None) -> None:
        self._kind = kind
        # Replaces what comes once, as with headers that a client asks for.
        self._first = kind.value[0] if first is None else first
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent_bytes = 0
        self.open_connections = 0

    @property
    def address(self) -> Address:
        """Return the address in use."""
        assert self._server is not None
        return Address(*self._server.sockets[0].getsockname()[:2])

    async def async_setup(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)

    async def async_unload(self) -> None:
        """Stop listening and end all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.open_connections += 1
        try:
            with suppress(OSError):
                await reader.read(PIECE_BYTES)
                writer.write(self._first)
                while not writer.transport.is_closing():
                    writer.write(self._kind.piece)
                    self.sent_bytes += PIECE_BYTES
                    await writer.drain()
        finally:
            self.open_connections -= 1
            self._tasks.discard(task)
            writer.transport.abort()
