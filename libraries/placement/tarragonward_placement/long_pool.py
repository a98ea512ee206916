"""Limit the engines that long prompts use, and what short prompts use of these.

Only Placement uses this, the placement of the daemon; the gateway does not.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from . import const as c
from .messages import EngineView

__all__ = [
    "ShortPromptBudget",
    "get_long_pool",
    "get_pool_order",
    "classify_prompt",
    "has_long_prefill",
]


def classify_prompt(prompt_tokens: int) -> tuple[int, int, int]:
    """Return the length class, engine priority and chunk tokens of a prompt."""
    for index, (limit, priority, chunk) in enumerate(c.LENGTH_CLASSES):
        if prompt_tokens <= limit:
            return index, priority, chunk
    raise ValueError(f"no length class for {prompt_tokens} tokens")


def has_long_prefill(view: EngineView) -> bool:
    """Return whether an engine reports long prompts in its prefill queue."""
    return view.queued_long_tokens > 0


def get_long_pool(
    views: Sequence[EngineView], share: float, min_engines: int = 1
) -> list[EngineView]:
    """Return the engines that long prompts may use, in an order all hosts share.

    The pool is at most the given share of the engines, unless a group needs a few more.
    As all hosts fill it from its start, the remaining engines get no long prompt while
    the start has capacity.
    """
    ordered = sorted(views, key=get_pool_order)
    max_engines = max(math.floor(len(views) * share), min_engines)
    return ordered[:max_engines]


def get_pool_order(view: EngineView) -> tuple[int, str]:
    """Return the sort key of an engine in the order that all hosts share."""
    return zlib.crc32(view.name.encode()), view.name


@dataclass
class _Bucket:
    level: float
    filled_at: float


class ShortPromptBudget:
    """Limit the short prompts that this host sends to engines with long prefills.

    Short prompts have priority on an engine, so an unlimited load of them would starve
    the long prompt. Each host may use its part of SHORT_PROMPT_RATE_SHARE of the
    engine's prefill rate; over all hosts the long prompt keeps the rest.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def can_take(self, view: EngineView, live_hosts: int, now: float) -> bool:
        """Return whether a short prompt may be sent to this engine."""
        rate = view.prefill_tokens_per_second * c.SHORT_PROMPT_RATE_SHARE / live_hosts
        burst_tokens = rate * c.SHORT_PROMPT_BURST_SECONDS
        bucket = self._buckets.setdefault(view.name, _Bucket(burst_tokens, now))
        bucket.level = min(burst_tokens, bucket.level + rate * (now - bucket.filled_at))
        bucket.filled_at = now
        return bucket.level > 0

    def take(self, engine: str, tokens: int) -> None:
        """Spend tokens on an engine; a prompt may overdraw the budget."""
        if engine in self._buckets:
            self._buckets[engine].level -= tokens
