"""Check that a reading by pages goes on where it was, and what it then counts as."""

from tarragonward_gateway import Page, Record
from tarragonward_gateway import const as c
from tarragonward_gateway.paged_read import PagedRead


def make_page(key, revision, next_after=None):
    return Page((Record(key, revision, b"x"),), revision, next_after)


def test_reading_counts_as_of_its_first_page():
    reading = PagedRead()
    assert reading.get_after_key(1.0) == ""
    assert reading.add_page(make_page("a", 5, "a"), 1.0) is None
    assert reading.get_after_key(1.5) == "a"
    read = reading.add_page(make_page("b", 9), 1.5)
    assert [record.key for record in read.records] == ["a", "b"]
    assert read.revision == 5
    assert reading.compute_age(2.0) == 1.0


def test_reading_goes_on_after_a_refused_call():
    """A large fleet starts at once, and the source refuses most of its calls.

    A host that has read one page is refused the second, asks again, and must get
    the second, not the first: else few hosts ever come to the last.
    """
    reading = PagedRead()
    reading.add_page(make_page("a", 5, "a"), 1.0)
    assert reading.get_after_key(1.0 + c.MAX_PAGED_READ_AGE_SECONDS) == "a"


def test_reading_that_grew_old_is_begun_anew():
    """The source's history ends before the watch would begin.

    What changed after the first page could no longer be told, so pages of then are
    worth nothing; nor are they after the source said that its history is gone.
    """
    reading = PagedRead()
    reading.add_page(make_page("a", 5, "a"), 1.0)
    assert reading.get_after_key(1.1 + c.MAX_PAGED_READ_AGE_SECONDS) == ""
    read = reading.add_page(make_page("b", 7), 20.0)
    assert [record.key for record in read.records] == ["b"]
    reading.add_page(make_page("a", 8, "a"), 21.0)
    reading.clear()
    assert reading.get_after_key(21.0) == ""
