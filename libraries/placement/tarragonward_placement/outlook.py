"""Estimate what a long prefill costs the short prompts that arrive during it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from tarragonward_routes import EngineModel

from . import const as c
from .fleet import IDLE_ENGINE, EngineUsage

__all__ = ["ShortPromptForecast", "forecast_short_prompts"]

MILLISECONDS = 1_000


@dataclass(frozen=True)
class ShortPromptForecast:
    """The capacity that short prompts are expected to need in the next seconds.

    slots are those that they occupy now; weight_per_second is the weight of new ones.
    free_engines have no long prefill; each has slots_per_engine for short prompts.
    """

    slots: float = 0.0
    weight_per_second: float = 0.0
    free_engines: frozenset[str] = frozenset()
    slots_per_engine: float = 1.0

    def compute_loss(self, prefill_engines: Sequence[str], seconds: float) -> float:
        """Return the weight expected to be late during a prefill of this length.

        It guards against bursts: a prompt of 600,000 tokens that is prefilled on 17 of
        18 engines meets its own bound, but for two seconds all short prompts have to
        use the last engine. The requests that decode now are the best estimate of those
        that will arrive (by Little's law, the occupied slots divided by the time each
        is held). The loss is the share that finds no slot on the remaining engines,
        beyond the share that would find none without the prefill.
        """
        if not self.slots:
            return 0.0
        remaining_engines = len(self.free_engines.difference(prefill_engines))
        lost_share = self._compute_unserved_share(
            remaining_engines
        ) - self._compute_unserved_share(len(self.free_engines))
        return self.weight_per_second * seconds * lost_share

    def _compute_unserved_share(self, engines: int) -> float:
        return max(0.0, 1 - engines * self.slots_per_engine / self.slots)


def forecast_short_prompts(
    engines: Sequence[str],
    known: Mapping[str, EngineUsage],
    model: EngineModel,
    prefill_seconds: float,
) -> ShortPromptForecast:
    """Return the forecast for requests that do not tolerate a pause of this length."""
    usages = {name: known.get(name, IDLE_ENGINE) for name in engines}
    pause = int(prefill_seconds * MILLISECONDS)
    affected = [
        (
            usage.requests,
            sum(weight for aim, weight in usage.weights.items() if aim < pause),
        )
        for usage in usages.values()
        if any(aim < pause for aim in usage.weights)
    ]
    shortest_aim = min(
        (min(usage.weights) for usage in usages.values() if usage.weights), default=0
    )
    return ShortPromptForecast(
        slots=float(sum(requests for requests, _ in affected)),
        weight_per_second=sum(weight for _, weight in affected)
        / _compute_slot_hold_seconds(model),
        free_engines=frozenset(
            name
            for name, usage in usages.items()
            if usage.prefill_seconds * MILLISECONDS <= shortest_aim
        ),
        slots_per_engine=max(model.slots * c.SLOT_FILL_SHARE, 1.0),
    )


def _compute_slot_hold_seconds(model: EngineModel) -> float:
    """Return how long an answer of usual length occupies a slot."""
    passes = max(model.usual_answer_tokens / max(model.stride_steps, 1), 1.0)
    return passes * model.compute_decode_seconds(model.slots // 2, 0)
