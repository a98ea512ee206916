"""Decide which published patches are in force: a pure function of the log."""

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
    "Judgement",
    "LogEntry",
    "PatchRecord",
    "Verdict",
    "apply_entries",
    "apply_entry",
    "build_state",
    "compute_digest",
    "judge_entry",
]

DIGEST_BYTES = 16
MAX_REASON_CHARACTERS = 200
# What an operator's operations may raise in the library, whatever is in them.
PLAIN_OPERATIONS = frozenset({"add", "remove", "replace", "test"})
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
    """What became of a patch."""

    ACCEPTED = "accepted"
    STALE = "stale"
    INVALID = "invalid"


@dataclass(frozen=True)
class LogEntry:
    """A published patch: its place in the log and the number it was written against.

    operations are those of RFC 6902 (JSON Patch).
    """

    sequence: int
    base: int
    operations: tuple[dict[str, Any], ...]


@dataclass(frozen=True)
class ConfigurationState:
    """The configuration after a part of the log.

    sequence is the last entry looked at; number is the last entry accepted, which is
    the number in force and the fencing number.
    """

    sequence: int
    number: int
    document: dict[str, Any] = field(repr=False)
    configuration: Configuration = field(repr=False, compare=False)


@dataclass(frozen=True)
class Judgement:
    """What became of one entry: the state after it, and why it was refused if so."""

    state: ConfigurationState
    entry: LogEntry
    verdict: Verdict
    reason: str = ""

    def build_record(self) -> PatchRecord:
        """Return what operators look at later; it holds no state."""
        entry = self.entry
        return PatchRecord(entry.sequence, entry.base, self.verdict, self.reason)


@dataclass(frozen=True)
class PatchRecord:
    """A patch's place, the number it was written against, and what became of it."""

    sequence: int
    base: int
    verdict: Verdict
    reason: str


def build_state(sequence: int, number: int, document: Any) -> ConfigurationState:
    """Return the state that a snapshot holds; raise ConfigurationError if invalid."""
    if not 0 <= number <= sequence:
        raise ConfigurationError(f"snapshot: number {number} at sequence {sequence}")
    return ConfigurationState(
        sequence, number, document, parse_configuration(document, "snapshot")
    )


def apply_entry(
    state: ConfigurationState, entry: LogEntry
) -> tuple[ConfigurationState, Verdict]:
    """Return the state after one more entry, and what became of the entry.

    Raise ConfigurationError where the entry is not the next one in the log.
    """
    judgement = judge_entry(state, entry)
    return judgement.state, judgement.verdict


def judge_entry(state: ConfigurationState, entry: LogEntry) -> Judgement:
    """Judge the log's next entry: a pure function, so that all hosts agree.

    A patch written against another number than the one in force changes nothing.
    Raise ConfigurationError where the entry is not the next one in the log.
    """
    if entry.sequence != state.sequence + 1:
        raise ConfigurationError(
            f"log: found entry {entry.sequence}: expected {state.sequence + 1}"
        )
    if entry.base != state.number:
        reason = f"written against {entry.base}, but {state.number} was in force"
        return Judgement(_skip(state, entry), entry, Verdict.STALE, reason)
    try:
        document = apply_operations(state.document, entry.operations)
        configuration = parse_configuration(
            document, f"patch {entry.sequence}", (state.document, state.configuration)
        )
    except INVALID_PATCH_ERRORS as err:
        reason = f"{type(err).__name__}: {err}"[:MAX_REASON_CHARACTERS]
        return Judgement(_skip(state, entry), entry, Verdict.INVALID, reason)
    accepted = ConfigurationState(
        entry.sequence, entry.sequence, document, configuration
    )
    return Judgement(accepted, entry, Verdict.ACCEPTED)


def apply_operations(
    document: dict[str, Any], operations: Sequence[dict[str, Any]]
) -> dict[str, Any]:
    """Return the document after operations; it shares what they do not name.

    A copy of the whole document for each patch doubles its memory and holds up every
    stream of the host. Only the entries that are named are copied, where that is sure:
    operations that move or copy, or that name a whole section, copy all.
    """
    pointers = [jsonpatch.JsonPointer(op["path"]).parts for op in operations]
    is_plain = all(op["op"] in PLAIN_OPERATIONS for op in operations)
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
    # Values that an operation adds are changed by later ones; the entry must not be.
    own = copy.deepcopy(list(operations))
    return jsonpatch.apply_patch(copied, own, in_place=True)


def apply_entries(
    state: ConfigurationState, entries: Iterable[LogEntry]
) -> ConfigurationState:
    """Return the state after the entries that are new to it, in the log's order.

    Entries already looked at are left out, so replays and overlaps change nothing.
    Raise ConfigurationError at a gap.
    """
    for entry in sorted(entries, key=lambda item: item.sequence):
        if entry.sequence > state.sequence:
            state, _ = apply_entry(state, entry)
    return state


def compute_digest(state: ConfigurationState) -> bytes:
    """Return what tells this state's document from another one at its sequence."""
    text = orjson.dumps(state.document, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(text).digest()[:DIGEST_BYTES]


def _skip(state: ConfigurationState, entry: LogEntry) -> ConfigurationState:
    return ConfigurationState(
        entry.sequence, state.number, state.document, state.configuration
    )
