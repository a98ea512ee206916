"""Tests of prompts that use engines of other cells if their own cannot serve them."""

from random import Random

import pytest

from tarragonward_placement import (
    EngineUsage,
    PromptRequirements,
    plan_prefill,
    widen_plan,
)
from tarragonward_routes import EngineModel

MODEL = EngineModel(
    slots=6,
    memory_tokens=344_250,
    stride_steps=38,
    chunk_tokens=2_048,
    step_seconds=0.00131,
    seconds_per_decoding_request=9e-7,
    seconds_per_context_token=2.13e-9,
    prefill_tokens_per_second=154_000.0,
    seconds_per_token_pair=1.62e-10,
)
LONG = PromptRequirements(260_000, 700, 4.0, 1.0)
SHORT = PromptRequirements(5_000, 500, 0.3, 0.25)
LOCAL = [f"near{number}" for number in range(20)]
REMOTE = [f"far{number}" for number in range(20)]
PREFILLING = EngineUsage(prefilling_requests=1, helper_parts=1, prefill_seconds=4.0)
DOMAINS = dict.fromkeys(LOCAL, "near") | dict.fromkeys(REMOTE, "far")


def plan(need, known):
    """Return the plan of a host whose cell has the local engines."""

    def plan_among(names):
        return plan_prefill(need, names, known, MODEL, Random(1), True, DOMAINS, "near")

    return widen_plan(plan_among(LOCAL), need, lambda: plan_among([*LOCAL, *REMOTE]))


def test_a_prompt_that_its_cell_serves_in_time_stays_there():
    assert set(plan(LONG, {}).prefill_engines) <= set(LOCAL)
    assert set(plan(SHORT, {}).prefill_engines) <= set(LOCAL)


@pytest.mark.parametrize("need", [LONG, SHORT])
def test_a_prompt_uses_another_cell_if_its_own_is_busy(need):
    """Long prompts arrive in a burst; the next would wait while other cells idle."""
    known = dict.fromkeys(LOCAL, PREFILLING)
    chosen = plan(need, known)
    assert set(chosen.prefill_engines) <= set(REMOTE)
    assert chosen.first_event_seconds < need.aim_seconds


def test_a_prompt_stays_if_all_cells_are_equally_busy():
    """Other cells' usage is known less exactly; a small gain there is not trusted."""
    known = dict.fromkeys([*LOCAL, *REMOTE], PREFILLING)
    known["far3"] = EngineUsage(
        prefilling_requests=1, helper_parts=1, prefill_seconds=3.9
    )
    assert set(plan(SHORT, known).prefill_engines) <= set(LOCAL)


def test_a_cell_without_engines_is_no_reason_to_refuse():
    fleet_plan = plan_prefill(LONG, REMOTE, {}, MODEL, Random(1))
    assert widen_plan(None, LONG, lambda: fleet_plan) is fleet_plan
    assert widen_plan(fleet_plan, LONG, lambda: None) is fleet_plan
