"""Decide when a prompt looks beyond its host's cell for engines."""

from __future__ import annotations

from collections.abc import Callable

from . import const as c
from .places import PromptNeed
from .readings import PrefillPlan

__all__ = ["widen_plan"]


def widen_plan(
    near: PrefillPlan | None,
    need: PromptNeed,
    plan_fleet: Callable[[], PrefillPlan | None],
) -> PrefillPlan | None:
    """Return the plan within the cell, or the fleet's where it is better by far.

    It is the load of long prompts that come in a burst: each takes most engines of a
    cell, and the next one waits for them while those of other cells idle. Less is known
    of the engines of other cells, so a small gain is none.
    """
    if near is not None and near.cost <= c.WIDEN_MIN_COST_SHARE * need.weight:
        return near
    wide = plan_fleet()
    if near is None or wide is None:
        return near or wide
    is_better = near.cost - wide.cost > c.WIDEN_MIN_GAIN_SHARE * need.weight
    return wide if is_better else near
