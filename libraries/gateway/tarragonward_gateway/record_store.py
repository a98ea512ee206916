"""Store the newest record of each published item, from the source or from peers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tarragonward_core import invariants

from . import const as c
from .ports import Record

__all__ = ["RecordBatch", "RecordStore"]


@dataclass(frozen=True)
class RecordBatch:
    """Records of a store up to complete_revision.

    is_snapshot: the batch holds all items, and any item missing from it is withdrawn.
    """

    records: tuple[Record, ...]
    complete_revision: int
    is_snapshot: bool


class RecordStore:
    """Records by key.

    Revisions only grow, so records may be applied in any order and from any sender.
    complete_revision: no change up to this revision is missing. latest_revision: the
    greatest revision of any record applied, or of a snapshot; a peer whose
    complete_revision is lower lacks something.

    is_relevant tells whether a key means anything here. The source holds items of
    others, too, of any number and size; they are not stored.

    get_version returns the version of a record that is numbered by its writer, None for
    others. After the source came back from a copy, an older version may have a newer
    revision; it does not replace the newer version, and its absence withdraws nothing.
    """

    def __init__(
        self,
        get_version: Callable[[Record], int | None] = lambda record: None,
        is_relevant: Callable[[str], bool] = lambda key: True,
    ) -> None:
        self._get_version = get_version
        self.is_relevant = is_relevant
        self._records: dict[str, Record] = {}
        self._withdrawn: dict[str, int] = {}
        self._forgotten_revision = 0
        self.complete_revision = 0
        self.latest_revision = 0

    def __len__(self) -> int:
        return len(self._records)

    def apply(self, batch: RecordBatch, after: int) -> list[Record]:
        """Apply the changes after a revision; return the records that are new."""
        new = [record for record in batch.records if self._store(record)]
        if batch.is_snapshot:
            new += self._withdraw_absent(batch)
            # Items withdrawn before the snapshot may never have been seen here. A peer
            # that has one must be sent a snapshot too, or it would keep it for good.
            self._forgotten_revision = max(
                self._forgotten_revision, batch.complete_revision
            )
            # Such items leave no record here. Without this, a peer that still has one
            # would see no newer revision here and take its own data for confirmed.
            self.latest_revision = max(self.latest_revision, batch.complete_revision)
        if batch.is_snapshot or after <= self.complete_revision:
            self._raise_complete(batch.complete_revision)
        return new

    def get_since(self, revision: int) -> RecordBatch:
        """Return the changes after a revision, or a snapshot if they are not known."""
        is_snapshot = revision < self._forgotten_revision
        least = 0 if is_snapshot else revision
        records = [r for r in self._records.values() if r.revision > least]
        if not is_snapshot:
            records += [
                Record(key, gone, None)
                for key, gone in self._withdrawn.items()
                if gone > revision
            ]
        return RecordBatch(tuple(records), self.complete_revision, is_snapshot)

    def _store(self, record: Record) -> bool:
        if not self.is_relevant(record.key):
            return False
        known = self._records.get(record.key)
        if known is not None:
            revision = known.revision
        else:
            # Old withdrawals are forgotten, and a delayed record must not bring such an
            # item back. All changes up to complete_revision are applied, so an older
            # record of an item that is missing here precedes its withdrawal.
            revision = max(self.complete_revision, self._withdrawn.get(record.key, 0))
        order = self._compare_versions(record, known) if known is not None else 0
        if order < 0 or (record.revision <= revision and order == 0):
            return False
        if record.value is None:
            self._records.pop(record.key, None)
            self._remember_withdrawn(record)
        else:
            self._withdrawn.pop(record.key, None)
            self._records[record.key] = record
        self.latest_revision = max(self.latest_revision, record.revision)
        return True

    def _compare_versions(self, record: Record, known: Record) -> int:
        """Return 1 for a later version, -1 for an earlier one, and 0 otherwise."""
        version = self._get_version(record)
        known_version = self._get_version(known) if version is not None else None
        if version is None or known_version is None:
            return 0
        return (version > known_version) - (version < known_version)

    def _withdraw_absent(self, batch: RecordBatch) -> list[Record]:
        present = {record.key for record in batch.records}
        absent = [
            Record(known.key, batch.complete_revision, None)
            for known in self._records.values()
            if known.key not in present
            and known.revision < batch.complete_revision
            and self._get_version(known) is None
        ]
        return [record for record in absent if self._store(record)]

    def _raise_complete(self, revision: int) -> None:
        before = self.complete_revision
        self.complete_revision = max(self.complete_revision, revision)
        invariants.check(self.complete_revision >= before, "revision_never_falls")

    def _remember_withdrawn(self, record: Record) -> None:
        self._withdrawn.pop(record.key, None)
        self._withdrawn[record.key] = record.revision
        while len(self._withdrawn) > c.MAX_WITHDRAWN_RECORDS:
            oldest = next(iter(self._withdrawn))
            self._forgotten_revision = max(
                self._forgotten_revision, self._withdrawn.pop(oldest)
            )
