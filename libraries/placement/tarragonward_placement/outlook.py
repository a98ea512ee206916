"""Price what a long reading costs the short prompts that come while it lasts."""

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
    """What short prompts are expected to need in the next seconds.

    places are those that they take now, weight_per_second what comes with new ones;
    free are the engines that read nothing long, each with so many places for them.
    """

    slots: float = 0.0
    weight_per_second: float = 0.0
    free_engines: frozenset[str] = frozenset()
    slots_per_engine: float = 1.0

    def compute_loss(self, prefill_engines: Sequence[str], seconds: float) -> float:
        """Return the weight expected to be late as readers read for so many seconds.

        It is the load of a burst: a prompt of 600,000 tokens that is read on 17 of 18
        engines is in time, and for two seconds all short prompts meet on the last one.
        Those that write now are the best guess of those that will come (by Little's
        law as many as places times what they hold one), so the part that finds no
        place on the engines left is lost, over what finds none without the reading.
        """
        if not self.slots:
            return 0.0
        left = len(self.free_engines.difference(prefill_engines))
        lost = self._compute_unserved_share(left) - self._compute_unserved_share(
            len(self.free_engines)
        )
        return self.weight_per_second * seconds * lost

    def _compute_unserved_share(self, engines: int) -> float:
        return max(0.0, 1 - engines * self.slots_per_engine / self.slots)


def forecast_short_prompts(
    engines: Sequence[str],
    known: Mapping[str, EngineUsage],
    model: EngineModel,
    prefill_seconds: float,
) -> ShortPromptForecast:
    """Return the outlook for those whose aim a pause as long as a reading breaks."""
    works = {name: known.get(name, IDLE_ENGINE) for name in engines}
    pause = int(prefill_seconds * MILLISECONDS)
    paused = [
        (
            work.requests,
            sum(weight for aim, weight in work.weights.items() if aim < pause),
        )
        for work in works.values()
        if any(aim < pause for aim in work.weights)
    ]
    strictest = min(
        (min(work.weights) for work in works.values() if work.weights), default=0
    )
    return ShortPromptForecast(
        slots=float(sum(requests for requests, _ in paused)),
        weight_per_second=sum(weight for _, weight in paused)
        / _compute_slot_hold_seconds(model),
        free_engines=frozenset(
            name
            for name, work in works.items()
            if work.prefill_seconds * MILLISECONDS <= strictest
        ),
        slots_per_engine=max(model.slots * c.SLOT_FILL_SHARE, 1.0),
    )


def _compute_slot_hold_seconds(model: EngineModel) -> float:
    """Return for how many seconds a usual answer takes a place."""
    passes = max(model.usual_answer_tokens / max(model.stride_steps, 1), 1.0)
    return passes * model.compute_write_seconds(model.slots // 2, 0)
