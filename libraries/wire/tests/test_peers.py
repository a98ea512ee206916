"""Tests for the links between hosts and for refused frames."""

import asyncio
import socket
from contextlib import AsyncExitStack
from dataclasses import dataclass

import msgpack
import pytest

from tarragonward_core import (
    Address,
    ConnectionLostError,
    HostIdentity,
    Metrics,
    NotConnectedError,
)
from tarragonward_standins import FaultProxy
from tarragonward_wire import (
    PeerLinks,
    PeerServer,
    async_handshake,
    encode_message,
    register_message,
)
from tarragonward_wire import const as c
from tarragonward_wire.envelopes import Envelope

KEY = b"k" * 32
CLIENT = HostIdentity(Address("127.0.0.1", 1), 1)


@register_message
@dataclass(frozen=True)
class Echo:
    text: str


@register_message
@dataclass(frozen=True)
class Wait:
    seconds: float


@pytest.fixture
async def server():
    """Yield the address of a server, its metrics and the messages it handled."""
    handled, metrics = [], Metrics()

    async def async_handle(peer, message):
        handled.append(message)
        if isinstance(message, Wait):
            await asyncio.sleep(message.seconds)
        return message

    identity = HostIdentity(Address("127.0.0.1", 0), 7)
    peers = PeerServer(identity, KEY, async_handle, metrics)
    await peers.async_setup()
    port = peers._server.sockets[0].getsockname()[1]
    yield Address("127.0.0.1", port), metrics, handled
    await peers.async_unload()


async def async_open_stream(address, key=KEY):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    stream = await async_handshake(reader, writer, CLIENT, key, is_client=True)
    return reader, writer, stream


def build_frame(stream, sequence, payload):
    mac = stream._compute_mac(b"client", sequence, payload)
    return len(payload).to_bytes(c.FRAME_LENGTH_BYTES, "big") + mac + payload


async def async_wait_for_bad_frame(metrics, reason):
    async with asyncio.timeout(5):
        while metrics.get_count("bad_frames") == 0:
            await asyncio.sleep(0.01)
    assert f'label="{reason}"' in metrics.write_exposition().decode()


async def test_concurrent_requests_share_one_link(server):
    address, metrics, _ = server
    links = PeerLinks(CLIENT, KEY)
    asks = [links.async_request(address, Echo(str(n)), 5, 7) for n in range(50)]
    answers = await asyncio.gather(*asks)
    assert [answer.text for answer in answers] == [str(n) for n in range(50)]
    assert len(links._links) == 1
    await links.async_unload()


async def test_a_large_answer_arrives_over_a_slow_link(server):
    """A restarted host requests the configuration from a peer over a slow link.

    The transfer takes 1.5 s and the timeout is 1 s. With a fixed timeout the answer is
    aborted during its transfer and requested again, and never completes.
    """
    text = "x" * 300_000
    link = FaultProxy(Address("127.0.0.1", 0), server[0])
    link.faults.bytes_per_second = len(text) / 1.5
    await link.async_setup()
    fixed_timeout_links, inactivity_timeout_links = (
        PeerLinks(CLIENT, KEY),
        PeerLinks(CLIENT, KEY),
    )
    with pytest.raises(ConnectionLostError):
        await fixed_timeout_links.async_request(link.address, Echo(text), 1.0)
    await fixed_timeout_links.async_unload()
    answer = await inactivity_timeout_links.async_request(
        link.address, Echo(text), 1.0, inactivity_timeout=1.0
    )
    assert answer.text == text
    await inactivity_timeout_links.async_unload()
    await link.async_unload()


async def test_accepted_links_use_tcp_keepalive(server, monkeypatch):
    """A host loses power and does not close its links.

    They would stay open forever and count against the limit of accepted links. This
    can't be simulated over loopback, so the options of the accepted socket are checked.
    """
    found = []

    async def async_inspect(self, stream):
        accepted = stream._writer.get_extra_info("socket")
        found.append(accepted.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        found.append(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE))

    monkeypatch.setattr(PeerServer, "_async_serve", async_inspect)
    reader, writer, _ = await async_open_stream(server[0])
    await reader.read()
    writer.close()
    assert found == [1, c.KEEPALIVE_IDLE_SECONDS]


async def test_a_peer_with_the_wrong_key_is_refused_and_counted(server):
    address, metrics, handled = server
    links = PeerLinks(CLIENT, b"x" * 32)
    with pytest.raises(NotConnectedError):
        await links.async_request(address, Echo("a"), 5)
    await async_wait_for_bad_frame(metrics, "wrong_key")
    assert handled == []


async def test_a_peer_of_an_older_version_is_refused_and_counted(server):
    address, metrics, _ = server
    _, writer = await asyncio.open_connection(address.host, address.port)
    hello = msgpack.packb([1, str(CLIENT), bytes(c.NONCE_BYTES)])
    writer.write(len(hello).to_bytes(4, "big") + hello)
    await async_wait_for_bad_frame(metrics, "wrong_version")
    writer.close()


@pytest.mark.parametrize(
    ("reason", "build"),
    [
        ("oversized", lambda s, good: (c.MAX_FRAME_BYTES + 1).to_bytes(4) + bytes(16)),
        ("forged", lambda s, good: good[:-1] + b"x"),
        ("replayed", lambda s, good: good + good),
        ("malformed", lambda s, good: build_frame(s, 1, b"junk")),
        ("truncated", lambda s, good: good[:-3]),
    ],
)
async def test_a_bad_frame_is_refused_and_counted(server, reason, build):
    """A bad frame ends its link; nothing of it reaches a handler."""
    address, metrics, handled = server
    _, writer, stream = await async_open_stream(address)
    payload = encode_message(Envelope(0, False, 0.0, encode_message(Echo("a"))))
    writer.write(build(stream, build_frame(stream, 1, payload)))
    await writer.drain()
    writer.write_eof()
    await async_wait_for_bad_frame(metrics, reason)
    assert len(handled) == (1 if reason == "replayed" else 0)
    writer.close()


async def test_a_recorded_connection_cannot_be_replayed(server):
    """An attacker records a host's connection and sends the same data again.

    The server's nonce differs, so the recorded proof of the key is not valid, and the
    recorded call does not reach the handler a second time.
    """
    address, metrics, handled = server
    sent = bytearray()
    reader, writer = await asyncio.open_connection(address.host, address.port)
    write = writer.write
    writer.write = lambda data: (sent.extend(data), write(data))
    stream = await async_handshake(reader, writer, CLIENT, KEY, is_client=True)
    envelope = Envelope(1, False, 0.0, encode_message(Echo("a")))
    await stream.async_send(encode_message(envelope))
    await stream.async_receive()
    writer.close()
    _, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(bytes(sent))
    await async_wait_for_bad_frame(metrics, "wrong_key")
    assert len(handled) == 1
    writer.close()


async def test_a_thousand_requests_to_a_dead_host_open_few_connections():
    """An owner dies while a thousand retries are sent to it within 0.2 s.

    One attempt at a time, with a backoff before the next, bounds the number of
    connections; all requests fail within the maximum backoff.
    """
    accepted = 0

    async def async_accept(reader, writer):
        nonlocal accepted
        accepted += 1
        writer.transport.abort()

    async with AsyncExitStack() as stack:
        server = await asyncio.start_server(async_accept, "127.0.0.1", 0)
        stack.callback(server.close)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        links = PeerLinks(CLIENT, KEY)
        asks = []
        for _ in range(10):
            asks += [
                asyncio.create_task(links.async_request(address, Echo("a"), 2))
                for _ in range(100)
            ]
            await asyncio.sleep(0.02)
        results = await asyncio.gather(*asks, return_exceptions=True)
        assert {type(result) for result in results} == {NotConnectedError}
    assert 1 <= accepted <= 5


async def test_an_unresponsive_peer_delays_a_request_by_its_timeout_at_most():
    async def async_hold(reader, writer):
        await asyncio.sleep(30)

    server = await asyncio.start_server(async_hold, "127.0.0.1", 0)
    address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
    links = PeerLinks(CLIENT, KEY)
    started = asyncio.get_running_loop().time()
    with pytest.raises(ConnectionLostError):
        await links.async_request(address, Echo("a"), 0.2)
    assert asyncio.get_running_loop().time() - started < 1.5
    await links.async_unload()
    server.close()


async def test_the_clock_offset_is_a_lower_bound(server):
    """A deadline converted to the peer's clock may be early, but never late."""
    address, _, _ = server
    links = PeerLinks(CLIENT, KEY)
    offsets = []
    await links.async_request_with_clock(
        address, lambda offset: Echo(str(offsets.append(offset))), 5
    )
    assert -0.5 < offsets[0] <= 0
    await links.async_unload()


async def test_a_host_that_just_started_is_reached_after_the_backoff():
    """A host gets requests before it listens, and again right after its start.

    The first requests fail and start the backoff. The last must not fail with
    NotConnectedError, as the host is up; it waits for the next attempt.
    """

    async def async_echo(peer, message):
        return message

    probe = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    address = Address("127.0.0.1", probe.sockets[0].getsockname()[1])
    probe.close()
    await probe.wait_closed()
    links = PeerLinks(CLIENT, KEY)
    for _ in range(3):
        with pytest.raises(NotConnectedError):
            await links.async_request(address, Echo("a"), 5)
    peers = PeerServer(HostIdentity(address, 7), KEY, async_echo, Metrics())
    await peers.async_setup()
    assert await links.async_request(address, Echo("a"), 5) == Echo("a")
    await links.async_unload()
    await peers.async_unload()


@pytest.fixture
async def replaced_host():
    """Yield links to a host that lost power and was replaced at its address.

    The connection to the lost host was never closed, so the link is still open.
    """

    async def async_echo(peer, message):
        return message

    async with AsyncExitStack() as stack:
        release = asyncio.Event()

        async def async_stop_answering(reader, writer):
            identity = HostIdentity(Address("127.0.0.1", 1), 7)
            await async_handshake(reader, writer, identity, KEY, is_client=False)
            await release.wait()
            writer.transport.abort()

        lost = await asyncio.start_server(async_stop_answering, "127.0.0.1", 0)
        address = Address("127.0.0.1", lost.sockets[0].getsockname()[1])
        stack.callback(release.set)
        links = PeerLinks(CLIENT, KEY)
        stack.push_async_callback(links.async_unload)
        with pytest.raises(ConnectionLostError):
            await links.async_request(address, Echo("a"), 0.2, 7)
        lost.close()
        peers = PeerServer(HostIdentity(address, 8), KEY, async_echo, Metrics())
        await peers.async_setup()
        stack.push_async_callback(peers.async_unload)
        yield links, address


async def test_requests_for_a_new_incarnation_do_not_use_the_old_link(
    replaced_host, monkeypatch
):
    """A replacement host issued a key, and another host forwards a call with it.

    The old link is still open and leads to the previous incarnation. If it were used,
    calls would get an unknown outcome until TCP gives up after 15 minutes.
    """
    links, address = replaced_host
    monkeypatch.setattr(c, "LINK_REPLACE_MIN_AGE_SECONDS", 0.0)
    assert await links.async_request(address, Echo("a"), 2, 8) == Echo("a")
    with pytest.raises(NotConnectedError):
        await links.async_request(address, Echo("a"), 2, 7)


async def test_an_inactive_link_is_replaced(replaced_host, monkeypatch):
    links, address = replaced_host
    monkeypatch.setattr(c, "LINK_INACTIVITY_SECONDS", 0.3)
    with pytest.raises(ConnectionLostError):
        await links.async_request(address, Echo("a"), 0.5)
    assert await links.async_request(address, Echo("a"), 2) == Echo("a")


async def test_a_dead_idle_link_delays_a_request_but_does_not_fail_it(
    replaced_host, monkeypatch
):
    links, address = replaced_host
    monkeypatch.setattr(c, "CLOCK_MAX_AGE_SECONDS", 0.0)
    assert await links.async_request(address, Echo("a"), 5) == Echo("a")


async def test_a_peer_that_pauses_has_confirmed_what_it_received(server):
    """A request without an answer may have arrived; the sender must know if it has."""
    address, _, _ = server
    links = PeerLinks(CLIENT, KEY)
    confirmed = []
    with pytest.raises(ConnectionLostError):
        await links.async_request_with_clock(
            address, lambda _: Wait(5.0), 0.3, on_receipt=lambda: confirmed.append(1)
        )
    assert len(confirmed) == 1
    await links.async_unload()


async def test_a_peer_out_of_reach_confirms_nothing(server):
    address, _, handled = server
    proxy = FaultProxy(Address("127.0.0.1", 0), address)
    await proxy.async_setup()
    links = PeerLinks(CLIENT, KEY)
    await links.async_request(proxy.address, Echo("first"), 1.0)
    proxy.faults.blackhole_to_caller = True
    confirmed = []
    with pytest.raises(ConnectionLostError):
        await links.async_request_with_clock(
            proxy.address,
            lambda _: Echo("second"),
            0.3,
            on_receipt=lambda: confirmed.append(1),
        )
    assert (confirmed, len(handled)) == ([], 2)
    await links.async_unload()
    await proxy.async_unload()
