"""Tests of what a long prefill costs the short prompts that arrive during it."""

from dataclasses import replace

import pytest

from tarragonward_placement import EngineUsage
from tarragonward_placement.outlook import ShortPromptForecast, forecast_short_prompts
from tarragonward_routes import EngineModel

MODEL = EngineModel(
    slots=8,
    memory_tokens=450_000,
    stride_steps=46,
    chunk_tokens=2_048,
    step_seconds=0.000925,
    writer_seconds=0.000004,
    context_seconds=0.0,
    read_tokens_per_second=256_000,
    pair_seconds=0.0000001,
    usual_answer_tokens=46 * 30,
)
ENGINES = [f"e{number}" for number in range(10)]
WRITING = EngineUsage(decoding_requests=6, weights={200: 9.0})
READING = EngineUsage(prefill_seconds=2.0)


def forecast(busy=(), reading=(), seconds=2.0):
    known = {name: WRITING for name in busy} | {name: READING for name in reading}
    return forecast_short_prompts(ENGINES, known, MODEL, seconds)


def test_a_reading_costs_nothing_while_the_rest_has_room():
    outlook = forecast(busy=ENGINES[:3])
    assert outlook.compute_loss(ENGINES[3:], 2.0) == 0.0


def test_a_reading_that_leaves_one_engine_costs_most_of_what_comes():
    """Eighteen short prompts decode; a long one would prefill on nine of ten engines.

    The last engine has seven slots. More than half of the short prompts that arrive
    within two seconds would wait for the end of the prefill and be late.
    """
    outlook = forecast(busy=ENGINES[:3])
    loss = outlook.compute_loss(ENGINES[1:], 2.0)
    coming = outlook.weight_per_second * 2.0
    assert coming / 2 < loss < coming


def test_what_is_short_of_room_already_is_not_the_readings_cost():
    outlook = forecast(busy=ENGINES[:3], reading=ENGINES[1:])
    assert outlook.compute_loss(ENGINES[1:], 2.0) == 0.0


def test_more_readers_cost_more_and_longer_ones_too():
    outlook = forecast(busy=ENGINES[:4])
    losses = [outlook.compute_loss(ENGINES[:count], 2.0) for count in (6, 8, 10)]
    assert losses == sorted(losses)
    assert losses[-1] > losses[0]
    assert outlook.compute_loss(ENGINES, 4.0) == pytest.approx(2 * losses[-1])


def test_those_who_bear_the_pause_cost_nothing():
    assert forecast(busy=ENGINES, seconds=0.1).compute_loss(ENGINES, 0.1) == 0.0
    assert ShortPromptForecast().compute_loss(ENGINES, 9.0) == 0.0


def test_a_usual_answer_that_is_not_published_is_no_fault():
    known = {"e0": WRITING}
    outlook = forecast_short_prompts(
        ENGINES, known, replace(MODEL, usual_answer_tokens=0), 2
    )
    assert outlook.weight_per_second > 0
