"""Ask hosts of the platform's stand-in whether they are ready."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from tarragonward_core import Address, TargetError
from tarragonward_wire import async_send_http

__all__ = ["HostStartError", "async_ask_ready", "async_wait_ready"]

PATH = "/ready"
STATUS_OK = 200
ANSWER_TIMEOUT_SECONDS = 0.4
POLL_SECONDS = 0.05
SETUP_SECONDS = 30.0
LOGGED_LINES = 20


class HostStartError(Exception):
    """A host's process has ended, or is not ready in time."""


async def async_ask_ready(address: Address) -> bool:
    """Return whether a host says that it is ready."""
    with suppress(TargetError):
        answer = await async_send_http(
            address, "GET", PATH, timeout=ANSWER_TIMEOUT_SECONDS
        )
        return answer.status == STATUS_OK
    return False


async def async_wait_ready(
    address: Address,
    process: asyncio.subprocess.Process,
    read_log: Callable[[], str],
) -> None:
    """Wait until a host is ready; raise HostStartError with the end of its log."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + SETUP_SECONDS
    while not await async_ask_ready(address):
        if process.returncode is not None or loop.time() >= deadline:
            last_lines = "\n".join(read_log().splitlines()[-LOGGED_LINES:])
            raise HostStartError(
                f"the host with {address} is not ready, "
                f"exit code {process.returncode}:\n{last_lines}"
            )
        await asyncio.sleep(POLL_SECONDS)
