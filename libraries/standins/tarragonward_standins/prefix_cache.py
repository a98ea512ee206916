"""Prefix cache: blocks of prefilled prompts, kept while memory is free."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass

from .const import MAX_CACHE_EVENTS

__all__ = ["CacheEvent", "PrefixCache"]


@dataclass(frozen=True)
class CacheEvent:
    """A change of the cache; added holds pairs (block index in the prompt, hash)."""

    sequence: int
    added: tuple[tuple[int, int], ...] = ()
    removed: tuple[int, ...] = ()


class PrefixCache:
    """LRU cache of blocks by their chained hash."""

    def __init__(self, block_tokens: int) -> None:
        self._block_tokens = block_tokens
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)
        self.sequence = 0

    def count_cached_tokens(self, hashes: tuple[int, ...]) -> int:
        """Return a prompt's cached leading tokens, and mark their blocks as used."""
        blocks = 0
        for block_hash in hashes:
            if block_hash not in self._blocks:
                break
            self._blocks.move_to_end(block_hash)
            blocks += 1
        return blocks * self._block_tokens

    def add(self, hashes: tuple[int, ...], free_tokens: int) -> None:
        """Add a prompt's blocks; its last blocks are evicted first."""
        added = []
        for index in range(len(hashes) - 1, -1, -1):
            if hashes[index] not in self._blocks:
                added.append((index, hashes[index]))
            self._blocks[hashes[index]] = None
            self._blocks.move_to_end(hashes[index])
        if added:
            self._publish(CacheEvent(self.sequence + 1, added=tuple(added)))
        self.shrink(free_tokens)

    def shrink(self, free_tokens: int) -> None:
        """Evict blocks until the cache fits in the free memory."""
        removed = []
        while len(self._blocks) * self._block_tokens > max(free_tokens, 0):
            removed.append(self._blocks.popitem(last=False)[0])
        if removed:
            self._publish(CacheEvent(self.sequence + 1, removed=tuple(removed)))

    def get_events(self, after: int) -> Iterable[CacheEvent]:
        """Return the retained events after a sequence number."""
        kept = self.sequence - after
        if kept <= 0:
            return ()
        return list(self._events)[-kept:]

    def _publish(self, event: CacheEvent) -> None:
        self.sequence = event.sequence
        self._events.append(event)
