"""Tests that records from any sender and in any order never go back."""

import random

import pytest

from tarragonward_core import invariants
from tarragonward_gateway import Record, combine_revision, const
from tarragonward_gateway.record_store import RecordBatch, RecordStore


@pytest.fixture(autouse=True)
def strict_invariants():
    invariants.strict = True
    yield
    invariants.strict = False


class Source:
    """A source with one growing revision, whose history may be dropped."""

    def __init__(self, rng):
        self._random = rng
        self.revision = 0
        self.items = {}
        self.log = []
        self.dropped = 0

    def change(self):
        self.revision += 1
        key = f"k{self._random.randrange(12)}"
        if key in self.items and self._random.random() < 0.4:
            del self.items[key]
            self.log.append(Record(key, self.revision, None))
        else:
            self.items[key] = Record(key, self.revision, b"%d" % self.revision)
            self.log.append(self.items[key])

    def read_all(self):
        return RecordBatch(tuple(self.items.values()), self.revision, True)

    def read_pages(self):
        """Return two pages with changes between them, so not a snapshot."""
        first, revision = self.read_all(), self.revision
        half = sorted(first.records, key=lambda r: r.key)[:6]
        last = half[-1].key if half else ""
        for _ in range(self._random.randrange(3)):
            self.change()
        rest = [r for r in self.items.values() if r.key > last]
        return RecordBatch((*half, *rest), revision, True)

    def watch(self, after):
        if after < self.dropped:
            return None
        events = tuple(r for r in self.log if r.revision > after)
        return RecordBatch(events, self.revision, False)


def fill(record_store, source, rng):
    after = record_store.complete_revision
    batch = source.watch(after) if after and rng.random() < 0.8 else None
    if batch is None:
        batch = source.read_pages() if rng.random() < 0.5 else source.read_all()
    record_store.apply(batch, after)


@pytest.mark.parametrize("seed", range(200))
def test_stores_agree_with_the_source_after_any_order(seed, monkeypatch):
    """Hosts receive changes late, twice, from each other and from pages.

    The revision of an item never decreases on any host, and in the end each store
    contains exactly the items of the source.
    """
    monkeypatch.setattr(const, "MAX_WITHDRAWN_RECORDS", 4)
    rng = random.Random(seed)
    source = Source(rng)
    record_stores = [RecordStore() for _ in range(4)]
    seen = [{} for _ in record_stores]
    late = []
    for _ in range(300):
        source.change()
        if rng.random() < 0.05:
            source.dropped = source.revision
        number = rng.randrange(4)
        record_store, other = record_stores[number], record_stores[rng.randrange(4)]
        act = rng.random()
        if act < 0.3:
            fill(record_store, source, rng)
        elif act < 0.6:
            late.append(
                (
                    number,
                    record_store.complete_revision,
                    other.get_since(record_store.complete_revision),
                )
            )
        elif late:
            to, after, batch = late.pop(rng.randrange(len(late)))
            record_stores[to].apply(batch, after)
        for held, known in zip(record_stores, seen, strict=True):
            for record in held.get_since(0).records:
                assert record.revision >= known.get(record.key, 0)
                known[record.key] = record.revision
    for record_store in record_stores:
        after = record_store.complete_revision
        record_store.apply(source.watch(after) or source.read_all(), after)
        held = {
            r.key: r for r in record_store.get_since(0).records if r.value is not None
        }
        assert held == source.items


def test_peer_that_was_away_for_long_receives_a_snapshot(monkeypatch):
    """A forgotten withdrawal shows only by the item's absence from a snapshot."""
    monkeypatch.setattr(const, "MAX_WITHDRAWN_RECORDS", 1)
    record_store, away = RecordStore(), RecordStore()
    first = tuple(Record(f"k{n}", n + 1, b"x") for n in range(3))
    for holder in (record_store, away):
        holder.apply(RecordBatch(first, 3, True), 0)
    gone = (Record("k0", 4, None), Record("k1", 5, None))
    record_store.apply(RecordBatch(gone, 5, False), 3)
    batch = record_store.get_since(away.complete_revision)
    assert batch.is_snapshot
    away.apply(batch, away.complete_revision)
    assert [r.key for r in away.get_since(0).records if r.value] == ["k2"]


def test_older_record_does_not_undo_a_withdrawal():
    """A withdrawal from one peer arrives before an older record from another peer.

    The older record must not bring the item back.
    """
    record_store = RecordStore()
    record_store.apply(RecordBatch((), 3, True), 0)
    record_store.apply(RecordBatch((Record("k", 9, None),), 9, False), 7)
    assert record_store.complete_revision == 3
    record_store.apply(RecordBatch((Record("k", 8, b"x"),), 8, False), 7)
    assert [r.key for r in record_store.get_since(0).records if r.value] == []


def test_snapshot_shows_a_peer_that_it_lacks_a_withdrawal():
    """A host that starts after a withdrawal reads a snapshot without the target.

    A peer that still has the target compared the greatest revisions of the records,
    which were equal, and took its own data for confirmed.
    """
    held, started = RecordStore(), RecordStore()
    held.apply(RecordBatch((Record("t/a", 1, b""), Record("t/b", 2, b"")), 2, True), 0)
    started.apply(RecordBatch((Record("t/b", 2, b""),), 3, True), 0)
    assert started.latest_revision > held.complete_revision


def get_version(record):
    is_table = record.key == "table" and record.value is not None
    return int(record.value) if is_table else None


def build_restored_store():
    """Return a store that holds table 27, and the copy that holds table 25."""
    record_store = RecordStore(get_version)
    table = Record("table", combine_revision(1, 30), b"27")
    before = RecordBatch((table,), combine_revision(1, 30), True)
    record_store.apply(before, 0)
    older = Record("table", combine_revision(2, 28), b"25")
    return record_store, RecordBatch((older,), combine_revision(2, 28), True)


def test_copy_of_the_source_does_not_bring_an_older_table_back():
    """A host that starts now would get the older one from its peers."""
    record_store, copy = build_restored_store()
    assert record_store.apply(copy, 0) == []
    assert [r.value for r in record_store.get_since(0).records] == [b"27"]
    written = Record("table", combine_revision(2, 29), b"29")
    batch = RecordBatch((written,), combine_revision(2, 29), False)
    assert record_store.apply(batch, combine_revision(2, 28)) == [written]


def test_copy_without_a_table_withdraws_none():
    record_store, copy = build_restored_store()
    record_store.apply(RecordBatch((), copy.complete_revision, True), 0)
    assert [r.value for r in record_store.get_since(0).records] == [b"27"]


def test_later_table_of_a_peer_replaces_that_of_the_copy():
    """This host started after the restoration, and its table has a newer revision."""
    record_store, copy = build_restored_store()
    started = RecordStore(get_version)
    started.apply(copy, 0)
    batch = record_store.get_since(0)
    assert [record.value for record in started.apply(batch, 0)] == [b"27"]


def test_changes_of_a_new_era_are_new_whatever_their_numbers():
    record_store = RecordStore()
    old = Record("a", combine_revision(1, 30), b"x")
    record_store.apply(RecordBatch((old,), combine_revision(1, 30), True), 0)
    new = Record("a", combine_revision(2, 12), b"y")
    batch = RecordBatch((new,), combine_revision(2, 12), True)
    assert record_store.apply(batch, 0) == [new]
    assert record_store.apply(RecordBatch((old,), old.revision, False), 0) == []
