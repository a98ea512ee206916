"""Tests of the exchange of the configuration between hosts."""

import asyncio
from types import SimpleNamespace

from tarragonward_config import ConfigurationHistory
from tarragonward_core import Address, ConnectionLostError
from tarragonward_daemon.configuration_peers import (
    ConfigurationPeers,
    choose_neighbours,
)
from tarragonward_daemon.orders import choose_watchers
from tarragonward_membership import MemberState


def make_members(count, state=MemberState.ALIVE):
    return [
        SimpleNamespace(
            listed=SimpleNamespace(
                address=Address(f"10.0.{n // 100}.{n % 100}", 1),
                failure_domain=f"domain-{n % 4}",
            ),
            state=state,
        )
        for n in range(count)
    ]


def get_addresses(members):
    return [str(member.listed.address) for member in members]


def test_pushes_and_pulls_over_neighbours_reach_each_of_320_hosts():
    """A patch that one host pushes must reach all hosts within a few pushes."""
    members = make_members(320)
    chosen = {
        str(m.listed.address): get_addresses(
            choose_neighbours(
                str(m.listed.address),
                m.listed.failure_domain,
                [other for other in members if other is not m],
            )
        )
        for m in members
    }
    assert {len(neighbours) for neighbours in chosen.values()} == {5}
    reached, steps = {get_addresses(members)[0]}, 0
    while steps < 8:
        reached |= {neighbour for host in reached for neighbour in chosen[host]}
        steps += 1
    # The few hosts that are nobody's neighbour pull from one that was reached.
    missing = [host for host in chosen if host not in reached]
    assert len(missing) < 10
    assert all(set(chosen[host]) <= reached for host in missing)


def test_dead_hosts_are_chosen_as_neighbours_last():
    members = make_members(40)
    first = choose_neighbours("ours", "domain-0", members)
    for member in first:
        member.state = MemberState.DEAD
    second = choose_neighbours("ours", "domain-0", members)
    assert not set(get_addresses(first)) & set(get_addresses(second))
    assert len(second) == 5


def test_two_hosts_watch_an_engine_and_differing_views_share_one():
    hosts = get_addresses(make_members(20))
    assert len(choose_watchers("engine-1", hosts)) == 2
    one, other = (choose_watchers("engine-1", hosts[n:]) for n in (0, 1))
    assert set(one) & set(other)


class FailingLinks:
    def __init__(self):
        self.requested = []

    async def async_request(self, address, message, timeout, inactivity_timeout):
        self.requested.append(address)
        await asyncio.sleep(0)
        raise ConnectionLostError("connection lost")


async def test_a_host_pulls_from_peers_that_are_ahead_one_at_a_time():
    """All neighbours are unreachable, and gossip shows peers with a newer patch.

    The host pulls from one of them at a time, and from the next one if the first does
    not answer. It does not pull what it already has.
    """
    links = FailingLinks()
    peers = ConfigurationPeers(None, links, None, ConfigurationHistory(), None)
    addresses = [Address("127.0.0.2", port) for port in (1, 2, 3)]
    peers.handle_peer_ahead(addresses[0], -1)
    assert not links.requested
    for address in addresses[:2]:
        peers.handle_peer_ahead(address, 7)
    await asyncio.sleep(0.01)
    assert links.requested == addresses[:1]
    peers.handle_peer_ahead(addresses[2], 7)
    await asyncio.sleep(0.01)
    assert links.requested == [addresses[0], addresses[2]]
    await peers.async_unload()
