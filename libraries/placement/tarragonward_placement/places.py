"""Say where each engine stands in the order that keeps short prompts from long ones."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from tarragonward_routes import EngineModel

from . import const as c
from .fleet import EngineUsage

__all__ = ["EnginePlace", "PromptNeed", "place_engines"]

MILLISECONDS = 1_000


@dataclass(frozen=True)
class PromptNeed:
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
class EnginePlace:
    """An engine's place in its failure domain, in the order that all hosts share.

    behind_lane is how many engines beyond those that the strictest writers there need,
    as a share of all engines; before_end is its distance from the domain's last one,
    0 to 1; is_near where it is in the failure domain of the host that places.
    """

    name: str
    behind_lane: float
    before_end: float
    is_near: bool

    def weigh(self, is_long: bool) -> float:
        """Return what the place counts against the engine, in the weight's unit."""
        if is_long:
            return c.LONG_PROMPT_POSITION_COST * self.before_end
        return c.PACKING_COST * self.behind_lane

    def weigh_distance(self) -> float:
        """Return what it counts that the answer comes from another failure domain."""
        return 0.0 if self.is_near else c.CROSS_DOMAIN_COST


def place_engines(
    need: PromptNeed,
    engines: Sequence[str],
    known: Mapping[str, EngineUsage],
    model: EngineModel,
    domains: Mapping[str, str],
    own_domain: str,
) -> list[EnginePlace]:
    """Return the places of engines that are given in the order of all hosts.

    Each failure domain has a lane of its own, and a prompt prefers those of its
    host's: a domain that is cut off from the others keeps the streams it writes. Were
    there one lane, two of three streams crossed the cut, and paused until their
    callers left.
    """
    by_domain: dict[str, list[str]] = {}
    for name in engines:
        by_domain.setdefault(domains.get(name, ""), []).append(name)
    places = []
    for domain, names in by_domain.items():
        lane = _count_lane(need, names, known, model)
        is_near = domain == own_domain or own_domain not in by_domain
        places += [
            EnginePlace(
                name=name,
                behind_lane=max(0, place - lane) / len(engines),
                before_end=1 - place / len(names),
                is_near=is_near,
            )
            for place, name in enumerate(names, start=1)
        ]
    return places


def _count_lane(
    need: PromptNeed,
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
