"""Tests that sharing unchanged entries gives the same result as a full copy."""

import copy

import jsonpatch
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonward_config import (
    LogEntry,
    Verdict,
    build_state,
    evaluate_entry,
    parse_configuration,
)
from tarragonward_config.patches import INVALID_PATCH_ERRORS, apply_operations
from tarragonward_core import ConfigurationError

ACCOUNT = {"token_sha256": ["0" * 64], "weight": 1}
DOCUMENT = {
    "client_accounts": {"a": ACCOUNT, "b": {**ACCOUNT, "priority": 2}},
    "models": {"m": {"context_tokens": 5}},
    "services": {},
    "targets": {},
}
NAMES = st.sampled_from(["a", "b", "c", "-", ""])
SECTIONS = st.sampled_from([*DOCUMENT, "nowhere"])
PATHS = st.one_of(
    st.builds(lambda s, n: f"/{s}/{n}", SECTIONS, NAMES),
    st.builds(lambda s, n: f"/{s}/{n}/weight", SECTIONS, NAMES),
    st.builds(lambda n: f"/client_accounts/{n}/token_sha256/0", NAMES),
    st.builds(lambda s: f"/{s}", SECTIONS),
)
VALUES = st.sampled_from([1, 2.5, -1, "0" * 64, {}, ACCOUNT, {"context_tokens": 7}])
OPERATIONS = st.lists(
    st.fixed_dictionaries(
        {
            "op": st.sampled_from(["add", "remove", "replace", "test", "move", "copy"]),
            "path": PATHS,
            "value": VALUES,
            "from": PATHS,
        }
    ),
    max_size=4,
)


def try_to(apply, *arguments):
    try:
        return apply(*arguments)
    except INVALID_PATCH_ERRORS:
        return None


@settings(max_examples=600, deadline=None, derandomize=True)
@given(OPERATIONS)
def test_patched_document_equals_full_copy_and_original_is_unchanged(operations):
    """A host that applied a patch and one that read a snapshot must have equal data.

    Entries that a patch does not name are shared with the previous document. If one
    were modified in place, the older state and verdicts based on it would change.
    """
    # Decoded from JSON as from the platform, so that no objects are shared.
    old, own = (orjson.loads(orjson.dumps(data)) for data in (DOCUMENT, operations))
    expected = try_to(jsonpatch.apply_patch, old, copy.deepcopy(own))
    assert try_to(apply_operations, old, own) == expected
    assert (old, own) == (DOCUMENT, operations)
    state = build_state(0, 0, old)
    patch_result = evaluate_entry(state, LogEntry(1, 0, tuple(own)))
    if patch_result.verdict is Verdict.ACCEPTED:
        whole = parse_configuration(copy.deepcopy(patch_result.state.document))
        assert patch_result.state.configuration == whole
    else:
        with pytest.raises(ConfigurationError):
            parse_configuration(expected)


def test_entries_that_a_patch_does_not_name_are_reused():
    state = build_state(0, 0, copy.deepcopy(DOCUMENT))
    operation = {"op": "replace", "path": "/client_accounts/a/weight", "value": 9}
    after = evaluate_entry(state, LogEntry(1, 0, (operation,))).state
    before, now = state.configuration, after.configuration
    assert now.client_accounts["b"] is before.client_accounts["b"]
    assert (before.client_accounts["a"].weight, now.client_accounts["a"].weight) == (
        1,
        9,
    )
