"""Tests of detecting requests that crash their targets."""

import random

import pytest

from tarragonward_requests import SuspectEntry, SuspectTracker, Verdict
from tarragonward_requests import const as c

ONE, OTHER = b"1" * 8, b"2" * 8


def make_tracker(*crashes, fingerprint=ONE, now=0.0):
    tracker = SuspectTracker()
    for target in crashes:
        tracker.record_crash(fingerprint, 10, target, now)
    return tracker


@pytest.mark.parametrize(
    ("crashes", "verdict"),
    [
        ([], Verdict.CLEAR),
        ([1], Verdict.CLEAR),
        ([1, 1, 1], Verdict.CLEAR),
        ([1, 2], Verdict.ALONE),
        ([1, 2, 3], Verdict.REFUSED),
    ],
)
def test_distinct_crashed_targets_decide_the_verdict(crashes, verdict):
    assert make_tracker(*crashes).evaluate(ONE, 1.0) is verdict


def test_an_isolated_host_delays_a_request_after_one_crash():
    """Isolated hosts that each allow three crashes exceed the limit together."""
    tracker = make_tracker(1, now=5.0)
    retry_at = 5.0 + c.ISOLATED_HOST_RETRY_DELAY_SECONDS
    assert tracker.evaluate(ONE, 5.1, is_host_isolated=True) is Verdict.LATER
    assert tracker.get_wait_seconds(ONE, 5.5, is_host_isolated=True) == retry_at - 5.5
    assert tracker.evaluate(ONE, retry_at, is_host_isolated=True) is Verdict.CLEAR
    assert tracker.evaluate(ONE, 5.1) is Verdict.CLEAR
    assert tracker.evaluate(OTHER, 5.1, is_host_isolated=True) is Verdict.CLEAR


def test_an_isolated_host_does_not_wait_after_a_crash_reported_by_peers():
    """What peers reported before contact was lost is as old as the isolation."""
    tracker = make_tracker()
    assert not tracker.merge(make_tracker(1).build_entry(ONE, 0.0), 0.0)
    assert tracker.evaluate(ONE, 0.1, is_host_isolated=True) is Verdict.CLEAR


def test_a_complete_answer_clears_a_suspect():
    """A request that ran beside three crashes must not be refused for good."""
    tracker = make_tracker(1, 2, 3)
    assert tracker.record_answered(ONE, 1.0)
    assert tracker.evaluate(ONE, 1.0) is Verdict.CLEAR
    for target in (4, 5, 6):
        tracker.record_crash(ONE, 10, target, 2.0)
    assert tracker.evaluate(ONE, 2.0) is Verdict.REFUSED


def test_crashes_explained_by_a_worse_suspect_do_not_count():
    """A request that ran twice beside the one that crashes targets is sent normally."""
    tracker = make_tracker(1, 2, 3)
    for target in (2, 3):
        tracker.record_crash(OTHER, 10, target, 0.0)
    assert tracker.evaluate(OTHER, 1.0) is Verdict.CLEAR
    assert tracker.evaluate(ONE, 1.0) is Verdict.REFUSED


def test_two_suspects_of_the_same_crashes_do_not_explain_each_other():
    """If both were excused, the one that crashes targets would never be refused."""
    tracker = make_tracker(1, 2, 3)
    for target in (1, 2, 3):
        tracker.record_crash(OTHER, 10, target, 0.0)
    assert tracker.evaluate(ONE, 1.0) is tracker.evaluate(OTHER, 1.0) is Verdict.REFUSED


def test_one_isolated_attempt_at_a_time():
    """Hosts that all try a suspect at once would each crash a target."""
    tracker = make_tracker(1, 2)
    tracker.begin_isolated_attempt(ONE, 1.0)
    peer = SuspectTracker()
    peer.merge(tracker.build_entry(ONE, 1.1), 1.1)
    assert peer.evaluate(ONE, 1.2) is Verdict.LATER
    assert 0 < peer.get_wait_seconds(ONE, 1.2) <= c.ISOLATED_ATTEMPT_SECONDS
    assert peer.evaluate(ONE, 1.1 + c.ISOLATED_ATTEMPT_SECONDS) is Verdict.ALONE


def test_an_entry_survives_packing_and_unpacking():
    tracker = make_tracker(1, 2)
    entry = tracker.build_entry(ONE, 0.5)
    assert SuspectEntry.unpack(entry.pack()) == entry


@pytest.mark.parametrize(
    "item",
    [
        (b"short", 1, [], [], 0, 0),
        (ONE, -1, [], [], 0, 0),
        (ONE, 1, ["2"], [], 0, 0),
        (ONE, 1, list(range(c.MAX_CRASHES_PER_SUSPECT + 1)), [], 0, 0),
        (ONE, 1, [2], [3], 0, 0),
        (ONE, True, [], [], 0, 0),
    ],
)
def test_a_malformed_entry_is_rejected(item):
    with pytest.raises(ValueError):
        SuspectEntry.unpack(item)


def test_merging_does_not_depend_on_order_or_duplicates():
    """Duplicated or reordered messages must not leave hosts with different verdicts."""
    rng = random.Random(1)
    entries = [make_tracker(target).build_entry(ONE, 0.0) for target in range(4)]
    cleared = make_tracker(8, 9, now=-2.0)
    cleared.record_answered(ONE, -1.0)
    entries.append(cleared.build_entry(ONE, 0.0))
    counts = set()
    for _ in range(20):
        tracker = SuspectTracker()
        for entry in rng.sample(entries * 2, len(entries) * 2):
            tracker.merge(entry, 0.0)
        counts.add(tracker.count(ONE))
    assert counts == {4}


def test_clearing_does_not_apply_to_later_crashes_however_often_relayed():
    """Relayed ages drift, so clearing by time would also clear later crashes."""
    tracker, peer = make_tracker(1, 2, 3), SuspectTracker()
    tracker.clear(ONE, 1.0)
    for target in (4, 5, 6):
        tracker.record_crash(ONE, 10, target, 2.0)
    for step in range(1_000):
        now = 2.0 + step
        peer.merge(tracker.build_entry(ONE, now), now + 0.005)
        tracker.merge(peer.build_entry(ONE, now + 0.1), now + 0.105)
    assert tracker.evaluate(ONE, 2.0) is peer.evaluate(ONE, 2.0) is Verdict.REFUSED


def test_merged_crashes_of_two_hosts_give_a_new_verdict():
    tracker = make_tracker(1)
    assert not tracker.merge(make_tracker(1).build_entry(ONE, 0.0), 0.0)
    assert tracker.merge(make_tracker(2).build_entry(ONE, 0.0), 0.0)
    assert tracker.evaluate(ONE, 0.0) is Verdict.ALONE


def test_hosts_that_keep_different_crashes_do_not_relay_forever():
    """Each message would be news to the other host and be relayed: a gossip storm."""
    many = c.MAX_CRASHES_PER_SUSPECT
    one, other = make_tracker(*range(many)), make_tracker(*range(many, many + 5))
    for _ in range(5):
        assert not one.merge(other.build_entry(ONE, 0.0), 0.0)
        assert not other.merge(one.build_entry(ONE, 0.0), 0.0)
    assert one.evaluate(ONE, 0.0) is other.evaluate(ONE, 0.0) is Verdict.REFUSED


def test_memory_is_bounded_and_keeps_the_suspects_with_most_crashes():
    """A flood of new fingerprints must not evict requests that are refused."""
    tracker = make_tracker(1, 2, 3)
    for number in range(2 * c.MAX_SUSPECTS):
        tracker.record_crash(
            number.to_bytes(8, "big"), number, number + 9, 1.0 + number
        )
    assert len(tracker) == c.MAX_SUSPECTS
    assert tracker.evaluate(ONE, 2.0) is Verdict.REFUSED


def test_a_refusal_renews_the_retention_of_a_suspect():
    tracker = make_tracker(1, 2, 3)
    tracker.record_refused(ONE, 3_000.0)
    tracker.expire(c.REFUSED_RETENTION_SECONDS + 1.0)
    assert tracker.evaluate(ONE, c.REFUSED_RETENTION_SECONDS + 1.0) is Verdict.ALONE
    tracker.expire(3_000.0 + c.REFUSED_RETENTION_SECONDS)
    assert tracker.evaluate(ONE, 0.0) is Verdict.CLEAR
    assert not tracker.may_contain(10)


def test_refused_request_is_tried_alone_after_growing_times():
    """A request that was on many targets when they lost power must come back."""
    tracker = make_tracker(*range(6))
    due = c.REFUSED_TRIAL_SECONDS
    for trial in range(3):
        assert tracker.evaluate(ONE, due - 0.1) is Verdict.REFUSED
        assert tracker.evaluate(ONE, due) is Verdict.ALONE
        tracker.begin_isolated_attempt(ONE, due)
        assert tracker.evaluate(ONE, due) is Verdict.LATER
        tracker.end_isolated_attempt(ONE)
        tracker.record_crash(ONE, 10, 100 + trial, due, is_isolated=True)
        due += c.REFUSED_TRIAL_SECONDS * c.REFUSED_TRIAL_GROWTH ** (trial + 1)


def test_one_host_begins_to_try_a_refused_request():
    """Hosts that all try it when it is due would each crash a target."""
    tracker = make_tracker(1, 2, 3)
    due = c.REFUSED_TRIAL_SECONDS
    assert tracker.evaluate(ONE, due, trial_delay=0.3) is Verdict.LATER
    tracker.record_deferred(ONE, due)
    assert tracker.evaluate(ONE, due + 0.2, trial_delay=0.3) is Verdict.LATER
    assert tracker.evaluate(ONE, due + 0.3, trial_delay=0.3) is Verdict.ALONE


def test_requests_of_other_body_sizes_need_no_hash():
    tracker = make_tracker(1)
    assert tracker.may_contain(10)
    assert not tracker.may_contain(11)
