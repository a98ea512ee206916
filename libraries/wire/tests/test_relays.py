"""Tests of connections to a target that pass through another host."""

import asyncio
import errno
import socket
import struct

import pytest

from tarragonward_core import (
    Address,
    ConnectionLostError,
    FrameError,
    HostIdentity,
    Metrics,
    NotConnectedError,
)
from tarragonward_wire import (
    PeerServer,
    RelayLostError,
    RelayRefusedError,
    RelayRequest,
    RelayResult,
    RelayServer,
    async_connect_by_link,
    async_connect_by_relay,
    async_open_http,
)

LOCAL = Address("127.0.0.1", 0)
CLOSED = Address("127.0.0.1", 9)
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
KEY = b"k" * 32


class Site:
    """A relay before one target, whose connections a script serves."""

    def __init__(self):
        self.tasks = set()

    async def async_setup(self, script, **options):
        async def serve(reader, writer):
            self.tasks.add(asyncio.current_task())
            self.target_writer = writer
            await script(reader, writer)

        self.target = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.address = Address(*self.target.sockets[0].getsockname()[:2])
        self.server = RelayServer(
            LOCAL, lambda host, request: self.address, Metrics(), **options
        )
        await self.server.async_setup()

    async def async_unload(self):
        await self.server.async_unload()
        self.target.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def async_connect(self):
        request = RelayRequest("t1", 0.2)
        return await async_connect_by_relay(self.server.address, request)

    def open(self, body=b"", **options):
        return async_open_http(
            self.address, "POST", "/", body=body, connect=self.async_connect, **options
        )


@pytest.fixture
async def make_site():
    sites = []

    async def async_make(script, **options):
        sites.append(Site())
        await sites[-1].async_setup(script, **options)
        return sites[-1]

    yield async_make
    for site in sites:
        await site.async_unload()


def answer(data):
    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        writer.close()

    return script


async def async_wait(is_met):
    async with asyncio.timeout(5):
        while not is_met():
            await asyncio.sleep(0.01)


async def test_request_and_answer_pass_through_the_relay_unchanged(make_site):
    received = []

    async def script(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        received.append((head, await reader.readexactly(300_000)))
        writer.write(NO_LENGTH + b"y" * 400_000)
        writer.close()

    site = await make_site(script)
    async with site.open(body=b"x" * 300_000) as stream:
        assert await stream.async_read_body() == b"y" * 400_000
    assert received[0][1] == b"x" * 300_000


async def test_answer_without_length_is_incomplete_if_the_relay_ends(make_site):
    """The relay dies in mid-answer; its closed connection must not be the end."""

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(NO_LENGTH + b"part")
        await asyncio.Event().wait()

    site = await make_site(script)
    with pytest.raises(ConnectionLostError) as caught:
        async with site.open() as stream:
            async for _ in stream.async_iterate_chunks():
                for connection in list(site.server.connections):
                    connection._transport.close()
    assert isinstance(caught.value.__cause__, RelayLostError)


async def test_reset_by_the_target_is_told_apart_from_its_end(make_site):
    """A target's reset must not look like the end of an answer without length."""

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(NO_LENGTH + b"part")
        await writer.drain()
        await asyncio.sleep(0.05)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()

    site = await make_site(script)
    with pytest.raises(ConnectionLostError) as caught:
        async with site.open() as stream:
            await stream.async_read_body()
    assert caught.value.__cause__.errno == errno.ECONNRESET
    assert not isinstance(caught.value.__cause__, RelayLostError)


async def test_target_that_takes_no_connection_was_sent_nothing(make_site):
    """Only a relay's word that it has not connected makes a repeat safe."""
    site = await make_site(answer(b""))
    site.address = CLOSED
    with pytest.raises(RelayRefusedError) as caught:
        await site.async_connect()
    assert caught.value.result is RelayResult.TARGET_UNREACHABLE
    written = []
    with pytest.raises(NotConnectedError):
        async with site.open(before_write=lambda: written.append(1)):
            pass
    assert not written


async def test_target_stops_when_the_caller_of_the_host_leaves(make_site):
    """The host drops the request; its run at the target must not go on."""
    ended = asyncio.Event()

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(NO_LENGTH + b"part")
        await reader.read()
        ended.set()

    site = await make_site(script)
    async with site.open():
        pass
    async with asyncio.timeout(0.5):
        await ended.wait()
    await async_wait(lambda: not site.server.connections)


async def test_sound_target_that_is_silent_for_a_second_goes_on(make_site):
    """The time-outs of an unreachable peer must not end a connection that is idle."""

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(NO_LENGTH + b"part")
        await asyncio.sleep(1.5)
        writer.write(b"rest")
        writer.close()

    site = await make_site(script)
    async with site.open(unreachable_timeout=2.5) as stream:
        assert await stream.async_read_body() == b"partrest"


async def test_slow_reader_stops_the_target_and_not_the_relay(make_site):
    """A caller that does not read must not fill the relay's memory."""
    sent = 0

    async def script(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(NO_LENGTH)
        while True:
            writer.write(b"z" * 65_536)
            await writer.drain()
            sent += 65_536

    site = await make_site(script)
    async with site.open():
        await asyncio.sleep(0.3)
        before = sent
        await asyncio.sleep(0.3)
        assert sent == before
        [connection] = site.server.connections
        assert connection._transport.get_write_buffer_size() < 4 * 1024 * 1024


@pytest.fixture
async def make_linked(make_site):
    """Return a function that makes a relay behind the listener of links."""
    servers = []

    async def async_make(script):
        site = await make_site(script)
        identity = HostIdentity(Address("127.0.0.1", 1), 7)

        async def handle(peer, message):
            return None

        metrics = Metrics()
        server = PeerServer(identity, KEY, handle, metrics, LOCAL, site.server)
        await server.async_setup()
        servers.append(server)
        port = server._server.sockets[0].getsockname()[1]
        return site, Address("127.0.0.1", port), metrics

    yield async_make
    for server in servers:
        await server.async_unload()


async def test_link_becomes_a_connection_to_a_target(make_linked):
    site, address, _ = await make_linked(answer(NO_LENGTH + b"whole"))
    identity = HostIdentity(Address("127.0.0.1", 2), 8)
    request = RelayRequest("t1", 0.2)

    def connect():
        return async_connect_by_link(address, request, identity, KEY)

    async with async_open_http(site.address, "GET", "/", connect=connect) as stream:
        assert await stream.async_read_body() == b"whole"
    await async_wait(lambda: not site.server.connections)


async def test_link_with_a_wrong_key_reaches_no_target(make_linked):
    """A process without the key must not reach targets through a host."""
    site, address, metrics = await make_linked(answer(NO_LENGTH))
    identity = HostIdentity(Address("127.0.0.1", 2), 8)
    request = RelayRequest("t1", 0.2)
    with pytest.raises((FrameError, OSError)):
        await async_connect_by_link(address, request, identity, b"w" * 32)
    assert not site.tasks
    assert metrics.get_count("bad_frames") == 1


async def test_relay_refuses_more_connections_than_its_limit(make_site):
    """A host whose peers have all lost their links must keep serving its callers."""

    async def script(reader, writer):
        await asyncio.Event().wait()

    site = await make_site(script, max_connections=2)
    opened = [await site.async_connect() for _ in range(2)]
    with pytest.raises(RelayRefusedError) as caught:
        await site.async_connect()
    assert caught.value.result is RelayResult.BUSY
    opened[0][0].abort()
    await async_wait(lambda: len(site.server.connections) == 1)
    transport, _ = await site.async_connect()
    transport.abort()
    opened[1][0].abort()
    await site.server.async_wait_idle()


@pytest.mark.parametrize(
    "data", [b"\xc1", b"\x93\x01", b"GET / HTTP/1.1\r\n\r\n", b"x" * 5_000]
)
async def test_malformed_request_for_a_relay_ends_its_connection(make_site, data):
    site = await make_site(answer(b""))
    address = site.server.address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    writer.write_eof()
    async with asyncio.timeout(5):
        await asyncio.gather(reader.read(), return_exceptions=True)
    await async_wait(lambda: not site.server.connections)
    writer.close()


async def test_unknown_answer_of_a_relay_counts_as_a_lost_relay():
    """A later version may answer with a result that this one does not know."""

    async def serve(reader, writer):
        await reader.read(100)
        writer.write(b"\x7f")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    with pytest.raises(RelayLostError):
        await async_connect_by_relay(address, RelayRequest("t1", 0.2))
    server.close()
