"""Tests for configuration updates from the platform and from peers."""

import gc
import weakref

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonward_config import (
    ConfigurationHistory,
    LogEntry,
    Outcome,
    Verdict,
    apply_entries,
    build_state,
    decode_entries,
    encode_entries,
    evaluate_entry,
)
from tarragonward_config import const as c
from tarragonward_core import invariants

DOCUMENT = {
    "client_accounts": {"shelfwise": {"token_sha256": ["0" * 64], "weight": 1}},
    "models": {},
    "services": {},
    "targets": {},
}
PATH = "/client_accounts/shelfwise/weight"


@pytest.fixture(autouse=True)
def strict(monkeypatch):
    monkeypatch.setattr(invariants, "strict", True)


def set_weight(sequence, base, weight):
    operation = {"op": "replace", "path": PATH, "value": weight}
    return LogEntry(sequence, base, (operation,))


LOG = [set_weight(n, n - 1, n + 1) for n in range(1, 9)]


def make_history(length=8):
    history = ConfigurationHistory()
    history.apply_snapshot(build_state(0, 0, DOCUMENT))
    history.extend(LOG[:length])
    return history


def make_state(length):
    return apply_entries(build_state(0, 0, DOCUMENT), LOG[:length])


def test_an_older_snapshot_of_a_stale_replica_changes_nothing():
    history = make_history()
    assert history.apply_snapshot(make_state(5)).outcome is Outcome.NOTHING_NEW
    assert history.state.number == 8


def test_a_log_that_diverged_after_a_restore_is_refused_as_a_fork():
    """The platform is restored from a backup, and operators publish other patches.

    Entries up to 9 arrive. 8 are known here, but 6 to 8 differ. Applying entry 9 would
    leave this host with another document than a new host, under the same number.
    """
    history = make_history()
    forked = LOG[:5] + [set_weight(n, n - 1, 90) for n in range(6, 10)]
    assert history.extend(forked[7:]).outcome is Outcome.FORK
    assert history.state.document["client_accounts"]["shelfwise"]["weight"] == 9
    assert history.sequence == 8


def test_another_document_under_the_same_sequence_is_a_fork():
    history = make_history()
    other = apply_entries(make_state(7), [set_weight(8, 7, 90)])
    assert history.apply_snapshot(other).outcome is Outcome.FORK


def test_a_longer_log_with_a_lower_number_is_never_applied():
    history = make_history()
    lower = build_state(12, 3, DOCUMENT)
    assert history.apply_snapshot(lower).outcome is Outcome.FORK
    assert history.state.number == 8


def test_gaps_and_replays_change_nothing():
    history = make_history(5)
    assert history.extend(LOG[6:]).outcome is Outcome.GAP
    assert history.extend(LOG[:5]).outcome is Outcome.NOTHING_NEW
    assert history.extend(reversed(LOG)).outcome is Outcome.APPLIED
    assert history.state == make_state(8)


def test_a_stale_patch_is_recorded_with_its_base_and_reason():
    history = make_history()
    history.extend([set_weight(9, 7, 50)])
    patch_result = history.verdicts[-1]
    assert patch_result.verdict is Verdict.STALE
    assert (patch_result.sequence, patch_result.base) == (9, 7)
    assert patch_result.reason == "written against 7, but 8 was in force"
    assert (history.state.number, history.sequence) == (8, 9)


def test_a_higher_fencing_number_marks_the_state_as_stale():
    history = make_history(5)
    assert not history.is_below_fencing_floor
    history.raise_fencing_floor(7)
    assert history.is_below_fencing_floor
    history.extend(LOG[5:])
    assert not history.is_below_fencing_floor


def test_retained_entries_are_bounded_and_dropped_ones_are_not_returned():
    history = make_history(0)
    for n in range(1, c.MAX_RETAINED_ENTRIES + 50):
        history.extend([set_weight(n, n - 1, n)])
    assert len(history._entries) == c.MAX_RETAINED_ENTRIES
    assert history.get_entries_after(3) is None
    assert len(history.get_entries_after(history.sequence - 2)) == 2


def test_entries_round_trip():
    """A list decoded as a tuple would be refused by the schema on one host only."""
    operation = {"op": "add", "path": "/models/m", "value": {"adapters": ["a", "b"]}}
    entry = LogEntry(1, 0, (operation,))
    assert decode_entries(encode_entries([entry])) == [entry]


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["op", "path", "value", "from"]), inner)
    ),
    max_leaves=6,
)
PATHS = st.sampled_from(["", "/", PATH, "/models/x", "/targets/-", "/models/0/~2", "x"])
OPERATION = JSON | st.fixed_dictionaries(
    {
        "op": st.sampled_from(["add", "remove", "replace", "move", "copy", "test"]),
        "path": PATHS | JSON,
    },
    optional={"value": JSON, "from": PATHS},
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(OPERATION, max_size=3))
def test_any_patch_gets_a_verdict(operations):
    """An unexpected exception would stop the configuration watch of every host."""
    state = build_state(0, 0, DOCUMENT)
    patch_result = evaluate_entry(state, LogEntry(1, 0, tuple(operations)))
    if patch_result.verdict is not Verdict.ACCEPTED:
        assert patch_result.state.document == DOCUMENT and patch_result.reason


def test_replaced_states_are_not_referenced():
    """After many patches, only the newest configuration may stay in memory.

    Verdicts that reference the state after their patch would keep 64 documents of some
    megabytes each, at the size to design for, in a memory budget of 32 MB.
    """
    history = ConfigurationHistory()
    history.apply_snapshot(build_state(0, 0, DOCUMENT))
    old = weakref.ref(history.state)
    history.extend([set_weight(n, n - 1, n) for n in range(1, 4)])
    middle = weakref.ref(history.state)
    history.extend([set_weight(4, 3, 4)])
    gc.collect()
    assert old() is None and middle() is None
    assert [record.sequence for record in history.verdicts] == [1, 2, 3, 4]


def test_applying_a_patch_does_not_modify_its_entry():
    """A single patch adds a model and then changes it.

    The added value is an object of the entry. If it were modified in place, the entry
    would differ from the published one, and a valid log would be refused as forked.
    """
    operations = (
        {"op": "add", "path": "/models/m", "value": {"context_tokens": 1}},
        {"op": "replace", "path": "/models/m/context_tokens", "value": 2},
    )
    history = ConfigurationHistory()
    history.apply_snapshot(build_state(0, 0, DOCUMENT))
    published = orjson.dumps(operations)
    history.extend([LogEntry(1, 0, operations)])
    assert orjson.dumps(operations) == published
    again = LogEntry(1, 0, tuple(orjson.loads(published)))
    assert history.extend([again]).outcome is Outcome.NOTHING_NEW
