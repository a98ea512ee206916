"""Simulation of the request life cycle with fixed seeds."""

import pytest

from tarragonward_bench.model_runs import run_model_requests
from tarragonward_core import invariants


@pytest.fixture
def strict(monkeypatch):
    monkeypatch.setattr(invariants, "strict", True)


@pytest.mark.parametrize("first", range(0, 400, 100))
def test_every_request_ends_once_in_time_with_the_correct_text(strict, first):
    """Engines crash and hang, frames arrive late or twice, the host process pauses.

    In any order of events, each caller gets exactly one end by its deadline and a
    prefix of its own answer, the complete answer if the end says so, and no engine
    keeps memory for the request.
    """
    assert all(run_model_requests(seed) > 0 for seed in range(first, first + 100))
