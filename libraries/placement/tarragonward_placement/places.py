"""Rank the engines so that short prompts are kept apart from long ones."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from tarragonward_routes import EngineModel

from . import const as c
from .fleet import EngineUsage

__all__ = ["EnginePosition", "PromptRequirements", "rank_engines"]

MILLISECONDS = 1_000


@dataclass(frozen=True)
class PromptRequirements:
    """A prompt to be placed; aim_seconds is the time left for its first event.

    pause_aim_seconds is the longest pause between events that it tolerates. leader is
    the engine that has to answer, if that is fixed already.
    """

    prompt_tokens: int
    output_tokens: int
    aim_seconds: float
    pause_aim_seconds: float
    leader: str = ""

    def can_lead(self, engine: str) -> bool:
        """Return whether an engine may answer the prompt."""
        return not self.leader or engine == self.leader

    @property
    def memory_tokens(self) -> int:
        """Return the KV cache tokens that the prompt and its answer take."""
        return self.prompt_tokens + self.output_tokens

    @property
    def weight(self) -> float:
        """Return the weight of its being late, relative to the smallest prompt."""
        return 1 + self.prompt_tokens / c.TOKENS_PER_WEIGHT


@dataclass(frozen=True)
class EnginePosition:
    """An engine's position in the engine order of its failure domain.

    The domain's pool is its first engines, as many as the requests with the same pause
    limit and one more need. beyond_pool_share is how many places after the pool the
    engine comes, divided by the number of all engines; it is 0 within the pool.
    distance_to_end is its distance from the domain's last engine, 0 to 1. is_local is
    set if the engine is in the planning host's failure domain, or if that domain has no
    engines.
    """

    name: str
    beyond_pool_share: float
    distance_to_end: float
    is_local: bool

    def compute_position_cost(self, is_long: bool) -> float:
        """Return the cost of using an engine at this position, in units of weight."""
        if is_long:
            return c.LONG_PROMPT_POSITION_COST * self.distance_to_end
        return c.PACKING_COST * self.beyond_pool_share

    def compute_distance_cost(self) -> float:
        """Return the cost of an answer from another failure domain."""
        return 0.0 if self.is_local else c.CROSS_DOMAIN_COST


def rank_engines(
    need: PromptRequirements,
    engines: Sequence[str],
    known: Mapping[str, EngineUsage],
    model: EngineModel,
    domains: Mapping[str, str],
    own_domain: str,
) -> list[EnginePosition]:
    """Return the positions of engines, which are given in the order of all hosts.

    Each failure domain has a pool of its own, and a prompt prefers the domain of its
    host, so that a domain keeps the streams it decodes when it is cut off from the
    others. With a single pool, two of three streams would cross the cut and pause until
    their callers left.
    """
    by_domain: dict[str, list[str]] = {}
    for name in engines:
        by_domain.setdefault(domains.get(name, ""), []).append(name)
    positions = []
    for domain, names in by_domain.items():
        pool_size = _count_pool_engines(need, names, known, model)
        is_local = domain == own_domain or own_domain not in by_domain
        positions += [
            EnginePosition(
                name=name,
                beyond_pool_share=max(0, rank - pool_size) / len(engines),
                distance_to_end=1 - rank / len(names),
                is_local=is_local,
            )
            for rank, name in enumerate(names, start=1)
        ]
    return positions


def _count_pool_engines(
    need: PromptRequirements,
    names: Sequence[str],
    known: Mapping[str, EngineUsage],
    model: EngineModel,
) -> int:
    """Return how many engines the requests with this pause limit and one more need."""
    aim = int(need.pause_aim_seconds * MILLISECONDS)
    usages = (known[name] for name in names if name in known)
    requests = sum(usage.requests for usage in usages if aim in usage.weights)
    fill = max(model.slots * c.SLOT_FILL_SHARE, 1.0)
    return math.ceil((requests + 1) / fill)
