"""Tests of the segments of prompts that crash the targets that run them."""

from dataclasses import replace

import pytest

from tarragonward_requests import (
    PromptContext,
    SegmentEntry,
    SegmentTracker,
    Verdict,
    fingerprint_segments,
)
from tarragonward_requests import const as c

[COMMON, BAD, OTHER] = fingerprint_segments("llm", ["common", "bad", "other"])
PROMPT = (COMMON, BAD)
SOUND = (COMMON, OTHER)
ALICE, BOB = 1, 2


def judge(tracker, segments, now, account=ALICE, **context):
    return tracker.evaluate(PromptContext(segments, account, now, **context)).verdict


def crash(tracker, segments, targets, begin=10.0, account=ALICE):
    """Crash targets half a second apart; return when the last one crashed."""
    for number, target in enumerate(targets):
        at = begin + number / 2
        tracker.record_crash(segments, account, target, at - 0.1, at)
    return begin + (len(targets) - 1) / 2


@pytest.fixture
def tracker():
    """Return a tracker that has seen the common segment answered."""
    made = SegmentTracker()
    made.record_answered((COMMON,), 8.9, 9.0)
    return made


def exchange(sender, receiver, segment, now):
    entry = sender.build_entry(segment, now)
    return receiver.merge(SegmentEntry.unpack(entry.pack()), now)


def test_unlike_prompts_with_a_segment_are_refused_after_three_crashes(tracker):
    """No two prompts are alike, so each by itself may crash three targets."""
    verdicts = []
    for target in range(4):
        verdicts.append(judge(tracker, PROMPT, 10.0 + target))
        tracker.record_crash(PROMPT, ALICE, target, 9.9 + target, 10.0 + target)
    assert verdicts == [Verdict.CLEAR] * 2 + [Verdict.ALONE, Verdict.REFUSED]


def test_prompts_that_share_an_answered_segment_are_still_sent(tracker):
    """The first segment of a refused prompt is one that all prompts share."""
    now = crash(tracker, PROMPT, range(9))
    assert judge(tracker, PROMPT, now) is Verdict.REFUSED
    assert judge(tracker, SOUND, now) is Verdict.CLEAR
    assert judge(tracker, (COMMON,), now) is Verdict.CLEAR


def test_segment_beside_the_cause_is_not_refused(tracker):
    """A prompt that was beside the cause three times has crashes, but no guilt."""
    now = crash(tracker, PROMPT, range(4))
    crash(tracker, SOUND, range(3))
    assert judge(tracker, PROMPT, now) is Verdict.REFUSED
    assert judge(tracker, SOUND, now) is Verdict.CLEAR


def test_of_two_segments_with_equal_evidence_each_is_tried_alone(tracker):
    """Two segments were in the same crashes: a prompt with one of them tells which."""
    now = crash(tracker, (BAD, OTHER), range(3))
    assert judge(tracker, (BAD, OTHER), now) is Verdict.REFUSED
    assert judge(tracker, (OTHER,), now) is Verdict.ALONE
    tracker.record_answered((OTHER,), now + 0.1, now + 0.5)
    assert judge(tracker, (OTHER,), now + 0.5) is Verdict.CLEAR
    assert judge(tracker, (BAD,), now + 0.5) is Verdict.REFUSED


def test_segment_of_a_request_that_crashes_targets_by_itself_is_tried(tracker):
    """One request, repeated, crashes targets: its session must not be refused."""
    now = crash(tracker, PROMPT, range(3))
    alone = [frozenset(range(3))]
    assert judge(tracker, PROMPT, now, refused_requests=alone) is Verdict.ALONE
    now = crash(tracker, PROMPT, [7], now + 1.0)
    assert judge(tracker, PROMPT, now, refused_requests=alone) is Verdict.REFUSED


def test_only_an_answer_that_began_after_a_crash_clears_its_segments(tracker):
    """A part may become deadly while answers that began before are still given."""
    now = crash(tracker, PROMPT, range(3))
    tracker.record_answered((BAD,), 9.5, now)
    assert tracker.count(BAD) == 3
    tracker.record_answered((BAD,), 10.2, now)
    assert tracker.count(BAD) == 2
    tracker.record_answered((BAD,), now, now + 1.0)
    assert tracker.count(BAD) == 0


def test_answered_segment_that_becomes_deadly_is_refused(tracker):
    """A popular segment crashes all targets from some time on."""
    now = crash(tracker, (COMMON,), range(5))
    assert judge(tracker, (COMMON,), now) is Verdict.CLEAR
    later = 10.0 + c.ANSWERED_REFUSE_AFTER_SECONDS
    assert judge(tracker, (COMMON,), later) is Verdict.REFUSED


def test_mass_crash_does_not_refuse_an_answered_segment(tracker):
    """Half of the engines lose power at once, with prompts of all callers on them."""
    for target in range(12):
        tracker.record_crash((COMMON,), ALICE, target, 9.5, 10.0 + target / 100)
    assert judge(tracker, (COMMON,), 13.0) is Verdict.CLEAR


def test_quick_crashes_one_after_the_other_count_each(tracker):
    """A prompt that crashes targets as it arrives is sent on within milliseconds."""
    for target in range(3):
        at = 10.0 + target / 100
        tracker.record_crash(PROMPT, ALICE, target, at - 0.005, at)
    assert judge(tracker, PROMPT, 10.1) is Verdict.REFUSED


def test_mass_crash_refuses_no_new_segment(tracker):
    """A session that began just before was on three of the engines that lost power."""
    for target in range(3):
        tracker.record_crash(PROMPT, ALICE, target, 9.5, 10.0 + target / 100)
    assert judge(tracker, PROMPT, 10.1) is Verdict.CLEAR


def test_segment_of_most_prompts_is_not_refused_at_hosts_that_have_just_started():
    """All hosts lose power, and engines crash before any prompt is answered."""
    tracker = SegmentTracker()
    for _ in range(c.MIN_RECENT_PROMPTS):
        tracker.record_prompt(SOUND)
        tracker.record_prompt((COMMON,))
    now = crash(tracker, PROMPT, range(4))
    assert judge(tracker, PROMPT, now) is Verdict.REFUSED
    assert judge(tracker, (COMMON,), now) is Verdict.CLEAR
    assert judge(tracker, (COMMON,), now, is_host_isolated=True) is Verdict.CLEAR


def test_steady_stream_clears_answered_segments_only(tracker):
    """Engines crash one after the other while prompts stream on the others."""
    now = crash(tracker, PROMPT, range(6))
    assert tracker.record_steady_stream(PROMPT, now, now + 1.0) == (COMMON,)
    assert tracker.count(BAD) == 6
    assert tracker.count(COMMON) == 0


def test_what_one_account_states_does_not_refuse_anothers_prompts(tracker):
    """A caller names a neighbour's segment in prompts that crash by something else."""
    now = crash(tracker, PROMPT, range(3))
    assert judge(tracker, PROMPT, now) is Verdict.REFUSED
    assert judge(tracker, PROMPT, now, account=BOB) is Verdict.ALONE
    crash(tracker, PROMPT, [7], now, account=BOB)
    assert judge(tracker, PROMPT, now, account=3) is Verdict.REFUSED


def test_refused_segment_is_tried_once_after_a_while(tracker):
    """A segment that was refused by chance must come back, by one prompt at a time."""
    now = crash(tracker, PROMPT, range(3))
    due = now + c.MAX_SEGMENT_TRIAL_SECONDS
    assert judge(tracker, PROMPT, due - 0.1) is Verdict.REFUSED
    late = {"get_trial_delay": lambda segment: 0.3}
    assert judge(tracker, PROMPT, due, **late) is Verdict.REFUSED
    assert judge(tracker, PROMPT, due) is Verdict.ALONE
    tracker.begin_isolated_attempt(BAD, due)
    assert judge(tracker, PROMPT, due) is Verdict.REFUSED
    tracker.end_isolated_attempt(BAD)
    crash(tracker, PROMPT, [8], due)
    again = due + c.SEGMENT_TRIAL_SECONDS * c.SEGMENT_TRIAL_GROWTH
    assert judge(tracker, PROMPT, again - 0.1) is Verdict.REFUSED
    assert judge(tracker, PROMPT, again) is Verdict.ALONE


def test_segment_refused_at_one_service_is_refused_sooner_at_another(tracker):
    """Two services run the same model, and the segment crashes both's engines."""
    [elsewhere] = fingerprint_segments("canary", ["bad"])
    now = crash(tracker, PROMPT, range(3))
    assert judge(tracker, (elsewhere,), now) is Verdict.CLEAR
    crash(tracker, (elsewhere,), [20], now)
    assert judge(tracker, (elsewhere,), now) is Verdict.REFUSED


def test_isolated_host_waits_after_one_crash(tracker):
    """Several isolated hosts would each let a segment crash three targets."""
    now = crash(tracker, PROMPT, [1])
    assert judge(tracker, PROMPT, now, is_host_isolated=True) is Verdict.LATER
    assert judge(tracker, (COMMON,), now, is_host_isolated=True) is Verdict.CLEAR


def test_crashes_seen_by_different_hosts_are_added_up(tracker):
    trackers = [SegmentTracker() for _ in range(3)]
    for target, one in enumerate(trackers):
        one.record_crash(PROMPT, ALICE, target, 9.9 + target, 10.0 + target)
    assert exchange(trackers[0], trackers[1], BAD, 13.0)
    assert exchange(trackers[1], trackers[2], BAD, 13.0)
    assert judge(trackers[2], PROMPT, 13.0) is Verdict.REFUSED


def test_host_that_knows_an_answer_tells_the_one_that_does_not(tracker):
    """A segment was answered at one host, and its crashes are seen at another."""
    other = SegmentTracker()
    crash(other, (COMMON,), range(3))
    assert judge(other, (COMMON,), 11.0) is Verdict.REFUSED
    assert exchange(other, tracker, COMMON, 11.0)
    assert not exchange(tracker, other, COMMON, 11.0)
    assert judge(other, (COMMON,), 11.0) is Verdict.CLEAR


def test_hosts_do_not_relay_a_common_segment_to_each_other_for_ever():
    """What is common is known to each host by itself, and no entry says so."""
    first, second = SegmentTracker(), SegmentTracker()
    for tracker in (first, second):
        for _ in range(c.MIN_RECENT_PROMPTS):
            tracker.record_prompt((COMMON,))
    now = crash(first, (COMMON,), range(2))
    assert not exchange(first, second, COMMON, now)
    assert not exchange(second, first, COMMON, now)


def test_cleared_crashes_stay_cleared_when_entries_arrive_late(tracker):
    other = SegmentTracker()
    now = crash(tracker, PROMPT, range(3))
    stale = tracker.build_entry(BAD, now)
    tracker.record_answered((BAD,), now, now + 0.5)
    exchange(tracker, other, BAD, now + 0.5)
    other.merge(stale, now + 0.6)
    assert judge(other, PROMPT, now + 0.6) is Verdict.CLEAR
    assert other.is_covered_by(tracker.build_entry(BAD, now))
    assert not other.is_covered_by(stale)


def test_operator_clears_a_segment(tracker):
    now = crash(tracker, PROMPT, range(3))
    assert tracker.clear(BAD, now)
    assert judge(tracker, PROMPT, now) is Verdict.CLEAR
    assert not tracker.clear(b"unknown!", now)


def test_flood_of_suspects_does_not_evict_the_refused_one(tracker):
    now = crash(tracker, PROMPT, range(3))
    for number in range(c.MAX_SUSPECT_SEGMENTS + 50):
        tracker.record_crash((number.to_bytes(8, "big"),), BOB, 99, now, now)
    assert len(tracker) == c.MAX_SUSPECT_SEGMENTS
    assert judge(tracker, PROMPT, now) is Verdict.REFUSED


def test_of_many_segments_those_never_answered_become_suspects(tracker):
    many = [number.to_bytes(8, "big") for number in range(200)]
    tracker.record_answered(many[:150], 9.0, 9.5)
    recorded = tracker.record_crash(many, ALICE, 1, 9.9, 10.0)
    assert set(many[150:]) <= set(recorded)
    assert len(recorded) == c.MAX_SUSPECT_SEGMENTS_PER_PROMPT


def test_suspects_expire(tracker):
    now = crash(tracker, PROMPT, range(3))
    tracker.expire(now + c.REFUSED_RETENTION_SECONDS - 1.0)
    assert tracker.get(BAD) is not None
    tracker.record_refused((BAD,), now + c.REFUSED_RETENTION_SECONDS - 1.0)
    tracker.expire(now + c.REFUSED_RETENTION_SECONDS + 1.0)
    assert [segment for segment, _ in tracker.items()] == [BAD]


@pytest.mark.parametrize(
    "change",
    [
        {"fingerprint": b"short"},
        {"crashes": [(1, 2, 3, 4, True)] * (c.MAX_CRASHES_PER_SEGMENT + 1)},
        {"crashes": [(-1, 2, 3, 4, True)]},
        {"crashes": [(1, "2", 3, 4, True)]},
        {"answered": -2},
        {"idle": 1 << 63},
    ],
)
def test_malformed_entry_is_refused(change):
    entry = SegmentEntry(BAD, {}, 1.0)
    names = ("fingerprint", "crashes", "idle", "attempt", "answered")
    fields = dict(zip(names, entry.pack(), strict=True))
    with pytest.raises(ValueError):
        SegmentEntry.unpack(tuple({**fields, **change}.values()))
    assert SegmentEntry.unpack(tuple(fields.values())) == replace(entry)


def test_crash_in_an_isolated_attempt_ends_it_at_all_hosts(tracker):
    """Other hosts have heard of its begin, and would refuse prompts until its time."""
    now = crash(tracker, PROMPT, range(2))
    other = SegmentTracker()
    tracker.begin_isolated_attempt(BAD, now)
    exchange(tracker, other, BAD, now)
    assert judge(other, PROMPT, now) is Verdict.LATER
    tracker.record_crash(PROMPT, ALICE, 8, now + 0.01, now + 0.2)
    exchange(tracker, other, BAD, now + 0.3)
    assert judge(other, PROMPT, now + 0.3) is Verdict.REFUSED
    assert judge(other, PROMPT, now + 0.3, account=BOB) is Verdict.ALONE


def test_crash_under_an_older_send_does_not_end_an_isolated_attempt(tracker):
    """A second attempt beside the first one might crash one more target."""
    now = crash(tracker, PROMPT, range(2))
    other = SegmentTracker()
    tracker.begin_isolated_attempt(BAD, now)
    exchange(tracker, other, BAD, now)
    other.record_crash((BAD,), ALICE, 8, now - 0.5, now + 0.2)
    assert judge(other, PROMPT, now + 0.3, account=BOB) is Verdict.LATER


def test_segment_counts_no_fewer_crashes_than_one_that_was_beside_it_in_half(tracker):
    """Its record is full first; the other one would explain the crashes it caused."""
    tracker.record_answered((BAD, OTHER), 8.0, 9.0)
    for number in range(2 * c.MAX_CRASHES_PER_SEGMENT):
        at = 10.0 + number / 8
        segments = (BAD, OTHER) if number % 2 else (BAD,)
        tracker.record_crash(segments, ALICE, number, at - 0.5, at)
    counts = [tracker.get(each).count_crashes() for each in (BAD, OTHER)]
    assert counts[0] >= counts[1]


def test_many_crashes_of_an_answered_segment_explain_those_of_a_new_one(tracker):
    """While all targets crash, new segments are never answered, and look guilty."""
    tracker.record_answered((BAD,), 8.0, 9.0)
    now = crash(tracker, (BAD, OTHER), range(3))
    now = crash(tracker, (BAD,), range(3, 12), begin=now + 0.5)
    assert judge(tracker, (OTHER,), now) is Verdict.CLEAR
    assert judge(tracker, (BAD,), now) is Verdict.REFUSED
