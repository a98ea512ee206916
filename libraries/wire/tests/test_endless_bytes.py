"""Tests of clients whose server sends bytes without end that are no answer."""

import asyncio

import pytest

from tarragonward_core import Address, FrameError, HostIdentity, TargetError
from tarragonward_standins.endless import EndlessBytes, EndlessServer
from tarragonward_wire import (
    RelayRequest,
    async_connect_by_relay,
    async_handshake,
    async_open_http,
    async_send_http,
)

LIMIT_BYTES = 1024 * 1024
# What the sockets' buffers on both sides may hold beyond the limit.
SLACK_BYTES = 12 * 1024 * 1024
TIMEOUT_SECONDS = 3.0


@pytest.fixture
async def start_endless():
    servers = []

    async def async_start(kind, first=None):
        servers.append(EndlessServer(kind, first))
        await servers[-1].async_setup()
        return servers[-1]

    yield async_start
    for server in servers:
        await server.async_unload()


async def async_check_closed(server):
    """Check that the client has closed the connection before it took much."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while server.open_connections:
            await asyncio.sleep(0.01)
    assert server.sent_bytes <= LIMIT_BYTES + SLACK_BYTES


@pytest.mark.parametrize("kind", list(EndlessBytes))
async def test_answer_without_end_is_given_up(start_endless, kind):
    """The client must not hold more than its limit, nor wait for its timeout."""
    server = await start_endless(kind)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        with pytest.raises(TargetError):
            await async_send_http(
                server.address,
                "GET",
                "/",
                timeout=2 * TIMEOUT_SECONDS,
                inactivity_timeout=TIMEOUT_SECONDS,
                max_bytes=LIMIT_BYTES,
            )
    await async_check_closed(server)


async def test_line_without_end_is_given_up(start_endless):
    """A stream's reader must not buffer a line of any length."""
    server = await start_endless(EndlessBytes.BODY)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        with pytest.raises(TargetError):
            async with async_open_http(server.address, "GET", "/") as stream:
                async for _ in stream.async_iterate_lines():
                    pass
    await async_check_closed(server)


@pytest.mark.parametrize("first", [b"", b"\x00", b"\xc6\x7f\xff\xff\xff"])
async def test_relay_that_sends_bytes_without_end_is_given_up(start_endless, first):
    """A relay's bytes must not be buffered without a bound, nor read for good."""
    server = await start_endless(EndlessBytes.GARBAGE, first)
    request = RelayRequest("t1", 1.0)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        with pytest.raises((OSError, TargetError)):
            transport, receiver = await async_connect_by_relay(server.address, request)
            try:
                while await receiver.async_read():
                    pass
                raise TargetError("the relay ended the connection")
            finally:
                transport.abort()
    await async_check_closed(server)


@pytest.mark.parametrize("first", [b"", b"\x00\x00\x00\x40"])
async def test_peer_that_sends_bytes_without_end_is_given_up(start_endless, first):
    """A host that opens a link must not wait for, or buffer, an endless greeting."""
    server = await start_endless(EndlessBytes.GARBAGE, first)
    identity = HostIdentity(Address("127.0.0.1", 1), 1)
    address = server.address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        with pytest.raises((FrameError, EOFError)):
            await async_handshake(reader, writer, identity, b"k" * 32, is_client=True)
    writer.transport.abort()
    await async_check_closed(server)
