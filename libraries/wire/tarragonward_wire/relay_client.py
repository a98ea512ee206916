"""Connect to a target through another host."""

from __future__ import annotations

import asyncio
import os

import msgpack

from tarragonward_core import Address, HostIdentity, NotConnectedError

from .codec import encode_message
from .const import MAX_FRAME_BYTES
from .envelopes import Envelope, OpenRelay
from .frames import FrameStream, async_handshake
from .receiver import Receiver
from .relay_messages import RelayEnd, RelayRequest, RelayResult

__all__ = [
    "RelayLostError",
    "RelayRefusedError",
    "async_connect_by_link",
    "async_connect_by_relay",
]


class RelayRefusedError(NotConnectedError):
    """The other host has not connected to the target; result says why."""

    def __init__(self, result: RelayResult) -> None:
        super().__init__(f"relay: {result.name.lower()}")
        self.result = result


class RelayLostError(ConnectionResetError):
    """The connection to the other host was lost; nothing is known of the target."""


class _RelayReceiver(Receiver):
    """Unpacks the target's bytes; the end of the connection alone is an error."""

    def __init__(self, stream: FrameStream | None = None) -> None:
        super().__init__()
        # Kept, as a stream that is no longer referenced closes its connection.
        self._stream = stream
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
        self.result: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        # The caller may have left by the time that the result is known.
        self.result.add_done_callback(lambda done: done.cancelled() or done.exception())

    def data_received(self, data: bytes) -> None:
        """Handle the answer to the request, then the target's bytes and their end."""
        try:
            self._unpacker.feed(data)
            items = list(self._unpacker)
        except (ValueError, msgpack.UnpackException):
            self._abort()
            return
        for item in items:
            if not self.result.done():
                self.result.set_result(item)
            elif isinstance(item, bytes):
                super().data_received(item)
            elif isinstance(item, int):
                self._end(RelayEnd(item))
            else:
                self._abort()
                return

    def _abort(self) -> None:
        """Give the connection up, as the host sends bytes that mean nothing."""
        self.connection_lost(None)
        if self._transport is not None:
            self._transport.abort()

    def eof_received(self) -> bool:
        """Fail unless the target's end was reported before."""
        self.connection_lost(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail unless the target's end was reported before."""
        if not self.result.done():
            self.result.set_exception(RelayLostError("the relay closed the connection"))
        if not self.has_ended:
            super().connection_lost(RelayLostError("the link to the relay was lost"))

    def _end(self, end: RelayEnd) -> None:
        if not end.errno:
            super().eof_received()
        else:
            super().connection_lost(OSError(end.errno, os.strerror(end.errno)))


async def async_connect_by_relay(
    relay: Address, request: RelayRequest
) -> tuple[asyncio.Transport, Receiver]:
    """Return a connection to the target of a request, joined by the host at relay.

    Raise RelayRefusedError if that host has not connected to the target, and OSError if
    it can't be asked. Nothing has been sent to the target then.
    """
    transport, receiver = await asyncio.get_running_loop().create_connection(
        _RelayReceiver, relay.host, relay.port
    )
    transport.write(request.pack())
    return await _async_wait_connected(transport, receiver)


async def async_connect_by_link(
    relay: Address, request: RelayRequest, identity: HostIdentity, key: bytes
) -> tuple[asyncio.Transport, Receiver]:
    """Like async_connect_by_relay, over a link that proves the shared key first.

    Raise FrameError if the host has another key or protocol version.
    """
    reader, writer = await asyncio.open_connection(relay.host, relay.port)
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    try:
        stream = await async_handshake(reader, writer, identity, key, is_client=True)
        message = encode_message(OpenRelay(request.target, request.timeout_seconds))
        envelope = Envelope(0, False, asyncio.get_running_loop().time(), message)
        # The host answers only once it has the request, so nothing is left unread in
        # the reader when the receiver takes the connection over.
        receiver = _RelayReceiver(stream)
        transport.set_protocol(receiver)
        receiver.connection_made(transport)
        await stream.async_send(encode_message(envelope))
    except EOFError as err:
        transport.abort()
        raise RelayLostError("the relay closed the connection") from err
    except BaseException:
        transport.abort()
        raise
    return await _async_wait_connected(transport, receiver)


async def _async_wait_connected(
    transport: asyncio.Transport, receiver: _RelayReceiver
) -> tuple[asyncio.Transport, Receiver]:
    try:
        result = RelayResult(await receiver.result)
        if result is not RelayResult.CONNECTED:
            raise RelayRefusedError(result)
    except BaseException as err:
        transport.abort()
        if isinstance(err, ValueError):
            raise RelayLostError("the relay's answer is unknown") from err
        raise
    return transport, receiver
