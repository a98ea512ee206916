"""Know from cache events which engine holds the prefix of a prompt."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from . import const as c

__all__ = ["CacheUpdate", "PrefixIndex", "hash_blocks"]


@dataclass(frozen=True)
class CacheUpdate:
    """One cache event of an engine; added are (block index in the prompt, hash)."""

    sequence: int
    added: tuple[tuple[int, int], ...] = ()
    removed: tuple[int, ...] = ()


@dataclass
class _EngineBlocks:
    sequence: int = 0
    hashes: dict[int, None] = field(default_factory=dict)


class PrefixIndex:
    """Cached blocks by engine: a hint, which may be late, wrong or forgotten.

    Only blocks at a few depths are kept (1, 2, 3, 4, 6, 8, 12, 16, ...), so a prompt
    of a million tokens takes some twenty entries, and the cached length is known to
    within a third.
    """

    def __init__(self) -> None:
        self._engines: dict[str, _EngineBlocks] = {}

    def get_sequence(self, engine: str) -> int:
        """Return the sequence number of the last event taken from an engine."""
        known = self._engines.get(engine)
        return 0 if known is None else known.sequence

    def update(self, engine: str, events: Iterable[CacheUpdate]) -> None:
        """Take events; a gap in their numbers forgets the engine."""
        known = self._engines.setdefault(engine, _EngineBlocks())
        for event in events:
            if event.sequence <= known.sequence:
                continue
            # A lost event may have been an eviction. Symptom: prompts go on being
            # sent to a cache that is no longer there. Forgetting costs one miss a
            # prefix, and the next prompts' events bring the prefixes back.
            if event.sequence != known.sequence + 1:
                known.hashes.clear()
            known.sequence = event.sequence
            self._apply(known, event)

    def forget(self, engine: str) -> None:
        """Know nothing more of an engine, as after its restart."""
        self._engines.pop(engine, None)

    def count_cached_tokens(self, engine: str, hashes: tuple[int, ...]) -> int:
        """Return how many leading tokens of a prompt the engine seems to hold."""
        known = self._engines.get(engine)
        if known is None or not known.hashes or not hashes:
            return 0
        blocks = 0
        for depth in _iterate_depths(len(hashes)):
            if hashes[depth - 1] not in known.hashes:
                break
            blocks = depth
        return blocks * c.BLOCK_TOKENS

    def _apply(self, known: _EngineBlocks, event: CacheUpdate) -> None:
        for block_hash in event.removed:
            known.hashes.pop(block_hash, None)
        for index, block_hash in event.added:
            if _is_kept_depth(index + 1):
                known.hashes[block_hash] = None
        while len(known.hashes) > c.MAX_INDEXED_BLOCKS:
            del known.hashes[next(iter(known.hashes))]


def hash_blocks(text: bytes, block_bytes: int) -> tuple[int, ...]:
    """Return the chained hashes of a prompt's whole blocks, the shortest first."""
    chained = 0
    hashes = []
    for start in range(0, len(text) - block_bytes + 1, block_bytes):
        chained = zlib.crc32(text[start : start + block_bytes], chained)
        # Two checksums of different chains make one hash of 64 bits.
        hashes.append(chained << 32 | zlib.adler32(text[start : start + block_bytes]))
    return tuple(hashes)


def _iterate_depths(blocks: int) -> Iterable[int]:
    power = 1
    while power <= blocks:
        yield power
        middle = power + power // 2
        if power > 1 and middle <= blocks:
            yield middle
        power *= 2


def _is_kept_depth(depth: int) -> bool:
    power = 1 << (depth.bit_length() - 1)
    return depth in (power, power + power // 2)
