"""Keep a reading of all items by pages, which goes on where a failed call left it."""

from __future__ import annotations

from . import const as c
from .ports import Page, Record, Records

__all__ = ["PagedRead"]


class PagedRead:
    """The pages read so far; times in seconds.

    The source bounds the calls of all hosts together. Symptom of beginning anew after
    each refused call: hosts of a large fleet that start at once read first pages for
    seconds, and few come to their last. So what was read is kept. Pages are no
    snapshot: the reading counts as of its first page, and the watch from there tells
    what changed meanwhile; an old reading is begun anew, as the source's history ends.
    """

    def __init__(self) -> None:
        self._records: list[Record] = []
        self._revision = 0
        self._next_after = ""
        self._begun_at = float("-inf")

    def get_after_key(self, now: float) -> str:
        """Return the key after which the next page begins."""
        if now - self._begun_at > c.MAX_PAGED_READ_AGE_SECONDS:
            self.clear()
        return self._next_after

    def take(self, page: Page, asked_at: float) -> Records | None:
        """Take the page that was asked for; return all items once it was the last."""
        if not self._next_after:
            self._revision, self._begun_at = page.revision, asked_at
        self._records += page.records
        if page.next_after is not None:
            self._next_after = page.next_after
            return None
        read = Records(tuple(self._records), self._revision)
        self.clear()
        return read

    def compute_age(self, now: float) -> float:
        """Return how old what was read may be, from its first page on."""
        return now - self._begun_at

    def clear(self) -> None:
        """Begin anew."""
        self._records = []
        self._next_after = ""
