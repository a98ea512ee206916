"""Streams are whole however their events are numbered; missing events are found."""

import pytest

from tarragonward_bench.event_runs import run_event_seed
from tarragonward_requests import EventSequence


def test_sound_streams_are_whole_and_counted_ones_miss_no_event():
    for seed in range(1, 201):
        run_event_seed(seed)


def test_runs_detect_ids_taken_for_counts(monkeypatch):
    """Streams whose ids count tokens were cut after their first event."""
    record = EventSequence._record

    def count(sequence, event_id):
        record(sequence, event_id)
        sequence._step = 1

    monkeypatch.setattr(EventSequence, "_record", count)
    with pytest.raises(AssertionError, match="a sound stream was cut"):
        for seed in range(1, 20):
            run_event_seed(seed)


def test_runs_detect_that_no_event_is_ever_missed(monkeypatch):
    monkeypatch.setattr(EventSequence, "_is_after_gap", lambda *_: False)
    with pytest.raises(AssertionError, match="an event is missing"):
        for seed in range(1, 40):
            run_event_seed(seed)
