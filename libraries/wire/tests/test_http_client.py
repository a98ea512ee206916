"""Tests of the HTTP client's connections."""

import asyncio
import socket

import pytest

from tarragonward_core import Address, ConnectionLostError
from tarragonward_wire import async_open_http, async_send_http
from tarragonward_wire.http_client import _end_when_unreachable

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"


async def test_a_connection_to_a_host_that_vanished_ends_by_itself():
    """An engine's host loses its power while it reads a long prompt.

    No end and no reset comes, and the memory held on its helpers would stay held until
    the request's own time is over. The kernel's probes end the connection after one
    idle second and two more without an answer; they need no answer of the engine's.
    """

    class Transport:
        def get_extra_info(self, name):
            return connection

    with socket.socket() as connection:
        _end_when_unreachable(Transport(), 2.5)
        assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        for option, value in (
            (socket.TCP_KEEPIDLE, 1),
            (socket.TCP_KEEPINTVL, 1),
            (socket.TCP_KEEPCNT, 2),
            (socket.TCP_USER_TIMEOUT, 2500),
        ):
            assert connection.getsockopt(socket.IPPROTO_TCP, option) == value


async def test_a_target_that_is_silent_but_there_is_waited_for():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(4.0)
        writer.write(ANSWER)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    async with async_open_http(address, "GET", "/", unreachable_timeout=0.5) as stream:
        assert await stream.async_read_body() == b"whole"
    server.close()


async def test_an_answer_that_is_too_slow_tells_how_much_of_it_came():
    """An answer comes in part and is given up: was its sender silent, or its link thin?

    The error tells the two apart by the bytes that came.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER[:-2])
        await asyncio.sleep(4.0)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    with pytest.raises(ConnectionLostError, match="0.2 s, 3 bytes of it came"):
        await async_send_http(address, "GET", "/", timeout=0.2)
    server.close()
