"""Tests of the comparison of call ownership schemes."""

import pytest

from tarragonward_bench.ownership import FAULTS, run_fault


@pytest.mark.parametrize("fault", sorted(FAULTS))
def test_owner_named_in_the_key_never_runs_a_call_twice(fault):
    assert run_fault("named", fault, seed=1).duplicate_runs == 0


def test_hashed_owner_runs_calls_twice_if_views_differ():
    assert run_fault("hashed", "none", seed=1).duplicate_runs == 0
    assert run_fault("hashed", "domains cut, noticed", seed=1).duplicate_runs > 0
