"""Tests of the choice of peers as relays."""

import random

from tarragonward_core import Address
from tarragonward_placement import RelayDirectory

PEERS = [Address("10.0.0.1", number) for number in range(1, 13)]


def make_directory():
    return RelayDirectory(random.Random(1))


def test_peer_that_lost_the_same_links_is_not_asked_for_a_while():
    directory = make_directory()
    directory.record_unable(PEERS[0], "s", 10.0)
    assert directory.choose("s", PEERS[:1], (), 10.4) is None
    assert directory.choose("other", PEERS[:1], (), 10.4) == PEERS[0]
    assert directory.choose("s", PEERS[:1], (), 10.5) == PEERS[0]


def test_peer_that_does_not_answer_is_asked_less_and_less():
    directory = make_directory()
    for seconds in (0.5, 1.0, 2.0, 4.0, 4.0):
        directory.record_lost(PEERS[0], 10.0)
        assert directory.choose("s", PEERS[:1], (), 10.0 + seconds - 0.01) is None
        assert directory.choose("s", PEERS[:1], (), 10.0 + seconds) == PEERS[0]


def test_proven_peers_are_preferred_in_a_large_partition():
    """Most peers have lost the same links; each request must not search again."""
    directory = make_directory()
    for peer in PEERS[:3]:
        directory.record_connected(peer, "s", 10.0)
    chosen = {directory.choose("s", PEERS, (), 10.1) for _ in range(200)}
    assert chosen == set(PEERS[:3])


def test_few_proven_peers_do_not_carry_everything():
    directory = make_directory()
    directory.record_connected(PEERS[0], "s", 10.0)
    chosen = {directory.choose("s", PEERS, (), 10.1) for _ in range(200)}
    assert chosen == set(PEERS[1:])
    assert directory.choose("s", PEERS[:1], (), 10.1) == PEERS[0]


def test_outage_of_all_targets_does_not_make_hosts_ask_all_peers():
    """All targets have ended; each request at each host must not ask every peer."""
    directory = make_directory()
    asked = 0
    for step in range(100):
        now = 10.0 + step * 0.01
        peer = directory.choose("s", PEERS, (), now)
        if peer is not None:
            asked += 1
            directory.record_unable(peer, "s", now)
    assert asked <= 12
    directory.record_connected(PEERS[0], "s", 12.0)
    assert directory.choose("s", PEERS[:1], (), 12.0) == PEERS[0]


def test_proof_expires_and_departed_peers_are_forgotten():
    directory = make_directory()
    directory.record_connected(PEERS[0], "s", 10.0)
    assert directory.has_proven("s", 14.0)
    assert not directory.has_proven("s", 15.5)
    directory.record_connected(PEERS[0], "s", 20.0)
    directory.retain_only(PEERS[1:])
    assert not directory.has_proven("s", 20.0)
