"""Apply configuration updates from the platform and peers, never an older one."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import orjson

from tarragonward_core import ConfigurationError, invariants

from . import const as c
from .patches import (
    ConfigurationState,
    LogEntry,
    PatchRecord,
    PatchResult,
    compute_digest,
    evaluate_entry,
)

__all__ = [
    "ConfigurationHistory",
    "Outcome",
    "ApplyResult",
    "decode_entries",
    "encode_entries",
    "parse_entry",
]


class Outcome(Enum):
    """The outcome of applying a snapshot or log entries."""

    FORK = "fork"
    GAP = "gap"
    NOTHING_NEW = "nothing new"
    APPLIED = "taken"


@dataclass(frozen=True)
class ApplyResult:
    """The outcome of an update, and the results of its new entries."""

    outcome: Outcome
    patch_results: tuple[PatchResult, ...] = ()


class ConfigurationHistory:
    """The newest configuration state of a host, recent log entries and verdicts.

    floor is the highest fencing number reported by an engine, and so a number that was
    in force on some host. If its own number is lower, this host's state is stale.
    """

    def __init__(self) -> None:
        self.state: ConfigurationState | None = None
        self.digest = b""
        self.floor = 0
        self.verdicts: deque[PatchRecord] = deque(maxlen=c.MAX_VERDICTS)
        self._entries: deque[LogEntry] = deque()
        self._sizes: deque[int] = deque()

    @property
    def sequence(self) -> int:
        """Return the sequence of the last processed entry, or -1 without a state."""
        return -1 if self.state is None else self.state.sequence

    @property
    def is_below_fencing_floor(self) -> bool:
        """Return whether a higher number is known to have been in force."""
        return self.state is None or self.state.number < self.floor

    def raise_fencing_floor(self, number: int) -> None:
        """Raise the floor to a fencing number reported by an engine."""
        self.floor = max(self.floor, number)

    def apply_snapshot(self, state: ConfigurationState) -> ApplyResult:
        """Apply a snapshot if it is newer; retained entries are discarded then.

        A stale replica, or a platform restored from an older snapshot, returns an old
        state, which would undo a patch that was in force. The log only grows, so a
        state with a lower sequence is older and is refused.
        """
        current = self.state
        if current is not None and state.sequence <= current.sequence:
            is_older_or_same = state.sequence < current.sequence or (
                compute_digest(state) == self.digest
            )
            return ApplyResult(
                Outcome.NOTHING_NEW if is_older_or_same else Outcome.FORK
            )
        if current is not None and state.number < current.number:
            return ApplyResult(Outcome.FORK)
        self._entries.clear()
        self._sizes.clear()
        self._activate(state)
        return ApplyResult(Outcome.APPLIED)

    def record_snapshot_entry(self, entry: LogEntry) -> None:
        """Retain the entry at a snapshot's sequence, to detect a forked log."""
        if not self._entries and entry.sequence == self.sequence:
            self._append(entry)

    def extend(self, entries: Sequence[LogEntry]) -> ApplyResult:
        """Apply the entries that are new, in the order of the log.

        A log restored from an old backup may grow past this host's sequence with other
        patches, and two hosts would have different documents under one number. If an
        entry differs from a retained one with its sequence, all entries are refused.
        """
        known = {entry.sequence: entry for entry in self._entries}
        ordered = sorted(entries, key=lambda entry: entry.sequence)
        if any(known.get(e.sequence, e) != e for e in ordered):
            return ApplyResult(Outcome.FORK)
        new = [entry for entry in ordered if entry.sequence > self.sequence]
        if not new:
            return ApplyResult(Outcome.NOTHING_NEW)
        state = self.state
        if state is None or new[0].sequence != state.sequence + 1:
            return ApplyResult(Outcome.GAP)
        return self._apply(state, new)

    def get_entries_after(self, sequence: int) -> tuple[LogEntry, ...] | None:
        """Return all entries after a sequence, or None if some are not retained."""
        if sequence >= self.sequence:
            return ()
        if not self._entries or self._entries[0].sequence > sequence + 1:
            return None
        return tuple(entry for entry in self._entries if entry.sequence > sequence)

    def get_last_entry(self) -> LogEntry | None:
        """Return the last retained entry, if any."""
        return self._entries[-1] if self._entries else None

    def _apply(self, state: ConfigurationState, new: list[LogEntry]) -> ApplyResult:
        patch_results = []
        for entry in new:
            try:
                patch_result = evaluate_entry(state, entry)
            except ConfigurationError:
                break
            state = patch_result.state
            patch_results.append(patch_result)
            self._append(entry)
        # Keep records only: an PatchResult references the whole state after the entry.
        self.verdicts.extend(
            patch_result.build_record() for patch_result in patch_results
        )
        self._activate(state)
        return ApplyResult(Outcome.APPLIED, tuple(patch_results))

    def _activate(self, state: ConfigurationState) -> None:
        invariants.check(
            self.state is None or state.number >= self.state.number,
            "number_in_force_never_falls",
            found=state.number,
        )
        if self.state is None or state.document is not self.state.document:
            self.digest = compute_digest(state)
        self.state = state

    def _append(self, entry: LogEntry) -> None:
        self._entries.append(entry)
        self._sizes.append(len(encode_entries([entry])))
        while len(self._entries) > 1 and (
            len(self._entries) > c.MAX_RETAINED_ENTRIES
            or sum(self._sizes) > c.MAX_RETAINED_ENTRY_BYTES
        ):
            self._entries.popleft()
            self._sizes.popleft()


def encode_entries(entries: Sequence[LogEntry]) -> bytes:
    """Encode entries as JSON, in the form that the platform publishes.

    msgpack between hosts decodes lists as tuples, so the schema would refuse on one
    host what it accepts on another. JSON gives the same result on all hosts.
    """
    return orjson.dumps(
        [
            {"sequence": e.sequence, "base": e.base, "operations": list(e.operations)}
            for e in entries
        ]
    )


def decode_entries(data: bytes) -> list[LogEntry]:
    """Decode entries from JSON; raise ConfigurationError if they are not valid."""
    try:
        return [parse_entry(item) for item in orjson.loads(data)]
    except (orjson.JSONDecodeError, KeyError, TypeError) as err:
        raise ConfigurationError(f"not entries of the log: {err!r}") from None


def parse_entry(item: dict) -> LogEntry:
    """Parse a published log entry; raise ConfigurationError if it is not valid."""
    try:
        entry = LogEntry(item["sequence"], item["base"], tuple(item["operations"]))
    except (KeyError, TypeError) as err:
        raise ConfigurationError(f"not an entry of the log: {err!r}") from None
    if type(entry.sequence) is not int or type(entry.base) is not int:
        raise ConfigurationError("not an entry of the log: sequence or base")
    return entry
