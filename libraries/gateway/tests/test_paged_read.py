"""Tests that a paged read resumes after failures and restarts when it is old."""

from tarragonward_gateway import Page, Record, combine_revision
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
    """A refused call must not restart the read from its first page.

    When a large fleet starts, the source refuses most calls, and few hosts would ever
    reach the last page.
    """
    reading = PagedRead()
    reading.add_page(make_page("a", 5, "a"), 1.0)
    assert reading.get_after_key(1.0 + c.MAX_PAGED_READ_AGE_SECONDS) == "a"


def test_reading_that_grew_old_is_begun_anew():
    """Old pages must be discarded, as the source's history no longer covers them.

    A watch could not return the changes since the first page. The same holds after
    the source has reported that its history is lost.
    """
    reading = PagedRead()
    reading.add_page(make_page("a", 5, "a"), 1.0)
    assert reading.get_after_key(1.1 + c.MAX_PAGED_READ_AGE_SECONDS) == ""
    read = reading.add_page(make_page("b", 7), 20.0)
    assert [record.key for record in read.records] == ["b"]
    reading.add_page(make_page("a", 8, "a"), 21.0)
    reading.clear()
    assert reading.get_after_key(21.0) == ""


def test_pages_of_two_eras_make_no_read():
    """The source came back from a copy between two pages; nothing orders the two."""
    reading = PagedRead()
    reading.add_page(make_page("a", combine_revision(1, 9), "a"), 1.0)
    assert reading.add_page(make_page("b", combine_revision(2, 7)), 1.1) is None
    assert reading.get_after_key(1.2) == ""
