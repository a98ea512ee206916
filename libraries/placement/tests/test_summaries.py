"""Tests of the summaries that hosts of other cells send of their engines."""

import msgpack
import pytest

from tarragonward_placement import FleetUsageTracker, PrefillPlan, PromptRequirements
from tarragonward_placement import const as c

LONG = PromptRequirements(260_000, 700, 4.0, 1.0)
CELL = ("e1", "e2", "e3")


def make_tracker(*engines, seconds=1.0, now=0.0):
    """Return the tracker of a host that sent a long prompt to these engines."""
    tracker = FleetUsageTracker()
    if engines:
        until = dict.fromkeys(engines, seconds)
        plan = PrefillPlan(engines, seconds, until, seconds, 0.0)
        tracker.begin(plan.build_work(LONG, now))
    return tracker


def pack_summary(tracker, now=0.0):
    return msgpack.unpackb(msgpack.packb(tracker.build_summary(CELL, now)))


def test_a_summary_has_all_that_a_host_knows_of_its_cell():
    """Another cell's long prompt must not be prefilled where short ones decode."""
    tracker, peer = make_tracker("e1"), make_tracker("e2")
    tracker.apply_digest("peer", peer.build_digest(0.0), 0.0, 0.0)
    remote = make_tracker()
    remote.apply_summary(pack_summary(tracker), 0.0, 0.0)
    known = remote.get_usage(0.2)
    assert known["e1"].prefill_seconds == pytest.approx(0.8)
    assert known["e2"].requests == 1
    assert not known["e3"].requests


def test_usage_that_is_reported_twice_counts_once():
    """A prefill is reported at once, and again in the summary of the engine's cell."""
    peer, local, remote = make_tracker("e1"), make_tracker(), make_tracker()
    local.apply_digest("peer", peer.build_digest(0.0), 0.0, 0.0)
    remote.apply_digest("peer", peer.build_digest(0.0), 0.0, 0.0)
    remote.apply_summary(pack_summary(local), 0.0, 0.0)
    known = remote.get_usage(0.1)["e1"]
    assert (known.requests, known.prefill_seconds) == (1, pytest.approx(0.9))


def test_an_older_summary_does_not_replace_a_newer_one():
    remote = make_tracker()
    remote.apply_summary(pack_summary(make_tracker("e1")), 0.0, 1.0)
    remote.apply_summary(pack_summary(make_tracker()), 0.5, 1.0)
    assert remote.get_usage(1.0)["e1"].requests == 1
    remote.apply_summary(pack_summary(make_tracker()), 0.0, 1.1)
    assert not remote.get_usage(1.1)["e1"].requests


def test_a_summary_is_not_forwarded():
    """Two hosts count an engine as theirs, and repeat to each other what has ended."""
    one, other = make_tracker("e1"), make_tracker()
    other.apply_summary(pack_summary(one), 0.0, 0.0)
    assert other.get_usage(0.1)["e1"].requests == 1
    assert pack_summary(other, 0.1) == {engine: [] for engine in CELL}


def test_summaries_expire():
    """A cell that is cut off sends no summaries, so its engines count as unknown."""
    remote = make_tracker()
    remote.apply_summary(pack_summary(make_tracker("e1", seconds=9.0)), 0.0, 0.0)
    assert "e1" in remote.get_usage(c.MAX_HINT_AGE_SECONDS)
    assert "e1" not in remote.get_usage(c.MAX_HINT_AGE_SECONDS + 0.1)


@pytest.mark.parametrize("data", [None, [1], {"e1": [1, 2]}, {"e1": "word"}])
def test_a_malformed_summary_changes_nothing(data):
    """A host of another version may have sent it."""
    remote = make_tracker()
    with pytest.raises((AttributeError, TypeError, ValueError)):
        remote.apply_summary(data, 0.0, 0.0)
    assert not remote.get_usage(0.0)
