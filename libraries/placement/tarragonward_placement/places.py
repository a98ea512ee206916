"""Say where each engine stands in the order that keeps short prompts from long ones."""

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
    """A prompt to be placed; aim_seconds is what is left until its first event's.

    leader is the engine that is to answer, where that is settled already.
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
        """Return the memory that the prompt and its answer take."""
        return self.prompt_tokens + self.output_tokens

    @property
    def weight(self) -> float:
        """Return how much being late counts, in that of the smallest prompt."""
        return 1 + self.prompt_tokens / c.TOKENS_PER_WEIGHT


@dataclass(frozen=True)
class EnginePosition:
    """An engine's position in the engine order of its failure domain.

    beyond_pool_share is how many engines it lies beyond the pool that the domain's most
    latency-sensitive requests need, as a share of all engines. distance_to_end is its
    distance from the domain's last engine, 0 to 1. is_local is set where the engine is
    in the failure domain of the host that plans.
    """

    name: str
    beyond_pool_share: float
    distance_to_end: float
    is_local: bool

    def compute_position_cost(self, is_long: bool) -> float:
        """Return what the place counts against the engine, in the weight's unit."""
        if is_long:
            return c.LONG_PROMPT_POSITION_COST * self.distance_to_end
        return c.PACKING_COST * self.beyond_pool_share

    def compute_distance_cost(self) -> float:
        """Return what it counts that the answer comes from another failure domain."""
        return 0.0 if self.is_local else c.CROSS_DOMAIN_COST


def rank_engines(
    need: PromptRequirements,
    engines: Sequence[str],
    known: Mapping[str, EngineUsage],
    model: EngineModel,
    domains: Mapping[str, str],
    own_domain: str,
) -> list[EnginePosition]:
    """Return the places of engines that are given in the order of all hosts.

    Each failure domain has a lane of its own, and a prompt prefers those of its
    host's: a domain that is cut off from the others keeps the streams it writes. Were
    there one lane, two of three streams crossed the cut, and paused until their
    callers left.
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
    """Return how many engines the strictest writers and one more need."""
    aim = int(need.pause_aim_seconds * MILLISECONDS)
    works = (known[name] for name in names if name in known)
    requests = sum(work.requests for work in works if aim in work.weights)
    fill = max(model.slots * c.SLOT_FILL_SHARE, 1.0)
    return math.ceil((requests + 1) / fill)
