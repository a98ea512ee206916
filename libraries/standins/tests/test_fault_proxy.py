"""Tests of the fault proxy."""

import asyncio

import pytest

from tarragonward_core import Address
from tarragonward_standins.fault_proxy import FaultProxy

LOCAL = Address("127.0.0.1", 0)


@pytest.fixture
async def proxy():
    async def async_echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(async_echo, "127.0.0.1", 0)
    proxy = FaultProxy(LOCAL, Address(*server.sockets[0].getsockname()[:2]))
    await proxy.async_setup()
    yield proxy
    await proxy.async_unload()
    server.close()


async def async_open(proxy):
    return await asyncio.open_connection(proxy.address.host, proxy.address.port)


async def async_roundtrip(connection, data=b"x"):
    reader, writer = connection
    writer.write(data)
    async with asyncio.timeout(5):
        return await reader.readexactly(len(data))


async def test_open_connections_are_blackholed_and_new_ones_work(proxy):
    """Neither data nor EOF arrives, so only the caller's own timeout detects it."""
    old = await async_open(proxy)
    assert await async_roundtrip(old) == b"x"
    proxy.blackhole_open_connections()
    old[1].write(b"y")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await old[0].read(1)
    new = await async_open(proxy)
    assert await async_roundtrip(new) == b"x"
    for _, writer in (old, new):
        writer.close()


async def test_packet_loss_keeps_data_complete_and_in_order(proxy):
    proxy.faults.packet_loss_rate = 0.3
    proxy.faults.delay_seconds = 0.002
    connection = await async_open(proxy)
    for number in range(10):
        data = str(number).encode()
        assert await async_roundtrip(connection, data) == data
    connection[1].close()


async def test_frozen_data_is_delivered_after_the_freeze(proxy):
    connection = await async_open(proxy)
    proxy.faults.frozen = True
    connection[1].write(b"x")
    await asyncio.sleep(0.1)
    proxy.faults.frozen = False
    async with asyncio.timeout(5):
        assert await connection[0].read(1) == b"x"
    connection[1].close()
