"""Keep what a peer sent, however its connection ends."""

from __future__ import annotations

import asyncio

from .const import RECEIVE_BUFFER_BYTES

__all__ = ["Receiver"]


class Receiver(asyncio.Protocol):
    """The receiving half of a client's connection.

    A stream reader drops its unread bytes once the connection has failed. Symptom: a
    target that answers early and closes resets the rest of a long body, and the failed
    write hides the answer that is already here. Giving all bytes before the error is
    enough, as the kernel hands over what came before a reset.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self._has_ended = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport, to hold back a peer that sends faster than is read."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Keep what came."""
        self._data += data
        if self._transport is not None and len(self._data) > RECEIVE_BUFFER_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note the end; what is still to be sent goes out."""
        self._has_ended = True
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note how the connection ended."""
        self._has_ended = True
        self._error = exc
        self._wake()

    async def async_read(self) -> bytes:
        """Return what came, or nothing at the end; raise OSError after a failure."""
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
