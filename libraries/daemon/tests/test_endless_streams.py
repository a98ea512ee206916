"""Tests of engines that send bytes without end."""

import asyncio

import pytest

from tarragonward_core import TargetError
from tarragonward_daemon.engines import async_read_stream
from tarragonward_standins.endless import EndlessBytes, EndlessServer
from tarragonward_wire import async_open_http

WAIT_SECONDS = 5.0


@pytest.mark.parametrize("kind", list(EndlessBytes))
async def test_stream_without_end_is_left(kind):
    """A line is held until it is complete, so it must not grow without a bound."""
    engine = EndlessServer(kind)
    await engine.async_setup()
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            with pytest.raises(TargetError):
                async with async_open_http(engine.address, "GET", "/") as stream:
                    async for _ in async_read_stream(stream):
                        pass
    finally:
        await engine.async_unload()
