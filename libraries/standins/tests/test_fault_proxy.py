"""Tests of links that lose, hold and swallow what passes through them."""

import asyncio

import pytest

from tarragonward_core import Address
from tarragonward_standins.fault_proxy import FaultProxy

LOCAL = Address("127.0.0.1", 0)


@pytest.fixture
async def link():
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


async def async_open(link):
    return await asyncio.open_connection(link.address.host, link.address.port)


async def async_echo_through(connection, data=b"x"):
    reader, writer = connection
    writer.write(data)
    async with asyncio.timeout(5):
        return await reader.readexactly(len(data))


async def test_open_connections_go_silent_for_good_and_new_ones_work(link):
    """No bytes and no end come back; only a time-out of the caller's own shows it."""
    old = await async_open(link)
    assert await async_echo_through(old) == b"x"
    link.blackhole_open_connections()
    old[1].write(b"y")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await old[0].read(1)
    new = await async_open(link)
    assert await async_echo_through(new) == b"x"
    for _, writer in (old, new):
        writer.close()


async def test_a_lossy_link_brings_all_in_order(link):
    link.faults.packet_loss_rate = 0.3
    link.faults.delay_seconds = 0.002
    connection = await async_open(link)
    for number in range(10):
        data = str(number).encode()
        assert await async_echo_through(connection, data) == data
    connection[1].close()


async def test_what_a_cut_holds_comes_after_it(link):
    connection = await async_open(link)
    link.faults.frozen = True
    connection[1].write(b"x")
    await asyncio.sleep(0.1)
    link.faults.frozen = False
    async with asyncio.timeout(5):
        assert await connection[0].read(1) == b"x"
    connection[1].close()
