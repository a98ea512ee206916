"""Randomised runs of the life cycle with fixed seeds."""

import pytest

from tarragonward_bench.model_runs import run_model_requests
from tarragonward_core import invariants


@pytest.fixture
def strict(monkeypatch):
    monkeypatch.setattr(invariants, "strict", True)


@pytest.mark.parametrize("first", range(0, 400, 100))
def test_every_request_ends_once_in_time_with_its_own_text(strict, first):
    """Engines die and freeze, frames come late and doubled, the host is paused.

    Whatever comes in whichever order, each caller gets one end by its deadline, text
    that is the start of its own answer, the whole of it where the end says so, and no
    engine keeps memory for it.
    """
    assert all(run_model_requests(seed) > 0 for seed in range(first, first + 100))
