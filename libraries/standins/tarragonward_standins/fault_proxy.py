"""TCP proxy that injects faults: delay, packet loss, one-way loss, resets, pauses."""

from __future__ import annotations

import asyncio
import math
import random
import socket
import struct
from dataclasses import dataclass

from tarragonward_core import Address

__all__ = ["FaultProxy", "Faults"]

READ_BYTES = 64 * 1024
# Bytes that a connection sends over a rate-limited link before others get a turn.
BANDWIDTH_SLICE_BYTES = 8 * 1024
# How much timer lag the rate limit makes up for. Without it, each late timer on a busy
# machine would lower the rate below bytes_per_second.
MAX_BANDWIDTH_CATCH_UP_SECONDS = 0.25
# A lost packet is retransmitted after this time; the data after it waits.
RETRANSMIT_SECONDS = 0.2
FROZEN_POLL_SECONDS = 0.01
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class Faults:
    """The faults in effect; may be changed while the proxy runs.

    blackhole_to_target, blackhole_to_caller: discard the bytes of one direction and
        leave connections open.
    refuse: close new connections at once.
    frozen: hold all bytes until it is False again.
    close_after_bytes: close a connection after this many bytes towards the caller,
        even within a frame.
    packet_loss_rate: the share of packets that arrive late, by a retransmission.
    bytes_per_second: the rate towards the callers that all connections share.
    """

    delay_seconds: float = 0.0
    packet_loss_rate: float = 0.0
    blackhole_to_target: bool = False
    blackhole_to_caller: bool = False
    refuse: bool = False
    frozen: bool = False
    close_after_bytes: int | None = None
    bytes_per_second: float = math.inf


@dataclass(eq=False)
class _Connection:
    """One connection; a blackholed one relays nothing, not even the target's close."""

    source: str
    writers: tuple[asyncio.StreamWriter, ...] = ()
    is_blackholed: bool = False


class FaultProxy:
    """Listens on an address and relays connections to one target."""

    def __init__(self, address: Address, target: Address, seed: int = 1) -> None:
        self.faults = Faults()
        self._random = random.Random(seed)
        self._connections: set[_Connection] = set()
        self._link_free_at = 0.0
        self._timer_lag_seconds = 0.0
        self._address = address
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> Address:
        """Return the address in use."""
        if self._server is None:
            return self._address
        return Address(*self._server.sockets[0].getsockname()[:2])

    async def async_setup(self) -> None:
        """Start relaying connections."""
        self._server = await asyncio.start_server(
            self._async_accept, self._address.host, self._address.port
        )

    def stop_listening(self) -> None:
        """Accept no more connections; open ones go on."""
        if self._server is not None:
            self._server.close()

    async def async_unload(self) -> None:
        """Stop and abort all connections."""
        self.stop_listening()
        self.abort_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def abort_connections(self, source: str | None = None) -> None:
        """Abort the open connections, or reset those that come from one address."""
        if source is None:
            for writer in list(self._writers):
                writer.transport.abort()
        for connection in self._connections:
            if connection.source == source:
                for writer in connection.writers:
                    if not writer.transport.is_closing():
                        _reset_on_close(writer)
                        writer.transport.abort()

    def blackhole_open_connections(self, source: str | None = None) -> None:
        """Discard all further data of the open connections; new ones work.

        source: only of the connections that come from this address.
        """
        for connection in self._connections:
            if source in (None, connection.source):
                connection.is_blackholed = True

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._async_connect(reader, writer)
        except (OSError, asyncio.CancelledError):
            # The end of this connection's own task; asyncio would log a cancelled one.
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _async_connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuse:
            return
        target_reader, target_writer = await asyncio.open_connection(
            self._target.host, self._target.port
        )
        self._writers.add(target_writer)
        source = writer.get_extra_info("peername")[0]
        connection = _Connection(source, (writer, target_writer))
        self._connections.add(connection)
        directions = [
            asyncio.create_task(
                self._async_relay(connection, reader, target_writer, True)
            ),
            asyncio.create_task(
                self._async_relay(connection, target_reader, writer, False)
            ),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            results = await asyncio.gather(*directions, return_exceptions=True)
            if any(isinstance(result, ConnectionResetError) for result in results):
                _reset_on_close(writer)
                _reset_on_close(target_writer)
            self._connections.discard(connection)
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _async_relay(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        relayed_bytes = 0
        while data := await reader.read(READ_BYTES):
            faults = self.faults
            was_frozen = faults.frozen
            await self._async_delay()
            if to_target and was_frozen and reader.at_eof():
                # Data held by a freeze is lost if its sender has closed the connection.
                return
            is_discarded = (
                faults.blackhole_to_target if to_target else faults.blackhole_to_caller
            )
            if is_discarded or connection.is_blackholed:
                continue
            max_bytes = faults.close_after_bytes
            if (
                not to_target
                and max_bytes is not None
                and relayed_bytes + len(data) > max_bytes
            ):
                writer.write(data[: max(0, max_bytes - relayed_bytes)])
                await writer.drain()
                return
            relayed_bytes += len(data)
            if to_target or math.isinf(faults.bytes_per_second):
                writer.write(data)
                await writer.drain()
            else:
                await self._async_relay_at_limited_rate(data, writer)
        if connection.is_blackholed and not to_target:
            await asyncio.Event().wait()

    async def _async_relay_at_limited_rate(
        self, data: bytes, writer: asyncio.StreamWriter
    ) -> None:
        clock = asyncio.get_running_loop().time
        for start in range(0, len(data), BANDWIDTH_SLICE_BYTES):
            slice_bytes = data[start : start + BANDWIDTH_SLICE_BYTES]
            seconds = len(slice_bytes) / self.faults.bytes_per_second
            started_at = clock() - self._timer_lag_seconds
            self._link_free_at = max(started_at, self._link_free_at) + seconds
            due_at = self._link_free_at
            await asyncio.sleep(max(0.0, due_at - clock()))
            lag = max(0.0, clock() - due_at)
            self._timer_lag_seconds = min(lag, MAX_BANDWIDTH_CATCH_UP_SECONDS)
            writer.write(slice_bytes)
            await writer.drain()

    async def _async_delay(self) -> None:
        faults = self.faults
        if faults.delay_seconds:
            await asyncio.sleep(faults.delay_seconds)
        while (
            faults.packet_loss_rate and self._random.random() < faults.packet_loss_rate
        ):
            await asyncio.sleep(RETRANSMIT_SECONDS)
        while faults.frozen:
            await asyncio.sleep(FROZEN_POLL_SECONDS)


def _reset_on_close(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
