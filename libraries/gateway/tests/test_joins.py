"""Tests of who tells the peers that join what they missed."""

from tarragonward_core import Address, HostIdentity
from tarragonward_gateway import const as c
from tarragonward_gateway.joins import PeerJoins
from tarragonward_membership import KnownPeer


def make_peer(number, incarnation=1):
    return KnownPeer(HostIdentity(Address("10.0.0.1", number), incarnation), 0.0)


PEERS = [make_peer(number) for number in range(12)]
SETTLED_AT = c.PEER_SETTLE_SECONDS


def make_hosts():
    """Return the joins of hosts that know each other for a while."""
    hosts = [PeerJoins(peer.identity) for peer in PEERS]
    for host, own in zip(hosts, PEERS, strict=True):
        host.update([peer for peer in PEERS if peer is not own], 0.0)
    return hosts


def find_sponsors(hosts, joined, now):
    """Return the numbers of the hosts that tell a peer what it missed."""
    return [
        number
        for number, (host, own) in enumerate(zip(hosts, PEERS, strict=True))
        if host.update([*(peer for peer in PEERS if peer is not own), joined], now)
    ]


def test_a_peer_that_joins_is_told_by_few_hosts_once():
    """All hosts of a large fleet would tell each host that starts."""
    hosts, joined = make_hosts(), make_peer(99)
    assert len(find_sponsors(hosts, joined, SETTLED_AT)) == c.SPONSORS_PER_JOINED_PEER
    assert not find_sponsors(hosts, joined, SETTLED_AT + 1.0)


def test_a_peer_that_starts_again_or_is_heard_again_is_told_again():
    hosts, joined = make_hosts(), make_peer(99)
    sponsors = find_sponsors(hosts, joined, SETTLED_AT)
    assert find_sponsors(hosts, make_peer(99, 2), SETTLED_AT + 1.0) == sponsors
    for host, own in zip(hosts, PEERS, strict=True):
        host.update([peer for peer in PEERS if peer is not own], SETTLED_AT + 2.0)
    assert find_sponsors(hosts, make_peer(99, 2), SETTLED_AT + 3.0) == sponsors


def test_hosts_that_have_just_joined_tell_nobody():
    """After a cut most hosts are new to each other, and know as little."""
    host = PeerJoins(PEERS[0].identity)
    host.update(PEERS[1:], 0.0)
    joined = [make_peer(number) for number in range(100, 130)]
    told = host.update([*PEERS[1:], *joined], SETTLED_AT)
    assert 0 < len(told) < len(joined)
    alone = PeerJoins(PEERS[0].identity)
    assert len(alone.update(joined, 0.0)) == len(joined)
