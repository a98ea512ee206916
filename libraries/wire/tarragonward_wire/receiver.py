"""Receive data so that it stays readable after the connection fails."""

from __future__ import annotations

import asyncio

from .const import RECEIVE_BUFFER_BYTES

__all__ = ["Receiver"]


class Receiver(asyncio.Protocol):
    """The receiving half of a client connection.

    asyncio.StreamReader discards unread data once the connection has failed. When a
    target answers early and closes while a long body is still being sent, the failed
    write would hide the answer that was already received. This class returns all data
    before it raises the error; the kernel delivers what arrived before a reset.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self._has_ended = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None

    @property
    def has_ended(self) -> bool:
        """Return whether no more data will arrive."""
        return self._has_ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, to pause reading when the buffer is full."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffer received data."""
        self._data += data
        if self._transport is not None and len(self._data) > RECEIVE_BUFFER_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record the end of the stream; keep the sending half open."""
        self._has_ended = True
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection and its error."""
        self._has_ended = True
        self._error = exc
        self._wake()

    async def async_read(self) -> bytes:
        """Return received data, b"" at the end; raise OSError after a failure."""
        if not self._data and not self._has_ended:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if self._data:
            data = bytes(self._data)
            self._data.clear()
            if self._transport is not None:
                self._transport.resume_reading()
            return data
        if self._error is not None:
            raise self._error
        return b""

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
