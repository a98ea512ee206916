"""Randomised runs of membership with fixed seeds."""

import pytest

from tarragonward_bench.membership_runs import run_membership
from tarragonward_core import invariants


@pytest.fixture(autouse=True)
def strict_invariants():
    invariants.strict = True
    yield
    invariants.strict = False


@pytest.mark.parametrize("seed", range(16))
def test_views_agree_after_the_last_fault(seed):
    run_membership(seed)


def test_host_that_missed_the_suspicion_learns_of_a_death():
    """A host of another domain considers a dead owner alive forever.

    With seed 155 the gossiped suspicion does not reach one host of another domain.
    Deaths are not gossiped, and that host does not probe the dead one, so the records
    sent in rotation must include dead hosts.
    """
    run_membership(155)
