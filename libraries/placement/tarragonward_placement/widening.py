"""Decide when a prompt uses engines outside its host's cell."""

from __future__ import annotations

from collections.abc import Callable

from . import const as c
from .places import PromptRequirements
from .readings import PrefillPlan

__all__ = ["widen_plan"]


def widen_plan(
    cell_plan: PrefillPlan | None,
    need: PromptRequirements,
    plan_fleet: Callable[[], PrefillPlan | None],
) -> PrefillPlan | None:
    """Return the plan within the cell, or the fleet's if it is clearly better.

    It guards against bursts of long prompts: each takes most engines of a cell, and the
    next one would wait for them while engines of other cells idle. Less is known of the
    engines of other cells, so a small gain there is not trusted.
    """
    if cell_plan is not None and cell_plan.cost <= c.WIDEN_MIN_COST_SHARE * need.weight:
        return cell_plan
    fleet_plan = plan_fleet()
    if cell_plan is None or fleet_plan is None:
        return cell_plan or fleet_plan
    is_better = cell_plan.cost - fleet_plan.cost > c.WIDEN_MIN_GAIN_SHARE * need.weight
    return fleet_plan if is_better else cell_plan
