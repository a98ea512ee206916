"""Tests of the log's budget, and of lines that nobody reads."""

import os

from tarragonward_core import EventLog, Happening, LineBudget
from tarragonward_core.logs import DescriptorWriter


def test_a_second_of_overload_keeps_the_budget_and_says_what_is_missing():
    """A thousand refusals in a second would cost more than the requests served.

    The bucket gives its burst and its rate and no more; the count of the rest is
    said a second later, so that nobody takes a thin log for a calm host.
    """
    budget = LineBudget(lines_a_second=10, burst=50)
    admitted = sum(budget.admit(tick / 1000) for tick in range(1000))
    assert 40 <= admitted <= 60
    assert budget.take_unsaid(1.0) == 1000 - admitted
    assert budget.take_unsaid(1.5) == 0
    assert not budget.admit(1.5, lines=30)
    assert budget.take_unsaid(1.9) == 0
    assert budget.take_unsaid(2.0) == 30
    assert budget.dropped == 1030 - admitted


def test_errors_may_use_what_other_lines_must_leave():
    budget = LineBudget(lines_a_second=0, burst=10)
    while budget.admit(0.0):
        pass
    assert budget.admit(0.0, is_urgent=True)


def test_a_trail_is_written_whole_or_not_at_all():
    written = []
    log = EventLog(
        lambda data: written.append(data) or True,
        LineBudget(lines_a_second=1, burst=5),
        "entry-1",
        read_wall=lambda: 1000.0,
        read_steady=lambda: 0.0,
    )
    log.log([Happening(0.0, "a"), Happening(0.0, "b"), Happening(0.0, "c")])
    log.log([Happening(0.0, "d"), Happening(0.0, "e")])
    assert b"".join(written).count(b"\n") == 3
    assert log.dropped == 2


def test_lines_bear_when_it_was_not_when_it_was_written():
    written = []
    log = EventLog(
        lambda data: written.append(data) or True,
        host="entry-1",
        read_wall=lambda: 1000.0,
        read_steady=iter([10.0, 14.0]).__next__,
    )
    log.log([Happening(11.5, "target_chosen", {"target": "i-1"})])
    assert written == [
        b"at=997.500 up=1.500 host=entry-1 event=target_chosen target=i-1\n"
    ]


def test_a_pipe_that_nobody_reads_holds_nothing_up():
    """The collector of the logs stops reading, and its pipe fills.

    A write that waits would hold up the loop, and with it every caller. The line is
    counted as dropped; one that was begun is ended before any other follows.
    """
    reading, writing = os.pipe()
    write = DescriptorWriter(writing)
    budget = LineBudget(lines_a_second=1e9, burst=1 << 30)
    log = EventLog(write, budget)
    while not log.dropped:
        log.log([Happening(0.0, "x" * 100)] * 50)
    held = os.read(reading, 1 << 20)
    log.log([Happening(0.0, "last")])
    os.close(writing)
    lines = (held + os.read(reading, 1 << 20)).splitlines()
    os.close(reading)
    assert all(line.startswith(b"at=") for line in lines)
    assert lines[-1].endswith(b"event=last")
