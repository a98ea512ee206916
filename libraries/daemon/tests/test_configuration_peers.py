"""Tests of whom a host exchanges the configuration with."""

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


def test_each_of_320_hosts_is_reached_over_its_neighbours_in_a_few_steps():
    """A patch is pushed from one host on; all must have it within a few pushes."""
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
        reached |= {near for host in reached for near in chosen[host]}
        steps += 1
    # The few whom nobody chose pull for themselves, from one that was reached.
    missing = [host for host in chosen if host not in reached]
    assert len(missing) < 10
    assert all(set(chosen[host]) <= reached for host in missing)


def test_hosts_known_to_be_gone_are_neighbours_last():
    members = make_members(40)
    first = choose_neighbours("ours", "domain-0", members)
    for member in first:
        member.state = MemberState.DEAD
    second = choose_neighbours("ours", "domain-0", members)
    assert not set(get_addresses(first)) & set(get_addresses(second))
    assert len(second) == 5


def test_every_engine_is_watched_by_two_hosts_even_where_views_differ():
    hosts = get_addresses(make_members(20))
    assert len(choose_watchers("engine-1", hosts)) == 2
    one, other = (choose_watchers("engine-1", hosts[n:]) for n in (0, 1))
    assert set(one) & set(other)


class SlowLinks:
    def __init__(self):
        self.asked = []

    async def async_request(self, address, message, timeout, inactivity_timeout):
        self.asked.append(address)
        await asyncio.sleep(0)
        raise ConnectionLostError("cut")


async def test_a_host_pulls_from_whoever_gossip_shows_ahead_one_at_a_time():
    """All neighbours are out of reach; gossip tells of hosts with a newer patch.

    The host pulls from one of them, not from all who tell it at once, and from the
    next where that one did not answer. Nobody is asked for what is known already.
    """
    links = SlowLinks()
    peers = ConfigurationPeers(None, links, None, ConfigurationHistory(), None)
    addresses = [Address("127.0.0.2", port) for port in (1, 2, 3)]
    peers.handle_peer_ahead(addresses[0], -1)
    assert not links.asked
    for address in addresses[:2]:
        peers.handle_peer_ahead(address, 7)
    await asyncio.sleep(0.01)
    assert links.asked == addresses[:1]
    peers.handle_peer_ahead(addresses[2], 7)
    await asyncio.sleep(0.01)
    assert links.asked == [addresses[0], addresses[2]]
    await peers.async_unload()
