"""Tests of the comparison of owners of keys."""

import pytest

from tarragonward_bench.ownership import FAULTS, run_fault


@pytest.mark.parametrize("fault", sorted(FAULTS))
def test_a_named_owner_never_runs_a_call_twice(fault):
    assert run_fault("named", fault, seed=1).doubled == 0


def test_a_hashed_owner_doubles_where_views_differ():
    assert run_fault("hashed", "none", seed=1).doubled == 0
    assert run_fault("hashed", "domains cut, noticed", seed=1).doubled > 0
