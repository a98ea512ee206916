"""Tests of the answers of services to calls."""

import asyncio
from dataclasses import dataclass

import pytest

from tarragonward_core import Address, ConnectionLostError
from tarragonward_daemon.calls import ServiceCall, _async_send
from tarragonward_standins import ScriptedTarget, build_answer

TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True)
class Target:
    address: Address


async def async_call(target):
    deadline = asyncio.get_running_loop().time() + TIMEOUT_SECONDS
    call = ServiceCall("town", "app", "confirm", "text/plain", b"x", deadline)
    return await _async_send(call, Target(target.address), TIMEOUT_SECONDS, None)


async def test_answer_cut_by_a_crash_is_not_recorded():
    """The answer has no length; recorded, its part would be given to all repeats."""

    async def script(request, writer):
        writer.write(build_answer(request, b"part", framing=()))
        await writer.drain()
        await target.async_unload()

    target = ScriptedTarget(script)
    await target.async_setup()
    with pytest.raises(ConnectionLostError, match="ended with its answer"):
        await async_call(target)


async def test_answer_that_ends_with_its_connection_is_recorded():
    async def script(request, writer):
        writer.write(build_answer(request, b"whole", framing=()))

    target = ScriptedTarget(script)
    await target.async_setup()
    assert (await async_call(target)).body == b"whole"
    await target.async_unload()
