"""Records from the source and from peers, in any order, and never back."""

import random

import pytest

from tarragonward_core import invariants
from tarragonward_gateway import Record, const
from tarragonward_gateway.record_store import RecordBatch, RecordStore


@pytest.fixture(autouse=True)
def strict_invariants():
    invariants.strict = True
    yield
    invariants.strict = False


class Source:
    """Items under one growing revision; its history may be dropped."""

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
        """Two pages with changes between them: no snapshot."""
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


def fill(book, source, rng):
    after = book.complete
    portion = source.watch(after) if after and rng.random() < 0.8 else None
    if portion is None:
        portion = source.read_pages() if rng.random() < 0.5 else source.read_all()
    book.take(portion, after)


@pytest.mark.parametrize("seed", range(200))
def test_books_agree_with_the_source_after_any_order(seed, monkeypatch):
    """Hosts hear of changes late, twice, from each other and from pages.

    No revision of an item falls on any host, a book that is complete up to a
    revision holds just what stood there, and all agree in the end.
    """
    monkeypatch.setattr(const, "MAX_WITHDRAWN_RECORDS", 4)
    rng = random.Random(seed)
    source = Source(rng)
    books = [RecordStore() for _ in range(4)]
    seen = [{} for _ in books]
    late = []
    for _ in range(300):
        source.change()
        if rng.random() < 0.05:
            source.dropped = source.revision
        number = rng.randrange(4)
        book, other = books[number], books[rng.randrange(4)]
        act = rng.random()
        if act < 0.3:
            fill(book, source, rng)
        elif act < 0.6:
            late.append((number, book.complete, other.get_since(book.complete)))
        elif late:
            to, after, portion = late.pop(rng.randrange(len(late)))
            books[to].take(portion, after)
        for held, known in zip(books, seen, strict=True):
            for record in held.get_since(0).records:
                assert record.revision >= known.get(record.key, 0)
                known[record.key] = record.revision
    for book in books:
        after = book.complete
        book.take(source.watch(after) or source.read_all(), after)
        held = {r.key: r for r in book.get_since(0).records if r.value is not None}
        assert held == source.items


def test_a_peer_that_was_away_long_is_given_all(monkeypatch):
    """A withdrawal that nobody remembers is seen only by what a whole book lacks."""
    monkeypatch.setattr(const, "MAX_WITHDRAWN_RECORDS", 1)
    book, away = RecordStore(), RecordStore()
    first = tuple(Record(f"k{n}", n + 1, b"x") for n in range(3))
    for holder in (book, away):
        holder.take(RecordBatch(first, 3, True), 0)
    gone = (Record("k0", 4, None), Record("k1", 5, None))
    book.take(RecordBatch(gone, 5, False), 3)
    portion = book.get_since(away.complete)
    assert portion.is_whole
    away.take(portion, away.complete)
    assert [r.key for r in away.get_since(0).records if r.value] == ["k2"]


def test_a_withdrawal_heard_ahead_of_its_turn_holds():
    """A peer tells of a withdrawal before all changes up to it are known here.

    A record of before it, from another peer, comes later and must change nothing.
    """
    book = RecordStore()
    book.take(RecordBatch((), 3, True), 0)
    book.take(RecordBatch((Record("k", 9, None),), 9, False), 7)
    assert book.complete == 3
    book.take(RecordBatch((Record("k", 8, b"x"),), 8, False), 7)
    assert [r.key for r in book.get_since(0).records if r.value] == []


def test_a_peer_of_one_that_read_all_learns_that_it_lacks_a_withdrawal():
    """A target goes; a host that starts then reads all without ever seeing it.

    A peer that still holds the target compared the greatest revisions held, which
    were the same, and took the other's confirmed word for its own.
    """
    held, started = RecordStore(), RecordStore()
    held.take(RecordBatch((Record("t/a", 1, b""), Record("t/b", 2, b"")), 2, True), 0)
    started.take(RecordBatch((Record("t/b", 2, b""),), 3, True), 0)
    assert started.changed > held.complete
