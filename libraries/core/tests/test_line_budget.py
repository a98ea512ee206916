"""Tests for the log's line budget and for log pipes that are not read."""

import os

from tarragonward_core import EventLog, LineBudget, LogEvent
from tarragonward_core.logs import DescriptorWriter


def test_overload_keeps_to_the_budget_and_reports_dropped_lines():
    """Logging a thousand refusals per second would cost more than serving requests.

    The bucket admits its burst and rate and no more. The number of dropped lines is
    reported a second later, so that a short log isn't taken for a lack of events.
    """
    budget = LineBudget(lines_per_second=10, burst=50)
    admitted = sum(budget.admit(tick / 1000) for tick in range(1000))
    assert 40 <= admitted <= 60
    assert budget.take_unreported(1.0) == 1000 - admitted
    assert budget.take_unreported(1.5) == 0
    assert not budget.admit(1.5, lines=30)
    assert budget.take_unreported(1.9) == 0
    assert budget.take_unreported(2.0) == 30
    assert budget.dropped == 1030 - admitted


def test_errors_may_use_the_reserved_share():
    budget = LineBudget(lines_per_second=0, burst=10)
    while budget.admit(0.0):
        pass
    assert budget.admit(0.0, is_urgent=True)


def test_records_of_one_call_are_written_all_or_none():
    written = []
    log = EventLog(
        lambda data: written.append(data) or True,
        LineBudget(lines_per_second=1, burst=5),
        "entry-1",
        read_wall_clock=lambda: 1000.0,
        read_monotonic_clock=lambda: 0.0,
    )
    log.log([LogEvent(0.0, "a"), LogEvent(0.0, "b"), LogEvent(0.0, "c")])
    log.log([LogEvent(0.0, "d"), LogEvent(0.0, "e")])
    assert b"".join(written).count(b"\n") == 3
    assert log.dropped == 2


def test_lines_have_the_time_of_the_event_not_of_the_write():
    written = []
    log = EventLog(
        lambda data: written.append(data) or True,
        host="entry-1",
        read_wall_clock=lambda: 1000.0,
        read_monotonic_clock=iter([10.0, 14.0]).__next__,
    )
    log.log([LogEvent(11.5, "target_chosen", {"target": "i-1"})])
    assert written == [
        b"at=997.500 up=1.500 host=entry-1 event=target_chosen target=i-1\n"
    ]


def test_a_pipe_that_is_not_read_does_not_block():
    """The log collector stops reading and its pipe fills up.

    A blocking write would stop the event loop, and with it all requests. Lines are
    counted as dropped; a line written in part is completed before the next one.
    """
    reading, writing = os.pipe()
    write = DescriptorWriter(writing)
    budget = LineBudget(lines_per_second=1e9, burst=1 << 30)
    log = EventLog(write, budget)
    while not log.dropped:
        log.log([LogEvent(0.0, "x" * 100)] * 50)
    held = os.read(reading, 1 << 20)
    log.log([LogEvent(0.0, "last")])
    os.close(writing)
    lines = (held + os.read(reading, 1 << 20)).splitlines()
    os.close(reading)
    assert all(line.startswith(b"at=") for line in lines)
    assert lines[-1].endswith(b"event=last")
