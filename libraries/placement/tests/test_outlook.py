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
    seconds_per_decoding_request=0.000004,
    seconds_per_context_token=0.0,
    prefill_tokens_per_second=256_000,
    seconds_per_token_pair=0.0000001,
    usual_answer_tokens=46 * 30,
)
ENGINES = [f"e{number}" for number in range(10)]
DECODING = EngineUsage(decoding_requests=6, weights={200: 9.0})
PREFILLING = EngineUsage(prefill_seconds=2.0)


def forecast(busy=(), prefilling=(), seconds=2.0):
    known = {name: DECODING for name in busy} | {
        name: PREFILLING for name in prefilling
    }
    return forecast_short_prompts(ENGINES, known, MODEL, seconds)


def test_a_prefill_costs_nothing_while_other_engines_have_slots():
    costs = forecast(busy=ENGINES[:3])
    assert costs.compute_loss(ENGINES[3:], 2.0) == 0.0


def test_a_prefill_that_leaves_one_engine_makes_most_arrivals_late():
    """Eighteen short prompts decode; a long one would prefill on nine of ten engines.

    The last engine has seven slots. More than half of the short prompts that arrive
    within two seconds would wait for the end of the prefill and be late.
    """
    costs = forecast(busy=ENGINES[:3])
    loss = costs.compute_loss(ENGINES[1:], 2.0)
    arriving = costs.weight_per_second * 2.0
    assert arriving / 2 < loss < arriving


def test_an_existing_lack_of_slots_is_not_charged_to_the_prefill():
    costs = forecast(busy=ENGINES[:3], prefilling=ENGINES[1:])
    assert costs.compute_loss(ENGINES[1:], 2.0) == 0.0


def test_more_engines_and_longer_prefills_cost_more():
    costs = forecast(busy=ENGINES[:4])
    losses = [costs.compute_loss(ENGINES[:count], 2.0) for count in (6, 8, 10)]
    assert losses == sorted(losses)
    assert losses[-1] > losses[0]
    assert costs.compute_loss(ENGINES, 4.0) == pytest.approx(2 * losses[-1])


def test_requests_that_tolerate_the_pause_cost_nothing():
    assert forecast(busy=ENGINES, seconds=0.1).compute_loss(ENGINES, 0.1) == 0.0
    assert ShortPromptForecast().compute_loss(ENGINES, 9.0) == 0.0


def test_an_unpublished_usual_answer_length_is_accepted():
    known = {"e0": DECODING}
    costs = forecast_short_prompts(
        ENGINES, known, replace(MODEL, usual_answer_tokens=0), 2
    )
    assert costs.weight_per_second > 0
