"""Measure prompts of all lengths on one fleet: `script/measure lengths`."""

from __future__ import annotations

import argparse
import math
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path

from tarragonward_core import get_length_class
from tarragonward_standins.engine_model import EngineSizes

from .fleet import Faults, Fleet
from .mix import MIXES, Arrival, make_arrivals, scale_mix
from .policies import ABLATIONS, LEAST, OURS, POLICIES, ROUND_ROBIN
from .report import (
    CLASS_NAMES,
    LONG_CLASSES,
    SHORT_CLASS,
    Summary,
    draw,
    print_table,
    summarise,
)

ASSUMPTIONS = Path("examples/engine-assumptions.toml")
SECONDS = 150.0
QUICK_SECONDS = 45.0
SLICE_SECONDS = 5.0
DRAIN_SECONDS = 700.0
FIRST_SEED = 5
FLOOD = 4.0
LATE_REPORT_SECONDS = 3.0
MAIN = (ROUND_ROBIN, LEAST, OURS)
EVERY = (*MAIN, *ABLATIONS)
WITHOUT_LONG = "without long prompts"
STEADY = "steady"
HOST_LOST = "host lost"
SLOWED = (STEADY, HOST_LOST)


@dataclass(frozen=True)
class Scenario:
    """One situation; engine_time multiplies the step times, engine_memory the KV."""

    name: str
    policies: tuple[str, ...] = MAIN
    flood: float = 0.0
    report_lag_seconds: float = 0.3
    engine_lost: bool = False
    host_lost: bool = False
    has_long: bool = True
    engine_time: float = 1.0
    engine_memory: float = 1.0


SCENARIOS = (
    Scenario(STEADY, EVERY),
    Scenario(f"{STEADY}, {WITHOUT_LONG}", EVERY, has_long=False),
    Scenario("flood", (*MAIN, "no_limits", "no_admission"), flood=FLOOD),
    Scenario("engine lost", engine_lost=True),
    Scenario(
        "reports 3 s late",
        (*MAIN, "no_sampling"),
        report_lag_seconds=LATE_REPORT_SECONDS,
    ),
    Scenario(HOST_LOST, host_lost=True),
    Scenario(f"{HOST_LOST}, {WITHOUT_LONG}", host_lost=True, has_long=False),
    Scenario("engines twice as fast, twice the load", engine_time=0.5),
    Scenario("engines half as fast, half the load", engine_time=2.0),
    Scenario("engines of half the memory", engine_memory=0.5),
    Scenario("engines of twice the memory", engine_memory=2.0),
)


@dataclass(frozen=True)
class Job:
    """One scenario of one user with one seed."""

    mix: str
    scenario: Scenario
    seed: int
    seconds: float
    load: float


def run_job(job: Job) -> dict[str, Summary]:
    """Run all policies of a job on the same arrivals, a slice of time each in turn."""
    scenario = job.scenario
    mix = scale_mix(MIXES[job.mix], job.load / scenario.engine_time)
    arrivals = make_arrivals(mix, job.seconds, job.seed, scenario.flood)
    if not scenario.has_long:
        arrivals = [arrival for arrival in arrivals if not _is_long(arrival)]
    sizes = EngineSizes.load(ASSUMPTIONS).scale(scenario.engine_time)
    kv_tokens = int(sizes.kv_tokens * scenario.engine_memory)
    sizes = replace(sizes, kv_tokens=kv_tokens)
    faults = Faults(
        report_lag_seconds=scenario.report_lag_seconds,
        engine_lost_at=job.seconds / 3 if scenario.engine_lost else math.inf,
        host_lost_at=job.seconds / 3 if scenario.host_lost else math.inf,
    )
    fleets = {
        name: Fleet(mix, arrivals, POLICIES[name], sizes, faults, job.seed)
        for name in scenario.policies
    }
    until = 0.0
    while until < job.seconds + DRAIN_SECONDS:
        until += SLICE_SECONDS
        for fleet in fleets.values():
            fleet.run_until(until)
        if all(fleet.has_ended for fleet in fleets.values()):
            break
    return {
        name: summarise(fleet.results, mix.weights, fleet.count_leaked_tokens())
        for name, fleet in fleets.items()
    }


def _is_long(arrival: Arrival) -> bool:
    return get_length_class(arrival.prompt_tokens) in LONG_CLASSES


Tables = dict[str, dict[str, list[Summary]]]


def _run(arguments: argparse.Namespace) -> Tables:
    scenarios = [s for s in SCENARIOS if _is_wanted(s, arguments)]
    seconds = QUICK_SECONDS if arguments.quick else SECONDS
    jobs = [
        Job(mix, scenario, seed, seconds, arguments.load)
        for mix in arguments.mixes
        for scenario in scenarios
        for seed in range(FIRST_SEED, FIRST_SEED + arguments.seeds)
    ]
    tables: Tables = {}
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for job, summaries in zip(jobs, pool.map(run_job, jobs), strict=True):
            rows = tables.setdefault(f"{job.mix}: {job.scenario.name}", {})
            for policy, summary in summaries.items():
                rows.setdefault(policy, []).append(summary)
    return tables


def _is_wanted(scenario: Scenario, arguments: argparse.Namespace) -> bool:
    if arguments.scenarios:
        return any(scenario.name.startswith(name) for name in arguments.scenarios)
    return not arguments.quick or scenario.name.startswith(STEADY)


def compute_slowdowns(
    tables: Tables, mix: str, scenario: str
) -> dict[str, list[float]]:
    """Return by policy and seed the short p95 with long prompts over that without."""
    with_long = tables[f"{mix}: {scenario}"]
    without = tables[f"{mix}: {scenario}, {WITHOUT_LONG}"]
    return {
        policy: [
            one.ttft[SHORT_CLASS][1] / other.ttft[SHORT_CLASS][1]
            for one, other in zip(summaries, without[policy], strict=True)
        ]
        for policy, summaries in with_long.items()
    }


def _print_slowdowns(tables: Tables, mixes: list[str]) -> None:
    for mix in mixes:
        for scenario in SLOWED:
            if f"{mix}: {scenario}" not in tables:
                continue
            print(f"\n{mix}: {scenario}: short slowdown p95, mean (by seed)")
            for policy, values in compute_slowdowns(tables, mix, scenario).items():
                by_seed = " ".join(f"{value:.2f}" for value in values)
                print(f"  {policy:<16}{_mean(values):>6.2f}  ({by_seed})")


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _print_last_line(tables: Tables, mixes: list[str]) -> None:
    """Print the worst user's slowdown, the worst class's ratio, the worst run's end."""
    slowdowns = [
        {name: _mean(values) for name, values in by_policy.items()}
        for by_policy in (compute_slowdowns(tables, mix, STEADY) for mix in mixes)
    ]
    worst = max(slowdowns, key=lambda by_policy: by_policy[OURS])
    ratio = max(
        _mean([summary.ttft[name][1] for summary in tables[f"{mix}: {STEADY}"][OURS]])
        / _mean(
            [summary.ttft[name][1] for summary in tables[f"{mix}: {STEADY}"][LEAST]]
        )
        for mix in mixes
        for name in CLASS_NAMES
    )
    long_finished = min(
        summary.long_finished for rows in tables.values() for summary in rows[OURS]
    )
    print(
        f"short_slowdown_p95={worst[OURS]:.3f}"
        f" short_slowdown_p95_round_robin={worst[ROUND_ROBIN]:.3f}"
        f" short_slowdown_p95_least={worst[LEAST]:.3f}"
        f" ttft_p95_ratio_to_least={ratio:.3f}"
        f" long_finished={long_finished:.4f}"
    )


def main() -> None:
    """Run and print the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="steady load, 45 s of it")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4, help="processes of the bench")
    parser.add_argument("--load", type=float, default=1.0, help="times the load")
    parser.add_argument("--mixes", nargs="+", default=list(MIXES), choices=MIXES)
    parser.add_argument("--scenarios", nargs="+", help="only these, by their start")
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    tables = _run(arguments)
    for title, rows in tables.items():
        print_table(title, rows)
    _print_slowdowns(tables, arguments.mixes)
    leaked = sum(s.leaked_tokens for rows in tables.values() for s in rows[OURS])
    print(f"\nKV tokens held after the end, all runs of tarragonward: {leaked}")
    if arguments.plot:
        draw(arguments.plot, tables)
    if all(f"{mix}: {STEADY}" in tables for mix in arguments.mixes):
        _print_last_line(tables, arguments.mixes)


if __name__ == "__main__":
    main()
