"""Run the randomised simulations: `script/soak --seed N --minutes M`."""

from __future__ import annotations

import argparse
import sys
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging

from tarragonward_core import TarragonwardError, invariants

from .budget_runs import run_budget_seed
from .event_runs import run_event_seed
from .harm import run_crash_seed, run_limit_seed, run_segment_seed
from .hearing.runs import run_propagation_seed
from .link_runs import run_links_seed
from .membership_runs import run_membership_seed
from .model_runs import run_model_requests
from .pause_runs import run_pauses_seed
from .power_runs import run_power_seed
from .reach_runs import run_reach_seed
from .reservation_runs import run_reservation_seed
from .segment_runs import run_segments_seed
from .soak_calls import run_calls_seed
from .soak_configuration import run_configuration_seed

__all__ = ["MACHINES", "SeedResult", "run_seed"]

SECONDS_PER_MINUTE = 60.0

# Runs a simulation with a seed and returns the number of events. Raises
# AssertionError or InvariantViolationError if a guarantee or an invariant is violated.
Machine = Callable[[int], int]
MACHINES: dict[str, Machine] = {
    "budget": run_budget_seed,
    "reach": run_reach_seed,
    "calls": run_calls_seed,
    "crashes": run_crash_seed,
    "configuration": run_configuration_seed,
    "events": run_event_seed,
    "hearing": run_propagation_seed,
    "limits": run_limit_seed,
    "membership": run_membership_seed,
    "models": run_model_requests,
    "reservations": run_reservation_seed,
    "segments": run_segment_seed,
}

# Machines of real processes, which run only when they are asked for.
PROCESS_MACHINES: dict[str, Machine] = {
    "links": run_links_seed,
    "pauses": run_pauses_seed,
    "power": run_power_seed,
    "prompts": run_segments_seed,
}


@dataclass(frozen=True)
class SeedResult:
    """Result of a machine and seed; violation is empty if there was none."""

    machine: str
    seed: int
    events: int
    violation: str = ""


def run_seed(machine: str, seed: int) -> SeedResult:
    """Run one machine with one seed; a violated invariant ends the run."""
    was_strict, invariants.strict = invariants.strict, True
    try:
        run = {**MACHINES, **PROCESS_MACHINES}[machine]
        return SeedResult(machine, seed, run(seed))
    except (AssertionError, TarragonwardError):
        return SeedResult(machine, seed, 0, traceback.format_exc())
    finally:
        invariants.strict = was_strict


def main() -> int:
    """Run seeds until the time is over; return 1 if there was a violation."""
    parser = argparse.ArgumentParser(prog="script/soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument(
        "--seeds", type=int, default=0, help="number of seeds; 0: no limit"
    )
    parser.add_argument("--minutes", type=float, default=1.0)
    names = sorted([*MACHINES, *PROCESS_MACHINES])
    parser.add_argument("--machine", choices=names, action="append")
    options = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    return _run_until_end(
        options.machine or sorted(MACHINES),
        options.seed,
        options.seeds,
        time.monotonic() + options.minutes * SECONDS_PER_MINUTE,
    )


def _run_until_end(machines: list[str], first: int, limit: int, end: float) -> int:
    seeds = events = violations = 0
    while time.monotonic() < end and (not limit or seeds < limit):
        for machine in machines:
            result = run_seed(machine, first + seeds)
            events += result.events
            if result.violation:
                violations += 1
                _print_violation(result)
        seeds += 1
    print(f"seeds={seeds} events={events} violations={violations}")
    return 1 if violations else 0


def _print_violation(result: SeedResult) -> None:
    print(f"violation: machine={result.machine} seed={result.seed}")
    print(result.violation)
    print(
        f"replay: script/soak --seed {result.seed} --seeds 1 --machine {result.machine}"
    )


if __name__ == "__main__":
    sys.exit(main())
