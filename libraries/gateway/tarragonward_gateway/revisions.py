"""Order the changes of a source that may come back from an older copy.

Such a source gives the revision numbers of lost changes out again. It counts its eras,
and the changes of a later era are newer whatever their numbers are. A revision holds
the era in its upper bits, so that all revisions compare as integers.
"""

from __future__ import annotations

__all__ = ["combine_revision", "format_revision", "get_era", "get_number"]

NUMBER_BITS = 40
NUMBER_MASK = (1 << NUMBER_BITS) - 1


def combine_revision(era: int, number: int) -> int:
    """Return the revision of a change, by the era and the number that it has there."""
    if era < 0 or not 0 <= number <= NUMBER_MASK:
        raise ValueError(f"era {era} or revision number {number} is out of range")
    return era << NUMBER_BITS | number


def get_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def get_number(revision: int) -> int:
    """Return the number that the source knows a revision by."""
    return revision & NUMBER_MASK


def format_revision(revision: int) -> str:
    """Return a revision for logs, as era:number."""
    return f"{get_era(revision)}:{get_number(revision)}"
