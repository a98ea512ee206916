"""Tests for the connections of the HTTP client."""

import asyncio
import re
import socket
import time

import pytest

from tarragonward_core import Address, ConnectionLostError
from tarragonward_wire import async_open_http, async_send_http
from tarragonward_wire.keepalive import set_unreachable_timeout

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"


async def test_connections_to_a_host_that_disappeared_are_ended():
    """An engine's host loses power while it prefills a long prompt.

    The connection gets neither an end nor a reset, and memory reserved on other engines
    would stay reserved until the request's time limit. Keepalive probes end the
    connection after one idle second and two unanswered probes; the engine itself need
    not answer.
    """

    class Transport:
        def get_extra_info(self, name):
            return connection

    with socket.socket() as connection:
        set_unreachable_timeout(Transport(), 2.5)
        assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        for option, value in (
            (socket.TCP_KEEPIDLE, 1),
            (socket.TCP_KEEPINTVL, 1),
            (socket.TCP_KEEPCNT, 2),
            (socket.TCP_USER_TIMEOUT, 2500),
        ):
            assert connection.getsockopt(socket.IPPROTO_TCP, option) == value


async def test_a_silent_but_reachable_target_is_not_disconnected():
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


async def test_values_of_one_header_are_combined_unless_they_repeat():
    """The last of two values alone might ask for less than the first."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        lines = b"Retry-After: 9\r\nRetry-After: 3\r\nX-A: b\r\nX-A: b\r\n"
        writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n" + lines + b"\r\n")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    answer = await async_send_http(address, "GET", "/", timeout=2.0)
    assert (answer.headers["retry-after"], answer.headers["x-a"]) == ("9, 3", "b")
    server.close()


async def test_a_timeout_error_names_the_bytes_received():
    """An answer arrives in part before the timeout.

    The number of received bytes tells a silent sender from a slow link.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER[:-2])
        await asyncio.sleep(4.0)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    with pytest.raises(ConnectionLostError) as failure:
        await async_send_http(address, "GET", "/", timeout=0.2)
    waited = loop.time() - begun_at
    server.close()
    message = re.search(r"no answer in (\S+) s, 3 bytes of it came", str(failure.value))
    assert message is not None
    # The timer of a busy process may fire late; the message names the time it took.
    assert 0.2 <= float(message[1]) <= round(waited, 1)


async def test_process_that_was_paused_does_not_take_a_target_for_unreachable():
    """The connection is there, but the timer of the attempt is overdue as well."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    asyncio.get_running_loop().call_soon(time.sleep, 0.3)
    answer = await async_send_http(
        address, "GET", "/", timeout=1.0, connect_timeout=0.1
    )
    assert answer.body == b"whole"
    server.close()
