"""Track from cache events which engine holds a prompt's prefix."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from . import const as c

__all__ = ["CacheUpdate", "PrefixIndex", "hash_blocks"]


@dataclass(frozen=True)
class CacheUpdate:
    """A cache event of an engine; added are (block index in the prompt, hash)."""

    sequence: int
    added: tuple[tuple[int, int], ...] = ()
    removed: tuple[int, ...] = ()


@dataclass
class _EngineCache:
    sequence: int = 0
    hashes: dict[int, None] = field(default_factory=dict)


class PrefixIndex:
    """Cached blocks by engine; a hint that may be late, wrong or incomplete.

    Only blocks at some depths are kept (1, 2, 3, 4, 6, 8, 12, 16, ...). A prompt of a
    million tokens thus takes about twenty entries, and the cached length is known to
    within a third.
    """

    def __init__(self) -> None:
        self._engines: dict[str, _EngineCache] = {}

    def get_sequence(self, engine: str) -> int:
        """Return the sequence number of the last event applied for an engine."""
        engine_blocks = self._engines.get(engine)
        return 0 if engine_blocks is None else engine_blocks.sequence

    def update(self, engine: str, events: Iterable[CacheUpdate]) -> None:
        """Apply events; a gap in their numbers clears the engine's index first."""
        engine_blocks = self._engines.setdefault(engine, _EngineCache())
        for event in events:
            if event.sequence <= engine_blocks.sequence:
                continue
            # A lost event may have been an eviction, after which prompts would still be
            # sent to a cache that is gone. Clearing costs one cache miss for each
            # prefix; events of the next prompts add the prefixes again.
            if event.sequence != engine_blocks.sequence + 1:
                engine_blocks.hashes.clear()
            engine_blocks.sequence = event.sequence
            self._apply(engine_blocks, event)

    def forget(self, engine: str) -> None:
        """Drop the index of an engine, as after its restart."""
        self._engines.pop(engine, None)

    def count_cached_tokens(self, engine: str, hashes: tuple[int, ...]) -> int:
        """Return how many leading tokens of a prompt the engine probably has cached."""
        engine_blocks = self._engines.get(engine)
        if engine_blocks is None or not engine_blocks.hashes or not hashes:
            return 0
        blocks = 0
        for depth in _iterate_depths(len(hashes)):
            if hashes[depth - 1] not in engine_blocks.hashes:
                break
            blocks = depth
        return blocks * c.BLOCK_TOKENS

    def _apply(self, engine_blocks: _EngineCache, event: CacheUpdate) -> None:
        for block_hash in event.removed:
            engine_blocks.hashes.pop(block_hash, None)
        for index, block_hash in event.added:
            if _is_kept_depth(index + 1):
                engine_blocks.hashes[block_hash] = None
        while len(engine_blocks.hashes) > c.MAX_INDEXED_BLOCKS:
            del engine_blocks.hashes[next(iter(engine_blocks.hashes))]


def hash_blocks(text: bytes, block_bytes: int) -> tuple[int, ...]:
    """Return the chained hashes of a prompt's whole blocks, shortest prefix first."""
    chained = 0
    hashes = []
    for start in range(0, len(text) - block_bytes + 1, block_bytes):
        chained = zlib.crc32(text[start : start + block_bytes], chained)
        # A chained CRC-32 and the block's own Adler-32 make one hash of 64 bits.
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
