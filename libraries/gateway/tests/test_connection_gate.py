"""Tests of the decision to close connections unread."""

from tarragonward_gateway import const as c
from tarragonward_gateway.connection_gate import ConnectionGate

BUSY = 100


def offer(gate, rate, begin, seconds, in_flight=BUSY):
    """Offer connections at a rate; return the share that is accepted."""
    count = int(rate * seconds)
    accepted = sum(
        gate.may_accept(in_flight, (number % 10) / 10, begin + number / rate)
        for number in range(count)
    )
    return accepted / count


def record_outcomes(gate, served, total, now):
    for number in range(total):
        gate.record_outcome(number < served, now)


def test_connections_beyond_what_is_served_are_closed_in_a_crowd():
    """Targets have no place for all that one host gets: three of four are refused."""
    gate = ConnectionGate()
    assert offer(gate, 10, 0.0, 30.0) == 1.0
    record_outcomes(gate, 25, 100, 30.5)
    offer(gate, 60, 31.0, 0.5)
    assert offer(gate, 60, 31.5, 0.4) < 0.4
    record_outcomes(gate, 100, 100, 32.1)
    assert offer(gate, 60, 32.2, 0.5) == 1.0


def test_failures_without_a_crowd_close_no_connection():
    """A service is down, and its callers should be told when to come back."""
    gate = ConnectionGate()
    assert offer(gate, 30, 0.0, 30.0) == 1.0
    record_outcomes(gate, 0, 100, 30.5)
    assert offer(gate, 30, 30.6, 0.5) == 1.0
    assert offer(gate, 60, 30.6 + 5, 0.5, in_flight=2) == 1.0


def test_host_that_has_just_started_takes_its_load_for_usual():
    gate = ConnectionGate()
    offer(gate, 60, 0.0, c.GATE_LEARNING_SECONDS)
    record_outcomes(gate, 0, 100, c.GATE_LEARNING_SECONDS)
    assert offer(gate, 60, c.GATE_LEARNING_SECONDS, 1.0) == 1.0
