"""Tests for edge cases of the HTTP server, over raw sockets."""

import asyncio
import gc
import json
import socket

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonward_core import Address, RequestRefusedError, ResultCode
from tarragonward_wire import BodyBudget, HttpLimits, HttpServer

# More than small kernel buffers hold, less than the server's write buffer limit.
MUCH_BYTES = 60 * 1024
SMALL_BUFFER_BYTES = 4096
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LAST_GET = GET.replace(b"Host: a", b"Host: a\r\nConnection: close")


def post(size, *lines):
    head = ["POST / HTTP/1.1", "Host: a", f"Content-Length: {size}", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


async def answer_length(request, responder):
    await responder.async_send_json(200, {"length": len(request.body)})


@pytest.fixture
async def make_server():
    servers = []

    async def async_make(handler=answer_length, limits=None, **options):
        server = HttpServer(Address("127.0.0.1", 0), handler, limits, **options)
        servers.append(server)
        await server.async_setup()
        return server

    yield async_make
    for server in servers:
        await server.async_unload()


class Caller:
    """A raw connection to a server."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def async_open(cls, server):
        address = server.address
        return cls(*await asyncio.open_connection(address.host, address.port))

    async def async_read_answer(self):
        """Return status, headers and JSON of the next answer."""
        async with asyncio.timeout(20):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
            status_line, *lines = head.strip().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines)
            body = await self.reader.readexactly(int(headers["content-length"]))
        return int(status_line.split()[1]), headers, orjson.loads(body)


async def async_ask(server, data):
    caller = await Caller.async_open(server)
    caller.writer.write(data)
    answer = await caller.async_read_answer()
    caller.writer.close()
    return answer


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"\x16\x03\x01 not HTTP\r\n\r\n", ResultCode.MALFORMED_HTTP),
        (b"GET http://[ HTTP/1.1\r\nHost: a\r\n\r\n", ResultCode.MALFORMED_HTTP),
        (post(3, "Content-Length: 4") + b"abc", ResultCode.MALFORMED_HTTP),
        (post(-1), ResultCode.MALFORMED_HTTP),
        (post(3, "Transfer-Encoding: chunked") + b"abc", ResultCode.MALFORMED_HTTP),
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 2000, ResultCode.HEAD_TOO_LARGE),
        (post(5000), ResultCode.BODY_TOO_LARGE),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"400\r\n" + b"a" * 1024 + b"\r\n400\r\n" + b"a" * 1024 + b"\r\n",
            ResultCode.BODY_TOO_LARGE,
        ),
        (GET[:20], ResultCode.SLOW_SENDER),
        (post(10) + b"abc", ResultCode.SLOW_SENDER),
    ],
)  # fmt: skip
async def test_invalid_input_gets_its_code_and_closes_the_connection(
    make_server, data, code
):
    limits = HttpLimits(
        max_head_bytes=1024, max_body_bytes=2000, head_timeout=0.2, body_timeout=0.2
    )
    server = await make_server(limits=limits)
    status, headers, body = await async_ask(server, data)
    assert (status, body["error"]["code"]) == (code.http_status, code.number)
    assert headers["connection"] == "close"
    assert body["error"]["request_id"]


async def test_a_trickling_head_times_out(make_server):
    """A sender sends a byte every few milliseconds, so that each read succeeds.

    The timeout is for the whole head, not for each read, so the request is refused.
    """
    server = await make_server(limits=HttpLimits(head_timeout=0.3))
    caller = await Caller.async_open(server)

    async def async_drip():
        while True:
            caller.writer.write(b"a")
            await asyncio.sleep(0.01)

    caller.writer.write(b"GET / HTTP/1.1\r\nX: ")
    dripping = asyncio.create_task(async_drip())
    _, headers, body = await caller.async_read_answer()
    dripping.cancel()
    assert body["error"]["code"] == ResultCode.SLOW_SENDER.number
    assert headers["retry-after"] == "1"


async def test_a_pipelined_long_prompt_does_not_disturb_the_request_before_it(
    make_server,
):
    """A client sends its next, long prompt before the first response.

    The early data exceeds the head's size limit; this was once taken for a disconnect
    and truncated the first response. Both must be answered, in order.
    """
    gate = asyncio.Event()

    async def async_answer_late(request, responder):
        await gate.wait()
        await answer_length(request, responder)

    server = await make_server(async_answer_late)
    caller = await Caller.async_open(server)
    size = 300_000
    caller.writer.write(GET + post(size) + b"a" * size)
    await asyncio.sleep(0.1)
    gate.set()
    assert (await caller.async_read_answer())[2] == {"length": 0}
    assert (await caller.async_read_answer())[2] == {"length": size}
    caller.writer.close()


async def test_a_refused_caller_that_is_still_sending_gets_its_error(make_server):
    """A request with a wrong token has a prompt of megabytes.

    It is refused by its head and the body is not kept. The caller, which sends the
    whole body before it reads, must get the error and not a connection reset.
    """

    def refuse(head):
        raise RequestRefusedError(ResultCode.TOKEN_WRONG)

    server = await make_server(check_head=refuse)
    size = 8_000_000
    loop = asyncio.get_running_loop()
    with socket.socket() as sender:
        sender.setblocking(False)
        await loop.sock_connect(sender, (server.address.host, server.address.port))
        async with asyncio.timeout(20):
            await loop.sock_sendall(sender, post(size) + b"a" * size)
            answer = b""
            while b"}}" not in answer:
                received = await loop.sock_recv(sender, 65536)
                assert received, answer
                answer += received
    head, _, body = answer.decode().partition("\r\n\r\n")
    head = head.lower()
    assert json.loads(body)["error"]["code"] == ResultCode.TOKEN_WRONG.number
    assert f"x-result-code: {ResultCode.TOKEN_WRONG.number}" in head.split("\r\n")
    assert "www-authenticate: bearer" in head
    assert server.bodies.held_bytes == 0


async def test_bodies_beyond_the_budget_are_refused_before_they_are_read(
    make_server,
):
    """Two callers send long prompts at once, and the second exceeds the budget.

    It is told to retry later before 100-continue, and so before it sends its body.
    Once the first is answered, its bytes are available again.
    """
    gate = asyncio.Event()

    async def async_answer_late(request, responder):
        await gate.wait()
        await answer_length(request, responder)

    budget = BodyBudget(1000)
    server = await make_server(async_answer_late, bodies=budget)
    first = await Caller.async_open(server)
    first.writer.write(post(600) + b"a" * 600)
    while not budget.held_bytes:
        await asyncio.sleep(0.01)
    status, headers, body = await async_ask(server, post(600, "Expect: 100-continue"))
    assert body["error"]["code"] == ResultCode.OVERLOADED.number
    assert (status, headers["retry-after"]) == (503, "1")
    gate.set()
    assert (await first.async_read_answer())[2] == {"length": 600}
    first.writer.close()
    status, _, _ = await async_ask(server, post(600) + b"a" * 600)
    assert status == 200
    await server.async_wait_idle()
    assert budget.held_bytes == 0


async def test_expect_100_continue_is_answered_before_the_body(make_server):
    server = await make_server()
    caller = await Caller.async_open(server)
    caller.writer.write(post(3, "Expect: 100-continue"))
    interim = await caller.reader.readuntil(b"\r\n\r\n")
    assert interim.startswith(b"HTTP/1.1 100 ")
    caller.writer.write(b"abc")
    assert (await caller.async_read_answer())[2] == {"length": 3}
    caller.writer.close()


async def test_excess_connections_get_an_error_response(make_server):
    server = await make_server(limits=HttpLimits(max_connections=1))
    first = await Caller.async_open(server)
    first.writer.write(GET)
    assert (await first.async_read_answer())[0] == 200
    status, headers, body = await async_ask(server, GET)
    assert (status, body["error"]["code"]) == (503, ResultCode.OVERLOADED.number)
    assert headers["retry-after"] == "1"
    first.writer.close()


@pytest.mark.parametrize(("write_timeout", "time_limit"), [(0.5, 600), (600, 0.5)])
async def test_a_stalled_reader_costs_bounded_memory_and_time(
    make_server, write_timeout, time_limit
):
    """A phone requests a long response, loses its network, and never reads.

    Once the buffers are full, the writer blocks and the handler stops producing. After
    the write timeout, or the request's time limit if that is earlier, the connection is
    aborted and the request's resources are released.
    """
    produced = 0

    async def async_answer_without_end(request, responder):
        nonlocal produced
        responder.write_deadline = asyncio.get_running_loop().time() + time_limit
        await responder.async_start(200, {})
        while True:
            await responder.async_send_chunk(b"a" * 10_000)
            produced += 10_000
            await asyncio.sleep(0)

    limits = HttpLimits(write_timeout=write_timeout)
    server = await make_server(async_answer_without_end, limits)
    with socket.socket() as reader:
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        reader.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(reader, (server.address.host, server.address.port))
        await loop.sock_sendall(reader, GET)
        async with asyncio.timeout(20):
            while server.active_requests == 0:
                await asyncio.sleep(0.01)
            await server.async_wait_idle()
    assert produced < 16_000_000


async def test_connections_closed_with_unsent_data_are_removed_from_the_count(
    make_server,
):
    """After thousands of large responses the host refuses all callers as too many.

    The last bytes of a response are still unsent when the connection is closed, and are
    sent by the transport later. Such connections must not be counted as open forever.
    """

    async def answer_much(request, responder):
        await responder.async_send_bytes(200, b"x" * MUCH_BYTES, {})

    server = await make_server(answer_much, HttpLimits(max_connections=1))
    listening = server._server.sockets[0]
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    for _ in range(2):
        answer = await async_read_slowly(server.address)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert len(answer) > MUCH_BYTES


async def async_read_slowly(address):
    """Return all data of a response, read with a small receive buffer."""
    loop, answer = asyncio.get_running_loop(), bytearray()
    with socket.socket() as reader:
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        reader.setblocking(False)
        await loop.sock_connect(reader, (address.host, address.port))
        await loop.sock_sendall(reader, LAST_GET)
        await asyncio.sleep(0.1)
        async with asyncio.timeout(20):
            while portion := await loop.sock_recv(reader, 64 * 1024):
                answer += portion
    return bytes(answer)


async def test_head_requests_and_truncated_bodies_do_not_disturb_the_server(
    make_server,
):
    server = await make_server()
    caller = await Caller.async_open(server)
    caller.writer.write(b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert b" 200 " in await caller.reader.readuntil(b"\r\n\r\n")
    caller.writer.write(post(10) + b"abc")
    caller.writer.write_eof()
    assert (await caller.async_read_answer())[0] == 400
    assert (await async_ask(server, GET))[0] == 200


async def test_responses_after_disable_keep_alive_close_their_connection(make_server):
    server = await make_server()
    caller = await Caller.async_open(server)
    caller.writer.write(GET)
    assert "connection" not in (await caller.async_read_answer())[1]
    server.disable_keep_alive()
    caller.writer.write(GET)
    assert (await caller.async_read_answer())[1]["connection"] == "close"
    assert await caller.reader.read() == b""
    caller.writer.close()


REQUEST_PARTS = st.sampled_from(
    [
        GET,
        post(3) + b"abc",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Connection: upgrade\r\nUpgrade: x\r\n\r\n",
        b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET //a?b=%ff&%00 HTTP/1.0\r\n\r\n",
        b"\r\n",
        b"\x00",
        b" HTTP/9.9\r\n",
    ]
)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(st.one_of(REQUEST_PARTS, st.binary(max_size=40)), max_size=8))
def test_the_server_survives_arbitrary_input(parts):
    """A scanner sends fragments of requests, joined at random, and disconnects.

    Each connection gets well-formed responses or is closed. No task ends with an
    unretrieved exception, and the next caller is served.
    """
    faults = []

    async def async_run():
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: faults.append(context)
        )
        limits = HttpLimits(head_timeout=0.05, body_timeout=0.05, idle_timeout=0.05)
        server = HttpServer(Address("127.0.0.1", 0), answer_length, limits)
        await server.async_setup()
        caller = await Caller.async_open(server)
        caller.writer.write(b"".join(parts))
        if caller.writer.can_write_eof():
            caller.writer.write_eof()
        async with asyncio.timeout(20):
            try:
                received = await caller.reader.read()
            except ConnectionResetError:
                received = b""
        assert not received or received.startswith(b"HTTP/1.1 ")
        assert b"INTERNAL_ERROR" not in received
        caller.writer.close()
        assert (await async_ask(server, GET))[0] == 200
        await server.async_unload()
        gc.collect()

    asyncio.run(async_run())
    assert not faults
