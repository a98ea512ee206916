"""Identify the shared segments of prompts, and remember which were answered."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

from . import const as c
from .fingerprints import FINGERPRINT_BYTES

__all__ = ["AnsweredSegments", "fingerprint_segments", "parse_segments"]

ENTRY_SEPARATOR = ","
COUNT_SEPARATOR = ":"
NAME_SEPARATOR = b"\0"


def parse_segments(text: str) -> tuple[str, ...]:
    """Return the ids of a prompt's shared segments, each once, in their order.

    text lists the segments as comma-separated ID:TOKENS entries. The last entry belongs
    to the request itself and is left out, as are entries without an id.
    """
    *shared, _ = text.split(ENTRY_SEPARATOR)
    ids = (entry.partition(COUNT_SEPARATOR)[0].strip() for entry in shared)
    return tuple(dict.fromkeys(each for each in ids if each))


def fingerprint_segments(scope: str, ids: Iterable[str]) -> tuple[bytes, ...]:
    """Return a hash of each segment id within a scope, the service that runs prompts.

    Services may run different models, so a segment that crashes one's targets says
    nothing of the other's.
    """
    prefix = scope.encode() + NAME_SEPARATOR
    return tuple(
        hashlib.blake2b(prefix + each.encode(), digest_size=FINGERPRINT_BYTES).digest()
        for each in ids
    )


class AnsweredSegments:
    """When prompts with a segment were last answered completely; times in seconds.

    Memory is bounded: the segments that were answered least recently are forgotten.
    """

    def __init__(self) -> None:
        self._answered_at: OrderedDict[bytes, float] = OrderedDict()

    def record(self, segments: Iterable[bytes], now: float) -> None:
        """Record that a prompt with these segments was answered completely."""
        for segment in segments:
            self._answered_at[segment] = now
            self._answered_at.move_to_end(segment)
        while len(self._answered_at) > c.MAX_ANSWERED_SEGMENTS:
            self._answered_at.popitem(last=False)

    def get(self, segment: bytes) -> float | None:
        """Return when a prompt with a segment was last answered, None if unknown."""
        return self._answered_at.get(segment)
