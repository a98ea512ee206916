"""Fixed seeds of the randomised simulations, and tests that they detect faults."""

from dataclasses import replace

import pytest

from tarragonward_bench.soak import MACHINES, run_seed
from tarragonward_config import ApplyResult, ConfigurationHistory, Outcome
from tarragonward_core import ResultCode
from tarragonward_requests import CallLedger, Reply, Send
from tarragonward_requests.ledger import CallState

SEEDS = range(1, 201)
# Several cases per machine spread its seeds over the workers and keep each case well
# below the time limit of a test.
SEEDS_PER_CASE = 10


@pytest.mark.parametrize("first", SEEDS[::SEEDS_PER_CASE])
@pytest.mark.parametrize("machine", sorted(MACHINES))
def test_no_seed_violates_a_guarantee(machine, first):
    seeds = range(first, first + SEEDS_PER_CASE)
    results = [run_seed(machine, seed) for seed in seeds]
    violations = [result for result in results if result.violation]
    assert not violations, violations[0].violation
    assert sum(result.events for result in results) > len(seeds)


def send_without_deadline_check(ledger, key, now):
    record = ledger._in_flight.get(key)
    if record is None or record.state is not CallState.ACCEPTED:
        return False
    record.state = CallState.SENT
    return True


def refuse_without_closing(ledger, minted_at, now):
    return Reply(ResultCode.OVERLOADED)


def evict_ended_when_full(ledger):
    if len(ledger) >= ledger._max_records and ledger._ended:
        ledger._ended.popitem(last=False)
    return True


def drop_ended(ledger, now):
    ledger._ended.clear()


def send_each_copy(ledger, key, digest, minted_at, now, deadline):
    ledger._in_flight.pop(key, None)
    decision = ACCEPT(ledger, key, digest, minted_at, now, deadline)
    return decision if isinstance(decision, Reply) else Send()


def report_failed_as_not_run(ledger, key, now):
    if key not in ledger._in_flight:
        return ledger.read(key, now)
    return ledger._end(key, CallState.NOT_RUN, ResultCode.CALL_NOT_RUN, now)


ACCEPT = CallLedger.accept


@pytest.mark.parametrize(
    ("method", "fault"),
    [
        ("mark_sent", send_without_deadline_check),
        ("_refuse_when_full", refuse_without_closing),
        ("_has_room", evict_ended_when_full),
        ("_expire_records", drop_ended),
        ("accept", send_each_copy),
        ("record_failure", report_failed_as_not_run),
    ],
)
def test_ledger_without_a_safeguard_violates_a_guarantee(monkeypatch, method, fault):
    monkeypatch.setattr(CallLedger, method, fault)
    assert any(run_seed("calls", seed).violation for seed in SEEDS)


def apply_any_snapshot(history, state):
    history._entries.clear()
    history._sizes.clear()
    history.state = state
    return ApplyResult(Outcome.APPLIED)


def apply_entries_over_a_gap(history, entries):
    new = [entry for entry in entries if entry.sequence > history.sequence]
    if not new or history.state is None:
        return ApplyResult(Outcome.NOTHING_NEW)
    new.sort(key=lambda entry: entry.sequence)
    return history._apply(replace(history.state, sequence=new[0].sequence - 1), new)


@pytest.mark.parametrize(
    ("name", "fault"),
    [
        ("apply_snapshot", apply_any_snapshot),
        ("extend", apply_entries_over_a_gap),
        ("is_below_fencing_floor", property(lambda history: history.state is None)),
    ],
)
def test_history_without_a_safeguard_violates_a_guarantee(monkeypatch, name, fault):
    monkeypatch.setattr(ConfigurationHistory, name, fault)
    assert any(run_seed("configuration", seed).violation for seed in SEEDS)
