"""Fixed seeds of the randomised machines, and proof that they see faults."""

from dataclasses import replace

import pytest

from tarragonward_bench.soak import MACHINES, run_seed
from tarragonward_config import ApplyResult, ConfigurationHistory, Outcome
from tarragonward_core import ResultCode
from tarragonward_requests import CallLedger, Reply, Send
from tarragonward_requests.ledger import CallState

SEEDS = range(1, 201)
# A case a range, so that the workers share a machine's seeds and no case comes near the
# time limit of a test.
SEEDS_A_CASE = 10


@pytest.mark.parametrize("first", SEEDS[::SEEDS_A_CASE])
@pytest.mark.parametrize("machine", sorted(MACHINES))
def test_no_seed_breaks_a_promise(machine, first):
    seeds = range(first, first + SEEDS_A_CASE)
    results = [run_seed(machine, seed) for seed in seeds]
    broken = [result for result in results if result.violation]
    assert not broken, broken[0].violation
    assert sum(result.events for result in results) > len(seeds)


def send_without_looking_at_the_time(ledger, key, now):
    record = ledger._in_flight.get(key)
    if record is None or record.state is not CallState.ACCEPTED:
        return False
    record.state = CallState.SENT
    return True


def refuse_and_leave_open(ledger, minted_at, now):
    return Reply(ResultCode.OVERLOADED)


def make_room_by_forgetting(ledger):
    if len(ledger) >= ledger._max_records and ledger._ended:
        ledger._ended.popitem(last=False)
    return True


def forget_when_ended(ledger, now):
    ledger._ended.clear()


def send_each_copy(ledger, key, digest, minted_at, now, deadline):
    ledger._in_flight.pop(key, None)
    decision = ACCEPT(ledger, key, digest, minted_at, now, deadline)
    return decision if isinstance(decision, Reply) else Send()


def say_not_run_of_what_broke_off(ledger, key, now):
    if key not in ledger._in_flight:
        return ledger.read(key, now)
    return ledger._end(key, CallState.NOT_RUN, ResultCode.CALL_NOT_RUN, now)


ACCEPT = CallLedger.accept


@pytest.mark.parametrize(
    ("method", "fault"),
    [
        ("mark_sent", send_without_looking_at_the_time),
        ("_refuse_when_full", refuse_and_leave_open),
        ("_has_room", make_room_by_forgetting),
        ("_expire_records", forget_when_ended),
        ("accept", send_each_copy),
        ("record_failure", say_not_run_of_what_broke_off),
    ],
)
def test_a_ledger_without_a_safeguard_is_found_out(monkeypatch, method, fault):
    monkeypatch.setattr(CallLedger, method, fault)
    assert any(run_seed("calls", seed).violation for seed in SEEDS)


def take_any_snapshot(history, state):
    history._entries.clear()
    history._sizes.clear()
    history.state = state
    return ApplyResult(Outcome.APPLIED)


def take_entries_over_a_gap(history, entries):
    new = [entry for entry in entries if entry.sequence > history.sequence]
    if not new or history.state is None:
        return ApplyResult(Outcome.NOTHING_NEW)
    new.sort(key=lambda entry: entry.sequence)
    return history._apply(replace(history.state, sequence=new[0].sequence - 1), new)


@pytest.mark.parametrize(
    ("name", "fault"),
    [
        ("apply_snapshot", take_any_snapshot),
        ("extend", take_entries_over_a_gap),
        ("is_below_fencing_floor", property(lambda history: history.state is None)),
    ],
)
def test_a_history_without_a_safeguard_is_found_out(monkeypatch, name, fault):
    monkeypatch.setattr(ConfigurationHistory, name, fault)
    assert any(run_seed("configuration", seed).violation for seed in SEEDS)
