"""Tests of which events of a stream are forwarded, over several runs."""

import pytest

from tarragonward_requests import (
    EventNumbering,
    EventNumberings,
    EventSequence,
    EventStreamSplitter,
    StreamEvent,
)

COUNTING, SPARSE = EventNumbering.COUNTING, EventNumbering.SPARSE


def run(sequence, *ids):
    """Give a run's events; return the ids forwarded, and whether one is missing."""
    sequence.begin_run()
    selected = sequence.select([StreamEvent(b"", each) for each in ids])
    return [event.event_id for event in selected.events], selected.has_gap


@pytest.mark.parametrize(
    "ids",
    [(1, 2, 3), (46, 92, 138), (46, 92, 109), (7, 8, 9), (0, 1, 2), (10**17, 10**18)],
)
def test_increasing_ids_of_one_run_are_whole(ids):
    """Ids by the tokens of an event must not be taken for missing events."""
    assert run(EventSequence(), *ids) == (list(ids), False)


@pytest.mark.parametrize("missing", range(2, 6))
def test_event_missing_from_a_counted_run_is_found(missing):
    ids = [each for each in range(1, 7) if each != missing]
    assert run(EventSequence(), *ids) == (ids[: missing - 1], True)


@pytest.mark.parametrize("delivered", range(1, 6))
def test_event_that_a_resumed_run_skips_is_found(delivered):
    """The next target goes on one event too late."""
    sequence = EventSequence()
    run(sequence, *range(1, delivered + 1))
    assert run(sequence, delivered + 2, delivered + 3) == ([], True)


def test_event_that_a_resumed_run_skips_is_found_where_steps_are_equal():
    sequence = EventSequence()
    run(sequence, 46, 92, 138)
    assert run(sequence, 230, 276) == ([], True)
    assert run(sequence, 184, 230) == ([184, 230], False)


@pytest.mark.parametrize("second", [(138, 184), (100, 150), (46, 92, 138)])
def test_resumed_run_may_cut_its_events_differently_or_repeat(second):
    sequence = EventSequence()
    run(sequence, 46, 92)
    expected = [each for each in second if each > 92]
    assert run(sequence, *second) == (expected, False)


def test_step_that_two_targets_take_from_an_event_misses_none():
    """The first token comes alone, and then 46 of them at a time."""
    sequence = EventSequence()
    assert run(sequence, 1, 47, 93) == ([1], True)
    assert run(sequence, 47, 93) == ([47, 93], False)


def test_two_targets_that_lose_the_same_event_are_not_believed():
    """A service that is known to count its events loses the same one twice."""
    sequence = EventSequence(None, COUNTING)
    assert run(sequence, 1, 2, 4) == ([1, 2], True)
    assert run(sequence, 4, 5) == ([], True)
    assert sequence.has_contradiction


def test_ids_that_fall_or_repeat_are_forwarded_once():
    assert run(EventSequence(), 1, 2, 2, 1, 3) == ([1, 2, 3], False)
    assert run(EventSequence(), 46, 92, 46, 138) == ([46, 92, 138], False)


def test_run_that_starts_over_continues_after_the_last_event():
    sequence = EventSequence()
    run(sequence, 46, 92)
    assert run(sequence, 46, 92, 138) == ([138], False)


def test_callers_last_event_decides_what_follows():
    assert run(EventSequence(12), 12, 13, 14) == ([13, 14], False)
    assert run(EventSequence(12), 14) == ([], True)
    assert run(EventSequence(92, SPARSE), 138) == ([138], False)


def split(data):
    return EventStreamSplitter().split(data)


def test_stream_with_data_that_has_no_id_has_no_position():
    """Another run would repeat such data, as it goes on after the last id."""
    sequence = EventSequence()
    sequence.select(split(b"id: 1\ndata: a\n\n: comment\n\n"))
    assert sequence.has_position
    sequence.select(split(b"data: b\n\n"))
    assert not sequence.has_position
    sequence.select(split(b"id: 2\ndata: c\n\n"))
    assert sequence.has_position


@pytest.mark.parametrize("text", [b"x", b"-1", b"1.5", b"9" * 5_000, b""])
def test_ids_that_are_no_numbers_are_forwarded_and_not_resumed(text):
    (event,) = split(b"id: " + text + b"\ndata: a\n\n")
    assert event.event_id is None
    assert event.has_data


def learn(numberings, *ids, now=0.0):
    sequence = EventSequence(None, numberings.get("s", now))
    run(sequence, *ids)
    numberings.record_whole_stream("s", sequence, now)
    return numberings.get("s", now)


def test_numbering_of_a_service_is_learned_and_forgotten():
    numberings = EventNumberings()
    assert learn(numberings, 1, 2, 3) is EventNumbering.UNKNOWN
    assert learn(numberings, 1, 2, 3, 4, 5) is COUNTING
    numberings.forget("s")
    assert learn(numberings, 46, 92, 93) is EventNumbering.UNKNOWN
    assert learn(numberings, 46, 92, 138) is SPARSE
    # A few consecutive ids of a stream that does not count them.
    assert learn(numberings, 3, 4, 5, 6, 7, now=1.0) is SPARSE
    assert numberings.get("s", 1e6) is EventNumbering.UNKNOWN
