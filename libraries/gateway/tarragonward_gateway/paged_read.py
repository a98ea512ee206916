"""Collect the pages of a full read, which resumes after a failed call."""

from __future__ import annotations

from . import const as c
from .ports import Page, Record, Records
from .revisions import get_epoch

__all__ = ["PagedRead"]


class PagedRead:
    """The pages read so far; times in seconds.

    The source limits the call rate of all hosts together. If a refused call restarted
    the read, hosts of a large fleet that start together would read first pages for
    seconds and few would reach the last one. So the pages are kept. They are not a
    snapshot: the read counts as of its first page, and a watch from that revision
    returns the changes since. An old read is restarted, as the source keeps a limited
    history.
    """

    def __init__(self) -> None:
        self._records: list[Record] = []
        self._revision = 0
        self._next_after = ""
        self._begun_at = float("-inf")

    def get_after_key(self, now: float) -> str:
        """Return the key after which the next page starts, empty for the first page."""
        if now - self._begun_at > c.MAX_PAGED_READ_AGE_SECONDS:
            self.clear()
        return self._next_after

    def add_page(self, page: Page, asked_at: float) -> Records | None:
        """Add the requested page; return all items if it was the last one."""
        if not self._next_after:
            self._revision, self._begun_at = page.revision, asked_at
        elif get_epoch(page.revision) != get_epoch(self._revision):
            # Pages from before and after a restoration of the source do not match.
            self.clear()
            return None
        self._records += page.records
        if page.next_after is not None:
            self._next_after = page.next_after
            return None
        records = Records(tuple(self._records), self._revision)
        self.clear()
        return records

    def compute_age(self, now: float) -> float:
        """Return the age of the read, counted from its first page."""
        return now - self._begun_at

    def clear(self) -> None:
        """Discard the pages read so far."""
        self._records = []
        self._next_after = ""
