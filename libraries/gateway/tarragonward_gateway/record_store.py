"""Keep the newest record of each published item, as the source or a peer told it."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonward_core import invariants

from . import const as c
from .ports import Record

__all__ = ["RecordBatch", "RecordStore"]


@dataclass(frozen=True)
class RecordBatch:
    """Records of a book; where is_whole, an item that is not among them is gone."""

    records: tuple[Record, ...]
    complete: int
    is_whole: bool


class RecordStore:
    """Records by key; revisions only grow, so they may come in any order, from anyone.

    complete is the revision up to which no change is missing; changed is the greatest
    revision of a record held or of a whole reading, which peers need to have too.
    """

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._withdrawn: dict[str, int] = {}
        self._forgotten = 0
        self.complete = 0
        self.changed = 0

    def __len__(self) -> int:
        return len(self._records)

    def take(self, portion: RecordBatch, after: int) -> list[Record]:
        """Take in what changed after a revision; return what is new."""
        new = [record for record in portion.records if self._put(record)]
        if portion.is_whole:
            new += self._withdraw_absent(portion)
            # What came and went before this reading was never seen here, so a peer
            # that holds it must be given all, or it would keep it for good.
            self._forgotten = max(self._forgotten, portion.complete)
            # What was withdrawn before it was ever seen here leaves no record. Symptom:
            # a peer that still holds it takes this host's word for its own being whole.
            self.changed = max(self.changed, portion.complete)
        if portion.is_whole or after <= self.complete:
            self._raise_complete(portion.complete)
        return new

    def get_since(self, revision: int) -> RecordBatch:
        """Return what changed after a revision, all where that is not known."""
        is_whole = revision < self._forgotten
        least = 0 if is_whole else revision
        records = [r for r in self._records.values() if r.revision > least]
        if not is_whole:
            records += [
                Record(key, gone, None)
                for key, gone in self._withdrawn.items()
                if gone > revision
            ]
        return RecordBatch(tuple(records), self.complete, is_whole)

    def _put(self, record: Record) -> bool:
        known = self._records.get(record.key)
        if known is not None:
            revision = known.revision
        else:
            # Not all that was withdrawn is remembered. Symptom: a record on its way
            # since before the withdrawal brings the item back. All changes up to
            # complete are in, so what is not held then was withdrawn since.
            revision = max(self.complete, self._withdrawn.get(record.key, 0))
        if record.revision <= revision:
            return False
        if record.value is None:
            self._records.pop(record.key, None)
            self._remember_withdrawn(record)
        else:
            self._withdrawn.pop(record.key, None)
            self._records[record.key] = record
        self.changed = max(self.changed, record.revision)
        return True

    def _withdraw_absent(self, portion: RecordBatch) -> list[Record]:
        present = {record.key for record in portion.records}
        absent = [
            Record(known.key, portion.complete, None)
            for known in self._records.values()
            if known.key not in present and known.revision < portion.complete
        ]
        return [record for record in absent if self._put(record)]

    def _raise_complete(self, revision: int) -> None:
        before = self.complete
        self.complete = max(self.complete, revision)
        invariants.check(self.complete >= before, "revision_never_falls")

    def _remember_withdrawn(self, record: Record) -> None:
        self._withdrawn.pop(record.key, None)
        self._withdrawn[record.key] = record.revision
        while len(self._withdrawn) > c.MAX_WITHDRAWN_RECORDS:
            oldest = next(iter(self._withdrawn))
            self._forgotten = max(self._forgotten, self._withdrawn.pop(oldest))
