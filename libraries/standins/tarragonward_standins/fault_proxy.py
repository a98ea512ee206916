"""Pass TCP through, and break it as told: delay, cut, drop mid-frame, freeze."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tarragonward_core import Address

__all__ = ["FaultProxy", "Faults"]

READ_BYTES = 64 * 1024


@dataclass
class Faults:
    """What goes wrong now; change it while the proxy runs.

    cut_to_target and cut_to_caller swallow bytes of one direction (a one-way cut
    leaves connections open); refuse ends connections at once; frozen holds bytes
    until it is False again; drop_after_bytes ends a connection after that many bytes
    towards the caller, within a frame if need be.
    """

    delay_seconds: float = 0.0
    cut_to_target: bool = False
    cut_to_caller: bool = False
    refuse: bool = False
    frozen: bool = False
    drop_after_bytes: int | None = None


class FaultProxy:
    """Stands on one address before one target."""

    def __init__(self, address: Address, target: Address) -> None:
        self.faults = Faults()
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
        directions = [
            asyncio.create_task(self._async_pass(reader, target_writer, True)),
            asyncio.create_task(self._async_pass(target_reader, writer, False)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _async_pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        passed = 0
        while data := await reader.read(READ_BYTES):
            faults = self.faults
            await asyncio.sleep(faults.delay_seconds)
            while faults.frozen:
                await asyncio.sleep(0.01)
            if faults.cut_to_target if to_target else faults.cut_to_caller:
                continue
            limit = faults.drop_after_bytes
            if not to_target and limit is not None and passed + len(data) > limit:
                writer.write(data[: max(0, limit - passed)])
                await writer.drain()
                return
            passed += len(data)
            writer.write(data)
            await writer.drain()
