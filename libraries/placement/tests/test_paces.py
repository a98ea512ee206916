"""Tests of slow engines: what hosts observe and what they report to each other."""

import msgpack
import pytest

from tarragonward_placement import FleetUsageTracker
from tarragonward_placement import const as c


def make_tracker(*slowdowns, engine="e1"):
    """Return the tracker of a host that observed these passes of an engine."""
    tracker = FleetUsageTracker()
    for slowdown in slowdowns:
        tracker.record_pass(engine, slowdown, now=1.0)
    return tracker


def get_reported_slowdown(*peers):
    """Return the engine's slowdown as known by a host that received these digests."""
    tracker = FleetUsageTracker()
    for number, peer in enumerate(peers):
        digest = msgpack.unpackb(msgpack.packb(peer.build_digest(1.0)))
        tracker.apply_digest(f"peer{number}", digest, 0.0, 1.0)
    work = tracker.get_usage(1.1).get("e1")
    return work.slowdown if work is not None else 1.0


SLOW, FAST = (4.0, 4.0, 4.0, 4.0), (1.0, 1.0, 1.0, 1.0)


def test_a_host_learns_from_peers_that_an_engine_is_slow():
    """Otherwise each host would find out with prompts of its own, which are late."""
    assert get_reported_slowdown(
        make_tracker(*SLOW), make_tracker(*SLOW)
    ) == pytest.approx(4.0)


def test_the_report_of_one_peer_is_not_enough():
    """A host whose own CPU or link is slow observes all engines as slow."""
    assert get_reported_slowdown(make_tracker(*SLOW), make_tracker(*FAST)) == 1.0
    assert get_reported_slowdown(
        make_tracker(9.0, 9.0, 9.0), *[make_tracker(*SLOW)] * 2
    ) == pytest.approx(4.0)


def test_a_hosts_own_observations_count_without_peers():
    assert make_tracker(*SLOW).get_usage(1.1)["e1"].slowdown == pytest.approx(4.0)


def test_slowdown_reports_expire():
    """An engine that has recovered must not be reported as slow for ever."""
    tracker = make_tracker(*SLOW)
    assert tracker.build_digest(1.0)
    assert not tracker.build_digest(1.1 + c.MAX_SLOWDOWN_AGE_SECONDS)
    assert not make_tracker(*FAST).build_digest(1.0)


def test_a_uniformly_slow_fleet_is_reported_uniformly():
    """If all engines are equally slow, none is an outlier and their order is kept."""
    peers = [FleetUsageTracker(), FleetUsageTracker()]
    for peer in peers:
        for engine in ("e1", "e2", "e3"):
            for _ in range(4):
                peer.record_pass(engine, 3.0, now=1.0)
    tracker = FleetUsageTracker()
    for number, peer in enumerate(peers):
        tracker.apply_digest(str(number), peer.build_digest(1.0), 0.0, 1.0)
    assert {work.slowdown for work in tracker.get_usage(1.1).values()} == {3.0}


@pytest.mark.parametrize("slowdown", [-5, 0, 10**9])
def test_an_impossible_slowdown_is_clamped(slowdown):
    tracker = FleetUsageTracker()
    entry = [0, 0, 0, 0, 0, 0, [], [], slowdown]
    for peer in ("one", "other"):
        tracker.apply_digest(peer, {"e1": entry}, 0.0, 1.0)
    assert 1.0 <= tracker.get_usage(1.0)["e1"].slowdown <= c.MAX_SLOWDOWN
