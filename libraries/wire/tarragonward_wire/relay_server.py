"""Connect other hosts to targets that they can't connect to themselves."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

import msgpack

from tarragonward_core import Address, FrameError, Metrics

from . import const as c
from .frames import FrameStream
from .keepalive import set_unreachable_timeout
from .pause_timeout import PauseTimeout
from .relay_messages import (
    MAX_REQUEST_BYTES,
    RelayEnd,
    RelayRequest,
    RelayResult,
    pack_frame,
)

__all__ = ["RelayResolver", "RelayServer"]

# Returns the address of a target, or the result that refuses the request. The first
# argument is the IP address of the host that asks.
RelayResolver = Callable[[str, RelayRequest], Address | RelayResult]
# Called with the id of a target that took no connection.
UnreachableHandler = Callable[[str], None]


class RelayServer:
    """Listens for other hosts and joins each connection with one to a target.

    Without an address to listen on, connections come by adopt() only. Their number is
    bounded, so that a host whose peers have all lost their links keeps serving its own
    callers.
    """

    def __init__(
        self,
        listen: Address | None,
        resolve: RelayResolver,
        metrics: Metrics,
        max_connections: int = c.MAX_RELAYED_CONNECTIONS,
    ) -> None:
        self._listen = listen
        self._metrics = metrics
        self._max_connections = max_connections
        self._server: asyncio.Server | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        self.resolve = resolve
        self.on_unreachable: UnreachableHandler = lambda target: None
        self.connections: set[_HostConnection] = set()

    @property
    def address(self) -> Address:
        """Return the address in use."""
        assert self._server is not None
        return Address(*self._server.sockets[0].getsockname()[:2])

    async def async_setup(self) -> None:
        """Start listening."""
        if self._listen is None:
            return
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _HostConnection(self), self._listen.host, self._listen.port
        )

    async def async_unload(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    async def async_wait_idle(self) -> None:
        """Wait until no connection is left."""
        await self._idle.wait()

    def adopt(self, stream: FrameStream, request: RelayRequest) -> None:
        """Take over a link on which a host has sent its request already."""
        transport = stream.transport
        connection = _HostConnection(self, stream)
        transport.set_protocol(connection)
        connection.connection_made(transport)
        if not transport.is_closing():
            connection.open(request)

    def add(self, connection: _HostConnection) -> bool:
        """Count a connection; return whether there is room for it."""
        if len(self.connections) >= self._max_connections:
            return False
        self.connections.add(connection)
        self._idle.clear()
        return True

    def remove(self, connection: _HostConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.discard(connection)
        if not self.connections:
            self._idle.set()

    def count(self, result: RelayResult) -> None:
        """Count an answer to a host."""
        self._metrics.count("relayed_for_others", result.name.lower())


class _HostConnection(asyncio.Protocol):
    """A connection of another host, and the one to the target that it is joined with.

    A writer whose peer does not read pauses the other connection, so a slow caller or
    target holds up only its own request.
    """

    def __init__(self, server: RelayServer, stream: FrameStream | None = None) -> None:
        self._server = server
        # Kept, as a stream that is no longer referenced closes its connection.
        self._stream = stream
        self._opening = bytearray()
        self._transport: asyncio.Transport | None = None
        self._target: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, or refuse it."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_unreachable_timeout(transport, c.RELAY_UNREACHABLE_SECONDS)
        if not self._server.add(self):
            self._refuse(RelayResult.BUSY)

    def data_received(self, data: bytes) -> None:
        """Pass the host's bytes on, once its request was granted."""
        if self._target is not None:
            self._target.write(data)
            return
        self._opening += data
        if self._task is not None or len(self._opening) > MAX_REQUEST_BYTES:
            # Nothing may follow the request before it is answered.
            self.abort()
            return
        try:
            message = msgpack.unpackb(bytes(self._opening))
        except ValueError:
            return
        try:
            self.open(RelayRequest.unpack(message))
        except FrameError:
            self._refuse(RelayResult.NOT_ACCEPTED)

    def open(self, request: RelayRequest) -> None:
        """Start to connect to the target of the host's request."""
        self._task = asyncio.create_task(self._async_open(request))

    def eof_received(self) -> bool:
        """End both connections: the host has no more use for the target's answer."""
        self.abort()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection to the target, so that it stops work."""
        if self._task is not None:
            self._task.cancel()
        if self._target is not None:
            self._target.abort()
        self._server.remove(self)

    def pause_writing(self) -> None:
        """Stop reading from the target while the host does not read."""
        if self._target is not None:
            self._target.pause_reading()

    def resume_writing(self) -> None:
        """Read from the target again."""
        if self._target is not None:
            self._target.resume_reading()

    def abort(self) -> None:
        """End both connections at once."""
        if self._transport is not None:
            self._transport.abort()

    def send(self, data: bytes) -> None:
        """Pass bytes of the target on to the host."""
        assert self._transport is not None
        self._transport.write(pack_frame(data))

    def finish(self, end: RelayEnd) -> None:
        """Tell the host how the target's connection ended, and close."""
        assert self._transport is not None
        if not self._transport.is_closing():
            self._transport.write(end.pack())
            self._transport.close()

    def set_reading(self, is_reading: bool) -> None:
        """Read from the host only while the target reads."""
        assert self._transport is not None
        if is_reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    async def _async_open(self, request: RelayRequest) -> None:
        assert self._transport is not None
        asking = self._transport.get_extra_info("peername")[0]
        found = self._server.resolve(asking, request)
        if isinstance(found, RelayResult):
            self._refuse(found)
            return
        loop = asyncio.get_running_loop()
        seconds = min(request.timeout_seconds, c.RELAYED_CONNECT_TIMEOUT_SECONDS)
        try:
            async with PauseTimeout(loop.time() + seconds):
                self._target, _ = await loop.create_connection(
                    lambda: _TargetConnection(self), found.host, found.port
                )
        except (OSError, TimeoutError):
            self._server.on_unreachable(request.target)
            self._refuse(RelayResult.TARGET_UNREACHABLE)
            return
        set_unreachable_timeout(self._target, c.RELAY_UNREACHABLE_SECONDS)
        self._server.count(RelayResult.CONNECTED)
        self._transport.write(msgpack.packb(RelayResult.CONNECTED.value))

    def _refuse(self, result: RelayResult) -> None:
        assert self._transport is not None
        self._server.count(result)
        self._transport.write(msgpack.packb(result.value))
        self._transport.close()


class _TargetConnection(asyncio.Protocol):
    """The connection to the target of one host's connection."""

    def __init__(self, host: _HostConnection) -> None:
        self._host = host

    def data_received(self, data: bytes) -> None:
        """Pass the target's bytes on."""
        self._host.send(data)

    def eof_received(self) -> bool:
        """Tell the host that the target has closed the connection."""
        self._host.finish(RelayEnd())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the host that the connection was lost, and why."""
        code = getattr(exc, "errno", None) or errno.ECONNRESET
        self._host.finish(RelayEnd(code))

    def pause_writing(self) -> None:
        """Stop reading from the host while the target does not read."""
        self._host.set_reading(False)

    def resume_writing(self) -> None:
        """Read from the host again."""
        self._host.set_reading(True)
