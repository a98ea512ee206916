"""Tests of the hints between hosts, over real sockets on the loopback network."""

import asyncio
import socket
from contextlib import AsyncExitStack

import msgpack
import pytest

from tarragonward_core import Address
from tarragonward_gateway.peers import Peers
from tarragonward_gateway.ports import HeaderNames, Paths
from tarragonward_gateway.settings import Bounds, GatewaySettings
from tarragonward_gateway.state import GatewayState

HOSTS = ("127.0.0.2", "127.0.0.3", "127.0.0.4")


def find_free_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((HOSTS[0], 0))
        return probe.getsockname()[1]


def build_state(host, port, seeds=HOSTS[:1]):
    settings = GatewaySettings(
        name=f"host-{host}",
        failure_domain="domain",
        callers=Address(host, 1),
        health=Address(host, 2),
        control=Address(host, 3),
        peers=Address(host, port),
        seeds=tuple(Address(seed, 3) for seed in seeds),
        source=Address(host, 4),
        bounds=Bounds(),
    )
    return GatewayState(settings, HeaderNames(), Paths())


async def async_wait_for(is_met):
    async with asyncio.timeout(10.0):
        while not is_met():
            await asyncio.sleep(0.01)


@pytest.fixture
async def three_peers():
    port = find_free_port()
    async with AsyncExitStack() as stack:
        peers = [Peers(build_state(host, port)) for host in HOSTS]
        for part in peers:
            await part.async_setup()
            stack.push_async_callback(part.async_unload)
        yield peers


async def test_sections_reach_all_hosts_found_through_seed(three_peers):
    received = {}
    for number, part in enumerate(three_peers):
        part.add_section(
            "load",
            lambda number=number: {"n": number},
            lambda name, data, age, number=number: received.__setitem__(
                (number, name), (data["n"], age)
            ),
        )
    await async_wait_for(lambda: len(received) == 6)
    assert {value for value, age in received.values()} == {0, 1, 2}
    assert all(0.0 <= age < 5.0 for _, age in received.values())
    assert three_peers[1].get_control_address(f"host-{HOSTS[2]}") == Address(
        HOSTS[2], 3
    )


async def test_malformed_datagrams_are_counted_and_dropped(three_peers):
    one = three_peers[0]
    one.add_section("load", lambda: None, lambda name, data, age: data["absent"])
    three_peers[1].add_section("load", lambda: 7, lambda name, data, age: None)
    await async_wait_for(lambda: one.members.count_hosts() == 3)
    await async_wait_for(
        lambda: one._state.metrics.get_count("peer_sections_refused") > 0
    )
    for data in (b"", b"\xc1", b"x" * 9_000, msgpack.packb([1, [], {}])):
        one.datagram_received(data, (HOSTS[1], one._port))
    assert one._state.metrics.get_count("peer_datagrams_refused") == 4
    assert one.members.count_hosts() == 3


async def test_duplicated_datagram_is_processed_once(three_peers):
    """The network duplicates a datagram, which would count an added digest twice."""
    one, other = three_peers[0], three_peers[1]
    processed = []
    other.add_section("load", lambda: 1, lambda name, data, age: None)
    await async_wait_for(lambda: one.members.count_hosts() == 3)
    one.add_section(
        "load", lambda: None, lambda name, data, age: processed.append(data)
    )
    data = other._pack({"load": msgpack.packb(5)})
    address = (HOSTS[1], one._port)
    one.datagram_received(data, address)
    one.datagram_received(data, address)
    assert processed.count(5) == 1


async def test_leaving_host_is_omitted_at_once(three_peers):
    one, other = three_peers[0], three_peers[1]
    await async_wait_for(lambda: len(one.get_names()) == 2)
    other.set_leaving()
    await async_wait_for(lambda: len(one.get_names()) == 1)
