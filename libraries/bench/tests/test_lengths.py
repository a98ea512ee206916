"""Tests of the fleet that `script/measure lengths` runs."""

import pytest

from tarragonward_bench.lengths.fleet import Faults, Fleet
from tarragonward_bench.lengths.mix import MIXES, make_arrivals, scale_mix
from tarragonward_bench.lengths.policies import OURS, POLICIES
from tarragonward_bench.lengths.report import summarise
from tarragonward_core import invariants
from tarragonward_standins.engine_model import EngineSizes

SECONDS = 12.0
MIX = scale_mix(MIXES["shelfwise"], 0.8)


def run(policy, faults, seed=3):
    arrivals = make_arrivals(MIX, SECONDS, seed)
    fleet = Fleet(MIX, arrivals, POLICIES[policy], EngineSizes(), faults, seed)
    fleet.run_until(800.0)
    assert fleet.has_ended
    return summarise(fleet.results, MIX.weights, fleet.count_leaked_tokens())


@pytest.mark.parametrize("policy", list(POLICIES))
@pytest.mark.parametrize(
    "faults", [Faults(), Faults(engine_lost_at=4.0), Faults(host_lost_at=4.0)]
)
def test_every_request_ends_and_no_memory_stays_held(policy, faults):
    """An engine or a host dies with prompts on it, whatever the policy is.

    Its requests go on elsewhere or come back, and what a dead host held is swept, so
    all engines are empty in the end.
    """
    invariants.strict = True
    summary = run(policy, faults)
    invariants.strict = False
    assert summary.leaked_tokens == 0


def test_a_seed_gives_the_same_run_again():
    assert run(OURS, Faults()) == run(OURS, Faults())
