"""Decide what of the platform and the peers to put in force: never an older number."""

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
    Judgement,
    LogEntry,
    PatchRecord,
    compute_digest,
    judge_entry,
)

__all__ = [
    "ConfigurationHistory",
    "Outcome",
    "Taken",
    "decode_entries",
    "encode_entries",
    "parse_entry",
]


class Outcome(Enum):
    """What became of entries or of a snapshot that came in."""

    FORK = "fork"
    GAP = "gap"
    NOTHING_NEW = "nothing new"
    TAKEN = "taken"


@dataclass(frozen=True)
class Taken:
    """The outcome, and the judgements of the entries that were new."""

    outcome: Outcome
    judgements: tuple[Judgement, ...] = ()


class ConfigurationHistory:
    """The newest state known to one host, its last entries and their verdicts.

    The floor is the highest fencing number that an engine reported: a number that was
    in force somewhere. Below it this host knows that its own state is stale.
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
        """Return the last entry looked at, or -1 where there is no state yet."""
        return -1 if self.state is None else self.state.sequence

    @property
    def is_below_floor(self) -> bool:
        """Tell whether a higher number is known to have been in force."""
        return self.state is None or self.state.number < self.floor

    def raise_floor(self, number: int) -> None:
        """Note a fencing number that an engine reported."""
        self.floor = max(self.floor, number)

    def take_snapshot(self, state: ConfigurationState) -> Taken:
        """Take over a whole state where it is newer; its earlier entries are unknown.

        A stale replica, or a platform that came back with an older snapshot, shows an
        old state. Symptom: a patch that was in force is undone. The log only grows,
        so its length tells which is newer; refusing the shorter one is enough.
        """
        current = self.state
        if current is not None and state.sequence <= current.sequence:
            is_same = state.sequence < current.sequence or (
                compute_digest(state) == self.digest
            )
            return Taken(Outcome.NOTHING_NEW if is_same else Outcome.FORK)
        if current is not None and state.number < current.number:
            return Taken(Outcome.FORK)
        self._entries.clear()
        self._sizes.clear()
        self._put_in_force(state)
        return Taken(Outcome.TAKEN)

    def remember(self, entry: LogEntry) -> None:
        """Keep the entry at a snapshot's own sequence, to tell a forked log by."""
        if not self._entries and entry.sequence == self.sequence:
            self._append(entry)

    def extend(self, entries: Sequence[LogEntry]) -> Taken:
        """Take over the entries that are new, in the log's order.

        A log restored from an old backup grows past our number with other patches.
        Symptom: two hosts hold different documents under one number. Entries that are
        known already must be the same; one that is not makes all of them refused.
        """
        known = {entry.sequence: entry for entry in self._entries}
        ordered = sorted(entries, key=lambda entry: entry.sequence)
        if any(known.get(e.sequence, e) != e for e in ordered):
            return Taken(Outcome.FORK)
        new = [entry for entry in ordered if entry.sequence > self.sequence]
        if not new:
            return Taken(Outcome.NOTHING_NEW)
        state = self.state
        if state is None or new[0].sequence != state.sequence + 1:
            return Taken(Outcome.GAP)
        return self._apply(state, new)

    def get_entries_after(self, sequence: int) -> tuple[LogEntry, ...] | None:
        """Return all entries after a sequence, or None where some are not held."""
        if sequence >= self.sequence:
            return ()
        if not self._entries or self._entries[0].sequence > sequence + 1:
            return None
        return tuple(entry for entry in self._entries if entry.sequence > sequence)

    def get_last_entry(self) -> LogEntry | None:
        """Return the entry at this host's own sequence, where it is held."""
        return self._entries[-1] if self._entries else None

    def _apply(self, state: ConfigurationState, new: list[LogEntry]) -> Taken:
        judgements = []
        for entry in new:
            try:
                judgement = judge_entry(state, entry)
            except ConfigurationError:
                break
            state = judgement.state
            judgements.append(judgement)
            self._append(entry)
        # Records only: a judgement holds the whole state that it led to.
        self.verdicts.extend(judgement.build_record() for judgement in judgements)
        self._put_in_force(state)
        return Taken(Outcome.TAKEN, tuple(judgements))

    def _put_in_force(self, state: ConfigurationState) -> None:
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
            len(self._entries) > c.MAX_HELD_ENTRIES
            or sum(self._sizes) > c.MAX_HELD_ENTRY_BYTES
        ):
            self._entries.popleft()
            self._sizes.popleft()


def encode_entries(entries: Sequence[LogEntry]) -> bytes:
    """Return entries as the JSON that the platform publishes them in.

    msgpack between hosts gives lists back as tuples. Symptom: the schema refuses on
    one host what it accepts on another. The platform's own form is the same for all.
    """
    return orjson.dumps(
        [
            {"sequence": e.sequence, "base": e.base, "operations": list(e.operations)}
            for e in entries
        ]
    )


def decode_entries(data: bytes) -> list[LogEntry]:
    """Return entries from JSON; raise ConfigurationError where they are none."""
    try:
        return [parse_entry(item) for item in orjson.loads(data)]
    except (orjson.JSONDecodeError, KeyError, TypeError) as err:
        raise ConfigurationError(f"not entries of the log: {err!r}") from None


def parse_entry(item: dict) -> LogEntry:
    """Return an entry of the published log; raise ConfigurationError if it is none."""
    try:
        entry = LogEntry(item["sequence"], item["base"], tuple(item["operations"]))
    except (KeyError, TypeError) as err:
        raise ConfigurationError(f"not an entry of the log: {err!r}") from None
    if type(entry.sequence) is not int or type(entry.base) is not int:
        raise ConfigurationError("not an entry of the log: sequence or base")
    return entry
