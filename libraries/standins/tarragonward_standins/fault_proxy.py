"""Pass TCP through, and break it as told: delay, cut, drop mid-frame, freeze."""

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
# What one connection sends over a thin link before the others have their turn.
THIN_LINK_TURN_BYTES = 8 * 1024
# How far a thin link catches up with a turn that a busy machine brought late. Without
# it each late timer makes the link thinner than it was told to be.
THIN_LINK_LAG_SECONDS = 0.25
# A lost packet is sent again after this time, and what follows it waits.
RESEND_SECONDS = 0.2
FROZEN_STEP_SECONDS = 0.01
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class Faults:
    """What goes wrong now; change it while the proxy runs.

    cut_to_target and cut_to_caller swallow bytes of one direction (a one-way cut
    leaves connections open); refuse ends connections at once; frozen holds bytes
    until it is False again; drop_after_bytes ends a connection after that many bytes
    towards the caller, within a frame if need be. lost_share is of packets, each of
    which comes late. bytes_a_second is what all connections together carry towards
    the callers, as one thin link does.
    """

    delay_seconds: float = 0.0
    lost_share: float = 0.0
    cut_to_target: bool = False
    cut_to_caller: bool = False
    refuse: bool = False
    frozen: bool = False
    drop_after_bytes: int | None = None
    bytes_a_second: float = math.inf


@dataclass(eq=False)
class _Link:
    """One connection; a silent one passes nothing, not even its target's end."""

    is_silent: bool = False


class FaultProxy:
    """Stands on one address before one target."""

    def __init__(self, address: Address, target: Address, seed: int = 1) -> None:
        self.faults = Faults()
        self._random = random.Random(seed)
        self._links: set[_Link] = set()
        self._is_free_at = 0.0
        self._late_seconds = 0.0
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
        """Start to pass connections through."""
        self._server = await asyncio.start_server(
            self._async_accept, self._address.host, self._address.port
        )

    async def async_unload(self) -> None:
        """Stop, and end all connections."""
        if self._server is not None:
            self._server.close()
        self.end_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def end_connections(self) -> None:
        """Reset the connections that are open."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open(self) -> None:
        """Let the connections that are open go silent for good; new ones work."""
        for link in self._links:
            link.is_silent = True

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
        link = _Link()
        self._links.add(link)
        directions = [
            asyncio.create_task(self._async_pass(link, reader, target_writer, True)),
            asyncio.create_task(self._async_pass(link, target_reader, writer, False)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            ends = await asyncio.gather(*directions, return_exceptions=True)
            if any(isinstance(end, ConnectionResetError) for end in ends):
                _make_reset(writer)
                _make_reset(target_writer)
            self._links.discard(link)
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _async_pass(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        passed = 0
        while data := await reader.read(READ_BYTES):
            faults = self.faults
            was_frozen = faults.frozen
            await self._async_delay()
            if to_target and was_frozen and reader.at_eof():
                # What a cut held up is lost with its sender's connection.
                return
            is_cut = faults.cut_to_target if to_target else faults.cut_to_caller
            if is_cut or link.is_silent:
                continue
            limit = faults.drop_after_bytes
            if not to_target and limit is not None and passed + len(data) > limit:
                writer.write(data[: max(0, limit - passed)])
                await writer.drain()
                return
            passed += len(data)
            if to_target or math.isinf(faults.bytes_a_second):
                writer.write(data)
                await writer.drain()
            else:
                await self._async_pass_in_turns(data, writer)
        if link.is_silent and not to_target:
            await asyncio.Event().wait()

    async def _async_pass_in_turns(
        self, data: bytes, writer: asyncio.StreamWriter
    ) -> None:
        clock = asyncio.get_running_loop().time
        for start in range(0, len(data), THIN_LINK_TURN_BYTES):
            turn = data[start : start + THIN_LINK_TURN_BYTES]
            seconds = len(turn) / self.faults.bytes_a_second
            begun_at = clock() - self._late_seconds
            self._is_free_at = max(begun_at, self._is_free_at) + seconds
            due_at = self._is_free_at
            await asyncio.sleep(max(0.0, due_at - clock()))
            late = max(0.0, clock() - due_at)
            self._late_seconds = min(late, THIN_LINK_LAG_SECONDS)
            writer.write(turn)
            await writer.drain()

    async def _async_delay(self) -> None:
        faults = self.faults
        if faults.delay_seconds:
            await asyncio.sleep(faults.delay_seconds)
        while faults.lost_share and self._random.random() < faults.lost_share:
            await asyncio.sleep(RESEND_SECONDS)
        while faults.frozen:
            await asyncio.sleep(FROZEN_STEP_SECONDS)


def _make_reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
