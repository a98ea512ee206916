"""Tests of splitting a stream of server-sent events."""

import pytest

from tarragonward_requests import EventStreamSplitter

EVENTS = [
    b"id: 1\ndata: a\n\n",
    b"x-weight-versions: 7\nid: 2\ndata: b\ndata: c\n\n",
    b"id: 3\r\ndata: d\r\n\r\n",
    b": a comment\n\n",
    b"id: 12\ndata: e\n\n",
]
EVENT_IDS = [1, 2, 3, None, 12]


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1_000])
def test_events_do_not_depend_on_chunk_boundaries(size):
    stream = b"".join(EVENTS)
    splitter = EventStreamSplitter()
    events = []
    for start in range(0, len(stream), size):
        events += splitter.split(stream[start : start + size])
    assert [event.data for event in events] == EVENTS
    assert [event.event_id for event in events] == EVENT_IDS
    assert not splitter.has_partial_event


def test_an_incomplete_event_is_buffered():
    splitter = EventStreamSplitter()
    assert splitter.split(b"id: 1\ndata: a\n") == []
    assert splitter.has_partial_event
    (event,) = splitter.split(b"\nid: 2")
    assert event.data == b"id: 1\ndata: a\n\n"
    assert splitter.has_partial_event


def test_an_oversized_event_is_rejected():
    with pytest.raises(ValueError, match="too large"):
        EventStreamSplitter().split(b"x" * 1_100_000)
