"""Tests of what a host takes over of the platform and its peers."""

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
    judge_entry,
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
    history.take_snapshot(build_state(0, 0, DOCUMENT))
    history.extend(LOG[:length])
    return history


def make_state(length):
    return apply_entries(build_state(0, 0, DOCUMENT), LOG[:length])


def test_an_older_snapshot_of_a_stale_replica_changes_nothing():
    history = make_history()
    assert history.take_snapshot(make_state(5)).outcome is Outcome.NOTHING_NEW
    assert history.state.number == 8


def test_a_log_restored_from_a_backup_and_grown_again_is_refused_as_a_fork():
    """The platform comes back with an old log, and operators publish others on top.

    Entries up to 9 arrive, 8 of them known here; 6 to 8 are other patches now. Taking
    9 would leave this host with another document than a new one, under one number.
    """
    history = make_history()
    forked = LOG[:5] + [set_weight(n, n - 1, 90) for n in range(6, 10)]
    assert history.extend(forked[7:]).outcome is Outcome.FORK
    assert history.state.document["client_accounts"]["shelfwise"]["weight"] == 9
    assert history.sequence == 8


def test_another_document_under_the_same_sequence_is_a_fork():
    history = make_history()
    other = apply_entries(make_state(7), [set_weight(8, 7, 90)])
    assert history.take_snapshot(other).outcome is Outcome.FORK


def test_a_longer_log_with_a_lower_number_is_never_put_in_force():
    history = make_history()
    lower = build_state(12, 3, DOCUMENT)
    assert history.take_snapshot(lower).outcome is Outcome.FORK
    assert history.state.number == 8


def test_a_gap_takes_nothing_and_a_replay_changes_nothing():
    history = make_history(5)
    assert history.extend(LOG[6:]).outcome is Outcome.GAP
    assert history.extend(LOG[:5]).outcome is Outcome.NOTHING_NEW
    assert history.extend(reversed(LOG)).outcome is Outcome.TAKEN
    assert history.state == make_state(8)


def test_a_stale_patch_is_kept_with_its_number_and_reason():
    history = make_history()
    history.extend([set_weight(9, 7, 50)])
    judgement = history.verdicts[-1]
    assert judgement.verdict is Verdict.STALE
    assert (judgement.sequence, judgement.base) == (9, 7)
    assert judgement.reason == "written against 7, but 8 was in force"
    assert (history.state.number, history.sequence) == (8, 9)


def test_a_fencing_number_above_ours_shows_that_we_are_stale():
    history = make_history(5)
    assert not history.is_below_floor
    history.raise_floor(7)
    assert history.is_below_floor
    history.extend(LOG[5:])
    assert not history.is_below_floor


def test_held_entries_are_bounded_and_what_is_gone_is_not_made_up():
    history = make_history(0)
    for n in range(1, c.MAX_HELD_ENTRIES + 50):
        history.extend([set_weight(n, n - 1, n)])
    assert len(history._entries) == c.MAX_HELD_ENTRIES
    assert history.get_entries_after(3) is None
    assert len(history.get_entries_after(history.sequence - 2)) == 2


def test_entries_come_back_from_a_peer_the_same():
    """A list in a patch must stay a list, or the schema refuses it on one host only."""
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
def test_no_patch_whatever_is_in_it_escapes_its_verdict(operations):
    """An operator's patch that raises in the library would stop every host's watch."""
    state = build_state(0, 0, DOCUMENT)
    judgement = judge_entry(state, LogEntry(1, 0, tuple(operations)))
    if judgement.verdict is not Verdict.ACCEPTED:
        assert judgement.state.document == DOCUMENT and judgement.reason


def test_states_no_longer_in_force_are_not_held():
    """A day of patches goes by; only the newest configuration may stay in memory.

    The verdicts that operators look at once held the whole state after each patch: 64
    documents of some megabytes at the size to design for, in a budget of 32 MB.
    """
    history = ConfigurationHistory()
    history.take_snapshot(build_state(0, 0, DOCUMENT))
    old = weakref.ref(history.state)
    history.extend([set_weight(n, n - 1, n) for n in range(1, 4)])
    middle = weakref.ref(history.state)
    history.extend([set_weight(4, 3, 4)])
    gc.collect()
    assert old() is None and middle() is None
    assert [record.sequence for record in history.verdicts] == [1, 2, 3, 4]


def test_applying_a_patch_leaves_its_entry_as_it_was_published():
    """A patch adds a model and then changes it, in one.

    The added value is the entry's own object; changed in place, the entry no longer
    equals the one that the platform shows, and a sound log is refused as forked.
    """
    operations = (
        {"op": "add", "path": "/models/m", "value": {"context_tokens": 1}},
        {"op": "replace", "path": "/models/m/context_tokens", "value": 2},
    )
    history = ConfigurationHistory()
    history.take_snapshot(build_state(0, 0, DOCUMENT))
    published = orjson.dumps(operations)
    history.extend([LogEntry(1, 0, operations)])
    assert orjson.dumps(operations) == published
    again = LogEntry(1, 0, tuple(orjson.loads(published)))
    assert history.extend([again]).outcome is Outcome.NOTHING_NEW
