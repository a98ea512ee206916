"""Order the changes of a source that may come back from an older copy.

Such a source gives the revision numbers of lost changes out again. It counts its
epochs, and the changes of a later epoch are newer whatever their numbers are. A
revision holds the epoch in its upper bits, so that all revisions compare as integers.
"""

from __future__ import annotations

__all__ = ["combine_revision", "format_revision", "get_epoch", "get_number"]

NUMBER_BITS = 40
NUMBER_MASK = (1 << NUMBER_BITS) - 1


def combine_revision(epoch: int, number: int) -> int:
    """Return the revision of a change, by its epoch and its number there."""
    if epoch < 0 or not 0 <= number <= NUMBER_MASK:
        raise ValueError(f"epoch {epoch} or revision number {number} is out of range")
    return epoch << NUMBER_BITS | number


def get_epoch(revision: int) -> int:
    """Return the epoch of a revision."""
    return revision >> NUMBER_BITS


def get_number(revision: int) -> int:
    """Return the number that the source knows a revision by."""
    return revision & NUMBER_MASK


def format_revision(revision: int) -> str:
    """Return a revision for logs, as epoch:number."""
    return f"{get_epoch(revision)}:{get_number(revision)}"
