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
    writer_seconds=9e-7,
    context_seconds=2.13e-9,
    read_tokens_per_second=154_000.0,
    pair_seconds=1.62e-10,
)
LONG = PromptRequirements(260_000, 700, 4.0, 1.0)
SHORT = PromptRequirements(5_000, 500, 0.3, 0.25)
NEAR = [f"near{number}" for number in range(20)]
FAR = [f"far{number}" for number in range(20)]
READING = EngineUsage(prefilling_requests=1, helper_parts=1, prefill_seconds=4.0)
DOMAINS = dict.fromkeys(NEAR, "near") | dict.fromkeys(FAR, "far")


def plan(need, known):
    """Return the plan of a host whose cell has the local engines."""

    def plan_among(names):
        return plan_prefill(need, names, known, MODEL, Random(1), True, DOMAINS, "near")

    return widen_plan(plan_among(NEAR), need, lambda: plan_among([*NEAR, *FAR]))


def test_a_prompt_that_its_cell_serves_in_time_stays_there():
    assert set(plan(LONG, {}).prefill_engines) <= set(NEAR)
    assert set(plan(SHORT, {}).prefill_engines) <= set(NEAR)


@pytest.mark.parametrize("need", [LONG, SHORT])
def test_a_prompt_goes_to_another_cell_where_its_own_is_read_full(need):
    """Long prompts arrive in a burst; the next would wait while other cells idle."""
    known = dict.fromkeys(NEAR, READING)
    chosen = plan(need, known)
    assert set(chosen.prefill_engines) <= set(FAR)
    assert chosen.first_event_seconds < need.aim_seconds


def test_a_prompt_stays_where_all_cells_are_as_full():
    """Other cells' usage is known less exactly; a small gain there is not trusted."""
    known = dict.fromkeys([*NEAR, *FAR], READING)
    known["far3"] = EngineUsage(
        prefilling_requests=1, helper_parts=1, prefill_seconds=3.9
    )
    assert set(plan(SHORT, known).prefill_engines) <= set(NEAR)


def test_no_engine_near_is_no_reason_to_refuse():
    wide = plan_prefill(LONG, FAR, {}, MODEL, Random(1))
    assert widen_plan(None, LONG, lambda: wide) is wide
    assert widen_plan(wide, LONG, lambda: None) is wide
