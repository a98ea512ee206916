"""Connect to a target through another host."""

from __future__ import annotations

import asyncio
import os

import msgpack

from tarragonward_core import Address, NotConnectedError

from .const import MAX_FRAME_BYTES
from .receiver import Receiver
from .relay_messages import NONCE_BYTES, RelayEnd, RelayRequest, RelayResult

__all__ = ["RelayLostError", "RelayRefusedError", "async_connect_by_relay"]


class RelayRefusedError(NotConnectedError):
    """The other host has not connected to the target; result says why."""

    def __init__(self, result: RelayResult) -> None:
        super().__init__(f"relay: {result.name.lower()}")
        self.result = result


class RelayLostError(ConnectionResetError):
    """The connection to the other host was lost; nothing is known of the target."""


class _RelayReceiver(Receiver):
    """Unpacks the target's bytes; the end of the connection alone is an error."""

    def __init__(self) -> None:
        super().__init__()
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
        self.result: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.nonce: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.expects_nonce = False

    def data_received(self, data: bytes) -> None:
        """Handle the answer to the request, then the target's bytes and their end."""
        if self.expects_nonce and not self.nonce.done():
            self.nonce.set_result(data[:NONCE_BYTES])
            data = data[NONCE_BYTES:]
        self._unpacker.feed(data)
        for item in self._unpacker:
            if not self.result.done():
                self.result.set_result(item)
            elif isinstance(item, bytes):
                super().data_received(item)
            elif isinstance(item, int):
                self._end(RelayEnd(item))
            else:
                self.connection_lost(None)

    def eof_received(self) -> bool:
        """Fail unless the target's end was reported before."""
        self.connection_lost(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail unless the target's end was reported before."""
        for future in (self.result, self.nonce):
            if not future.done():
                future.set_exception(RelayLostError("the relay closed the connection"))
                # Mark it as retrieved: only one of the two is ever awaited.
                future.exception()
        if not self.has_ended:
            super().connection_lost(RelayLostError("the link to the relay was lost"))

    def _end(self, end: RelayEnd) -> None:
        if not end.errno:
            super().eof_received()
        else:
            super().connection_lost(OSError(end.errno, os.strerror(end.errno)))


async def async_connect_by_relay(
    relay: Address, request: RelayRequest, key: bytes = b""
) -> tuple[asyncio.Transport, Receiver]:
    """Return a connection to the target of a request, joined by the host at relay.

    Raise RelayRefusedError if that host has not connected to the target, and OSError if
    it can't be asked. Nothing has been sent to the target then.
    """
    transport, receiver = await asyncio.get_running_loop().create_connection(
        _RelayReceiver, relay.host, relay.port
    )
    try:
        nonce = b""
        if key:
            receiver.expects_nonce = True
            nonce = await receiver.nonce
        transport.write(request.pack(key, nonce))
        result = RelayResult(await receiver.result)
        if result is not RelayResult.CONNECTED:
            raise RelayRefusedError(result)
    except BaseException as err:
        transport.abort()
        if isinstance(err, ValueError):
            raise RelayLostError("the relay's answer is unknown") from err
        raise
    return transport, receiver
