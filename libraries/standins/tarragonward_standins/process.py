"""Run a stand-in as a process until SIGTERM."""

from __future__ import annotations

import asyncio
import signal
from typing import Protocol

__all__ = ["run_server"]


class Server(Protocol):
    """A server that can be set up and unloaded."""

    async def async_setup(self) -> None:
        """Start serving."""

    async def async_unload(self) -> None:
        """Stop serving."""


def run_server(server: Server) -> None:
    """Serve until SIGTERM or SIGINT."""
    asyncio.run(_async_run(server))


async def _async_run(server: Server) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await server.async_setup()
    print("ready", flush=True)
    await stopped.wait()
    await server.async_unload()
