"""Decide which published patches are in force: a pure function of the log."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import jsonpatch

from tarragonward_core import ConfigurationError

from .document import Configuration, parse_configuration

__all__ = [
    "ConfigurationState",
    "LogEntry",
    "Verdict",
    "apply_entries",
    "apply_entry",
    "build_state",
]


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

    A patch written against another number than the one in force changes nothing.
    Raise ConfigurationError where the entry is not the next one in the log.
    """
    if entry.sequence != state.sequence + 1:
        raise ConfigurationError(
            f"log: found entry {entry.sequence}: expected {state.sequence + 1}"
        )
    if entry.base != state.number:
        return _skip(state, entry), Verdict.STALE
    try:
        document = jsonpatch.apply_patch(state.document, list(entry.operations))
        configuration = parse_configuration(document, f"patch {entry.sequence}")
    except (jsonpatch.JsonPatchException, ConfigurationError):
        return _skip(state, entry), Verdict.INVALID
    except (jsonpatch.JsonPointerException, TypeError, KeyError):
        return _skip(state, entry), Verdict.INVALID
    accepted = ConfigurationState(
        entry.sequence, entry.sequence, document, configuration
    )
    return accepted, Verdict.ACCEPTED


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


def _skip(state: ConfigurationState, entry: LogEntry) -> ConfigurationState:
    return ConfigurationState(
        entry.sequence, state.number, state.document, state.configuration
    )
