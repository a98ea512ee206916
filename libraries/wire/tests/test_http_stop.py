"""Tests for the graceful shutdown of the HTTP server, as seen by callers."""

import asyncio
import socket

import pytest

from tarragonward_core import Address
from tarragonward_wire import HttpServer

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LONG = b"x" * 60_000


@pytest.fixture
async def make_server():
    servers = []

    async def async_make(handler):
        server = HttpServer(Address("127.0.0.1", 0), handler)
        servers.append(server)
        await server.async_setup()
        return server

    yield async_make
    for server in servers:
        await server.async_unload()


async def answer_long(request, responder):
    await responder.async_send_bytes(200, LONG, {})


async def test_shutdown_waits_for_responses_that_are_not_yet_received(make_server):
    """A host stops while the last bytes of a response wait for a slow reader.

    The handler has returned, as the rest fits the write buffer. Stopping now would
    truncate the response, so it counts as in progress until the reader has it.
    """
    is_handled = asyncio.Event()

    async def handler(request, responder):
        await responder.async_start(200, {})
        while not responder._writer.transport.get_write_buffer_size():
            await responder.async_send_chunk(b"x" * 8_192)
        await responder.async_finish(b"x" * 40_000)
        is_handled.set()

    async def async_stop():
        await server.async_wait_idle()
        await server.async_unload()

    server = await make_server(handler)
    server.disable_keep_alive()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (server.address.host, server.address.port))
    await loop.sock_sendall(sock, GET)
    body = b""
    async with asyncio.timeout(20):
        await is_handled.wait()
        stopping = asyncio.ensure_future(async_stop())
        await asyncio.sleep(0.1)
        while part := await loop.sock_recv(sock, 65_536):
            body += part
        await stopping
    sock.close()
    assert body.endswith(b"\r\n0\r\n\r\n")


async def test_idle_connections_are_closed_and_busy_ones_finish_their_request(
    make_server,
):
    go_on = asyncio.Event()

    async def handler(request, responder):
        if request.path == "/wait":
            await go_on.wait()
        await responder.async_send_bytes(200, b"whole", {})

    server = await make_server(handler)
    address = server.address
    idle = await asyncio.open_connection(address.host, address.port)
    idle[1].write(GET)
    await idle[0].readuntil(b"whole")
    busy = await asyncio.open_connection(address.host, address.port)
    busy[1].write(GET.replace(b"/ ", b"/wait "))
    while not server.active_requests:
        await asyncio.sleep(0.01)
    server.disable_keep_alive()
    server.close_idle_connections()
    async with asyncio.timeout(10):
        assert await idle[0].read() == b""
        go_on.set()
        answer = await busy[0].read()
        await server.async_wait_idle()
    assert answer.endswith(b"whole")
    assert b"connection: close" in answer.lower()


async def test_a_request_that_arrives_as_its_connection_is_closed_is_answered(
    make_server,
):
    """Its data is received in the event loop iteration that closes idle ones."""
    server = await make_server(answer_long)
    reader, writer = await asyncio.open_connection(
        server.address.host, server.address.port
    )
    writer.write(GET)
    await reader.readexactly(10)
    await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(len(LONG))
    (connection,) = server._open_connections
    connection._reader.feed_data(GET)
    server.close_idle_connections()
    async with asyncio.timeout(10):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(LONG))
