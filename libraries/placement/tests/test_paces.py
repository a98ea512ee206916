"""Tests of slow engines: what hosts observe and what they report to each other."""

import msgpack
import pytest

from tarragonward_placement import FleetUsageTracker
from tarragonward_placement import const as c


def make_book(*slowdowns, engine="e1"):
    """Return the tracker of a host that observed these passes of an engine."""
    book = FleetUsageTracker()
    for slowdown in slowdowns:
        book.record_pass(engine, slowdown, now=1.0)
    return book


def hear(*peers):
    """Return the engine's slowdown as known by a host that received these digests."""
    book = FleetUsageTracker()
    for number, peer in enumerate(peers):
        digest = msgpack.unpackb(msgpack.packb(peer.build_digest(1.0)))
        book.apply_digest(f"peer{number}", digest, 0.0, 1.0)
    work = book.get_usage(1.1).get("e1")
    return work.slowdown if work is not None else 1.0


SLOW, FAST = (4.0, 4.0, 4.0, 4.0), (1.0, 1.0, 1.0, 1.0)


def test_a_host_hears_that_an_engine_is_slow_before_it_sends_there():
    """Otherwise each host would find out with prompts of its own, which are late."""
    assert hear(make_book(*SLOW), make_book(*SLOW)) == pytest.approx(4.0)


def test_the_word_of_one_peer_is_not_enough():
    """A host whose own CPU or link is slow observes all engines as slow."""
    assert hear(make_book(*SLOW), make_book(*FAST)) == 1.0
    assert hear(make_book(9.0, 9.0, 9.0), *[make_book(*SLOW)] * 2) == pytest.approx(4.0)


def test_what_a_host_sees_itself_counts_without_peers():
    assert make_book(*SLOW).get_usage(1.1)["e1"].slowdown == pytest.approx(4.0)


def test_peers_tell_only_while_they_know():
    """An engine that has recovered must not be reported as slow for ever."""
    book = make_book(*SLOW)
    assert book.build_digest(1.0)
    assert not book.build_digest(1.1 + c.MAX_SLOWDOWN_AGE_SECONDS)
    assert not make_book(*FAST).build_digest(1.0)


def test_a_fleet_that_is_slow_as_a_whole_is_told_alike():
    """If all engines are equally slow, none is an outlier and their order is kept."""
    peers = [FleetUsageTracker(), FleetUsageTracker()]
    for peer in peers:
        for engine in ("e1", "e2", "e3"):
            for _ in range(4):
                peer.record_pass(engine, 3.0, now=1.0)
    book = FleetUsageTracker()
    for number, peer in enumerate(peers):
        book.apply_digest(str(number), peer.build_digest(1.0), 0.0, 1.0)
    assert {work.slowdown for work in book.get_usage(1.1).values()} == {3.0}


@pytest.mark.parametrize("told", [-5, 0, 10**9])
def test_a_pace_that_cannot_be_is_bounded(told):
    book = FleetUsageTracker()
    entry = [0, 0, 0, 0, 0, 0, [], [], told]
    for peer in ("one", "other"):
        book.apply_digest(peer, {"e1": entry}, 0.0, 1.0)
    assert 1.0 <= book.get_usage(1.0)["e1"].slowdown <= c.MAX_SLOWDOWN
