"""Tests for the verdicts on published patches."""

import pytest

from tarragonward_config import (
    LogEntry,
    Verdict,
    apply_entries,
    apply_entry,
    build_state,
)
from tarragonward_core import ConfigurationError

DOCUMENT = {
    "client_accounts": {"shelfwise": {"token_sha256": ["0" * 64], "weight": 1}},
    "models": {},
    "services": {},
    "targets": {},
}


def set_weight(sequence, base, weight):
    operation = {
        "op": "replace",
        "path": "/client_accounts/shelfwise/weight",
        "value": weight,
    }
    return LogEntry(sequence, base, (operation,))


def test_the_second_of_two_patches_against_the_same_number_is_stale():
    """Two operators read number 0 and both publish a patch.

    The log orders the patches: the first becomes number 1, and the second is stale, as
    it was written against number 0. Patches are never merged.
    """
    state = build_state(0, 0, DOCUMENT)
    state, first = apply_entry(state, set_weight(1, 0, 5))
    state, second = apply_entry(state, set_weight(2, 0, 9))
    assert (first, second) == (Verdict.ACCEPTED, Verdict.STALE)
    assert state.configuration.client_accounts["shelfwise"].weight == 5
    assert (state.number, state.sequence) == (1, 2)


def test_an_invalid_patch_changes_nothing():
    state = build_state(0, 0, DOCUMENT)
    after, verdict = apply_entry(state, set_weight(1, 0, -1))
    assert verdict is Verdict.INVALID
    assert after.document == DOCUMENT


def test_replayed_entries_change_nothing_and_a_gap_is_refused():
    state = build_state(0, 0, DOCUMENT)
    entries = [set_weight(1, 0, 5), set_weight(2, 1, 6)]
    state = apply_entries(state, entries)
    assert apply_entries(state, entries) == state
    with pytest.raises(ConfigurationError):
        apply_entries(state, [set_weight(4, 2, 7)])
