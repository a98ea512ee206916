"""Identify the shared segments of prompts, and remember which were answered."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence

from . import const as c
from .fingerprints import FINGERPRINT_BYTES

__all__ = [
    "AnsweredSegments",
    "RecentPrompts",
    "fingerprint_segments",
    "have_same_id",
    "parse_segments",
]

ENTRY_SEPARATOR = ","
COUNT_SEPARATOR = ":"
# A fingerprint is a hash of the segment's id followed by one of its scope.
ID_HASH_BYTES = 5


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

    Services may run different models, so the targets of one may answer prompts with a
    segment that crashes the other's.
    """
    suffix = _hash(scope, FINGERPRINT_BYTES - ID_HASH_BYTES)
    return tuple(_hash(each, ID_HASH_BYTES) + suffix for each in ids)


def have_same_id(first: bytes, second: bytes) -> bool:
    """Return whether two fingerprints are of the same segment, in whatever scope."""
    return first[:ID_HASH_BYTES] == second[:ID_HASH_BYTES]


class RecentPrompts:
    """The segments of the prompts that a host has had of late, by scope."""

    def __init__(self) -> None:
        self._by_scope: dict[bytes, deque[frozenset[bytes]]] = {}

    def record(self, segments: Sequence[bytes]) -> None:
        """Record a prompt; of a long list only the first segments count."""
        if not segments:
            return
        scope = segments[0][ID_HASH_BYTES:]
        if scope not in self._by_scope:
            if len(self._by_scope) >= c.MAX_PROMPT_SCOPES:
                del self._by_scope[next(iter(self._by_scope))]
            self._by_scope[scope] = deque(maxlen=c.RECENT_PROMPTS)
        recorded = frozenset(segments[: c.MAX_SUSPECT_SEGMENTS_PER_PROMPT])
        self._by_scope[scope].append(recorded)

    def is_common(self, segment: bytes) -> bool:
        """Return whether at least half of the prompts with segments hold this one."""
        recent = self._by_scope.get(segment[ID_HASH_BYTES:], ())
        if len(recent) < c.MIN_RECENT_PROMPTS:
            return False
        return 2 * sum(segment in each for each in recent) >= len(recent)


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


def _hash(text: str, size: int) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=size).digest()
