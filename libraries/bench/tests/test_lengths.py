"""Tests of the fleet simulation of `script/measure lengths`."""

import pytest

from tarragonward_bench.lengths.fleet import Faults, Fleet
from tarragonward_bench.lengths.mix import MIXES, sample_arrivals, scale_mix
from tarragonward_bench.lengths.policies import POLICIES, TARRAGONWARD
from tarragonward_bench.lengths.report import summarize
from tarragonward_core import invariants
from tarragonward_standins.engine_model import EngineSizes

SECONDS = 12.0
MIX = scale_mix(MIXES["shelfwise"], 0.8)


def run(policy, faults, seed=3):
    arrivals = sample_arrivals(MIX, SECONDS, seed)
    fleet = Fleet(MIX, arrivals, POLICIES[policy], EngineSizes(), faults, seed)
    fleet.run_until(800.0)
    assert fleet.has_ended
    return summarize(fleet.results, MIX.weights, fleet.count_leaked_tokens())


@pytest.mark.parametrize("policy", list(POLICIES))
@pytest.mark.parametrize(
    "faults", [Faults(), Faults(engine_fails_at=4.0), Faults(host_fails_at=4.0)]
)
def test_every_request_ends_and_all_memory_is_released(policy, faults):
    """Guards against leaked KV memory if an engine or a host fails with prompts on it.

    Its requests are retried elsewhere or by their callers, and the reservations of a
    failed host are swept, so all engines are empty in the end.
    """
    invariants.strict = True
    summary = run(policy, faults)
    invariants.strict = False
    assert summary.leaked_tokens == 0


def test_run_is_determined_by_its_seed():
    assert run(TARRAGONWARD, Faults()) == run(TARRAGONWARD, Faults())
