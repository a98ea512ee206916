"""Apply published patches; the result is a pure function of the log."""

from __future__ import annotations

import copy
import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import jsonpatch
import orjson

from tarragonward_core import ConfigurationError

from .document import Configuration, parse_configuration

__all__ = [
    "ConfigurationState",
    "PatchResult",
    "LogEntry",
    "PatchRecord",
    "Verdict",
    "apply_entries",
    "apply_entry",
    "build_state",
    "compute_digest",
    "evaluate_entry",
]

DIGEST_BYTES = 16
MAX_REASON_CHARACTERS = 200
IN_PLACE_OPERATIONS = frozenset({"add", "remove", "replace", "test"})
# All exceptions that arbitrary operations may raise in jsonpatch.
INVALID_PATCH_ERRORS = (
    jsonpatch.JsonPatchException,
    jsonpatch.JsonPointerException,
    ConfigurationError,
    AttributeError,
    IndexError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


class Verdict(Enum):
    """The verdict on a patch."""

    ACCEPTED = "accepted"
    STALE = "stale"
    INVALID = "invalid"


@dataclass(frozen=True)
class LogEntry:
    """A published patch: its log sequence and the number it was written against.

    operations are JSON Patch operations (RFC 6902).
    """

    sequence: int
    base: int
    operations: tuple[dict[str, Any], ...]


@dataclass(frozen=True)
class ConfigurationState:
    """The configuration after a prefix of the log.

    sequence is that of the last processed entry; number is the sequence of the last
    accepted entry. It identifies the configuration in force and is the fencing number.
    """

    sequence: int
    number: int
    document: dict[str, Any] = field(repr=False)
    configuration: Configuration = field(repr=False, compare=False)


@dataclass(frozen=True)
class PatchResult:
    """The result of an entry: the state after it, the verdict and its reason."""

    state: ConfigurationState
    entry: LogEntry
    verdict: Verdict
    reason: str = ""

    def build_record(self) -> PatchRecord:
        """Return a record for operators, which does not reference the state."""
        entry = self.entry
        return PatchRecord(entry.sequence, entry.base, self.verdict, self.reason)


@dataclass(frozen=True)
class PatchRecord:
    """A patch's sequence, base number and verdict, for operators."""

    sequence: int
    base: int
    verdict: Verdict
    reason: str


def build_state(sequence: int, number: int, document: Any) -> ConfigurationState:
    """Return the state of a snapshot; raise ConfigurationError if it is invalid."""
    if not 0 <= number <= sequence:
        raise ConfigurationError(f"snapshot: number {number} at sequence {sequence}")
    return ConfigurationState(
        sequence, number, document, parse_configuration(document, "snapshot")
    )


def apply_entry(
    state: ConfigurationState, entry: LogEntry
) -> tuple[ConfigurationState, Verdict]:
    """Return the state after the next entry, and the verdict on it.

    Raise ConfigurationError if the entry is not the next one in the log.
    """
    patch_result = evaluate_entry(state, entry)
    return patch_result.state, patch_result.verdict


def evaluate_entry(state: ConfigurationState, entry: LogEntry) -> PatchResult:
    """Evaluate the next log entry: a pure function, so that all hosts agree.

    A patch written against another number than the current one changes nothing.
    Raise ConfigurationError if the entry is not the next one in the log.
    """
    if entry.sequence != state.sequence + 1:
        raise ConfigurationError(
            f"log: found entry {entry.sequence}: expected {state.sequence + 1}"
        )
    if entry.base != state.number:
        reason = f"written against {entry.base}, but {state.number} was in force"
        return PatchResult(
            _build_rejected_state(state, entry), entry, Verdict.STALE, reason
        )
    try:
        document = apply_operations(state.document, entry.operations)
        configuration = parse_configuration(
            document, f"patch {entry.sequence}", (state.document, state.configuration)
        )
    except INVALID_PATCH_ERRORS as err:
        reason = f"{type(err).__name__}: {err}"[:MAX_REASON_CHARACTERS]
        return PatchResult(
            _build_rejected_state(state, entry), entry, Verdict.INVALID, reason
        )
    accepted = ConfigurationState(
        entry.sequence, entry.sequence, document, configuration
    )
    return PatchResult(accepted, entry, Verdict.ACCEPTED)


def apply_operations(
    document: dict[str, Any], operations: Sequence[dict[str, Any]]
) -> dict[str, Any]:
    """Return the patched document, which shares unchanged entries with the original.

    Copying the whole document for each patch would double its memory and block the
    event loop, and so all streams of the host. Only the entries that the operations
    name are copied. Move and copy operations, and those on a whole section, fall back
    to a full copy.
    """
    pointers = [jsonpatch.JsonPointer(op["path"]).parts for op in operations]
    is_plain = all(op["op"] in IN_PLACE_OPERATIONS for op in operations)
    if not is_plain or any(len(parts) < 2 for parts in pointers):
        return jsonpatch.apply_patch(document, list(operations))
    copied = dict(document)
    for section, name, *_ in pointers:
        entries = copied.get(section)
        if not isinstance(entries, dict):
            return jsonpatch.apply_patch(document, list(operations))
        if entries is document[section]:
            entries = copied[section] = dict(entries)
        if name in entries and entries[name] is document[section].get(name):
            entries[name] = copy.deepcopy(entries[name])
    # Later operations may modify values that earlier ones added, so those are copied.
    own = copy.deepcopy(list(operations))
    return jsonpatch.apply_patch(copied, own, in_place=True)


def apply_entries(
    state: ConfigurationState, entries: Iterable[LogEntry]
) -> ConfigurationState:
    """Return the state after applying the new entries in the order of the log.

    Entries already processed are skipped, so replays and overlaps change nothing.
    Raise ConfigurationError at a gap.
    """
    for entry in sorted(entries, key=lambda item: item.sequence):
        if entry.sequence > state.sequence:
            state, _ = apply_entry(state, entry)
    return state


def compute_digest(state: ConfigurationState) -> bytes:
    """Return a digest of the document, to detect a fork at the same sequence."""
    text = orjson.dumps(state.document, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(text).digest()[:DIGEST_BYTES]


def _build_rejected_state(
    state: ConfigurationState, entry: LogEntry
) -> ConfigurationState:
    return ConfigurationState(
        entry.sequence, state.number, state.document, state.configuration
    )
