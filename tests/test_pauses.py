"""Tests of real processes that are paused at random moments."""

import pytest

from tarragonward_bench.pause_runs import run_pauses_seed


@pytest.mark.parametrize("seed", [1, 2])
def test_paused_processes_break_no_promise(seed):
    """Hosts, engines, services and the platform pause for up to 0.5 s, one by one."""
    assert run_pauses_seed(seed) > 30
