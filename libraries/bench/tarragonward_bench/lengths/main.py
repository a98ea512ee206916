"""Measure placement policies by prompt length: `script/measure lengths`."""

from __future__ import annotations

import argparse
import math
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path

from tarragonward_core import get_length_class
from tarragonward_standins.engine_model import EngineSizes

from .fleet import Faults, Fleet
from .mix import MIXES, Arrival, sample_arrivals, scale_mix
from .policies import ABLATIONS, LEAST, POLICIES, ROUND_ROBIN, TARRAGONWARD
from .report import (
    CLASS_NAMES,
    LONG_CLASSES,
    SHORT_CLASS,
    Summary,
    draw_ttft,
    print_table,
    summarize,
)

ASSUMPTIONS = Path("examples/engine-assumptions.toml")
RUN_SECONDS = 150.0
QUICK_RUN_SECONDS = 45.0
TIME_SLICE_SECONDS = 5.0
MAX_DRAIN_SECONDS = 700.0
FIRST_SEED = 5
OVERLOAD_FACTOR = 4.0
REPORT_LAG_SECONDS = 3.0
MAIN_POLICIES = (ROUND_ROBIN, LEAST, TARRAGONWARD)
ALL_POLICIES = (*MAIN_POLICIES, *ABLATIONS)
WITHOUT_LONG = "without long prompts"
STEADY = "steady"
HOST_FAILS = "host lost"
SLOWDOWN_SCENARIOS = (STEADY, HOST_FAILS)


@dataclass(frozen=True)
class Scenario:
    """A scenario; engine_time scales the step times, engine_memory the KV memory."""

    name: str
    policies: tuple[str, ...] = MAIN_POLICIES
    overload: float = 0.0
    report_lag_seconds: float = 0.3
    engine_fails: bool = False
    host_fails: bool = False
    has_long_prompts: bool = True
    engine_time: float = 1.0
    engine_memory: float = 1.0


SCENARIOS = (
    Scenario(STEADY, ALL_POLICIES),
    Scenario(f"{STEADY}, {WITHOUT_LONG}", ALL_POLICIES, has_long_prompts=False),
    Scenario(
        "flood", (*MAIN_POLICIES, "no_limits", "no_admission"), overload=OVERLOAD_FACTOR
    ),
    Scenario("engine lost", engine_fails=True),
    Scenario(
        "reports 3 s late",
        (*MAIN_POLICIES, "no_sampling"),
        report_lag_seconds=REPORT_LAG_SECONDS,
    ),
    Scenario(HOST_FAILS, host_fails=True),
    Scenario(f"{HOST_FAILS}, {WITHOUT_LONG}", host_fails=True, has_long_prompts=False),
    Scenario("engines twice as fast, twice the load", engine_time=0.5),
    Scenario("engines half as fast, half the load", engine_time=2.0),
    Scenario("engines of half the memory", engine_memory=0.5),
    Scenario("engines of twice the memory", engine_memory=2.0),
)


@dataclass(frozen=True)
class Job:
    """One scenario of one mix with one seed."""

    mix: str
    scenario: Scenario
    seed: int
    seconds: float
    load: float


def run_job(job: Job) -> dict[str, Summary]:
    """Run all policies of a job on the same arrivals, alternating in time slices."""
    scenario = job.scenario
    mix = scale_mix(MIXES[job.mix], job.load / scenario.engine_time)
    arrivals = sample_arrivals(mix, job.seconds, job.seed, scenario.overload)
    if not scenario.has_long_prompts:
        arrivals = [arrival for arrival in arrivals if not _is_long(arrival)]
    sizes = EngineSizes.load(ASSUMPTIONS).scale(scenario.engine_time)
    kv_tokens = int(sizes.kv_tokens * scenario.engine_memory)
    sizes = replace(sizes, kv_tokens=kv_tokens)
    faults = Faults(
        report_lag_seconds=scenario.report_lag_seconds,
        engine_fails_at=job.seconds / 3 if scenario.engine_fails else math.inf,
        host_fails_at=job.seconds / 3 if scenario.host_fails else math.inf,
    )
    fleets = {
        name: Fleet(mix, arrivals, POLICIES[name], sizes, faults, job.seed)
        for name in scenario.policies
    }
    until = 0.0
    while until < job.seconds + MAX_DRAIN_SECONDS:
        until += TIME_SLICE_SECONDS
        for fleet in fleets.values():
            fleet.run_until(until)
        if all(fleet.has_ended for fleet in fleets.values()):
            break
    return {
        name: summarize(fleet.results, mix.weights, fleet.count_leaked_tokens())
        for name, fleet in fleets.items()
    }


def _is_long(arrival: Arrival) -> bool:
    return get_length_class(arrival.prompt_tokens) in LONG_CLASSES


Tables = dict[str, dict[str, list[Summary]]]


def _run(arguments: argparse.Namespace) -> Tables:
    scenarios = [s for s in SCENARIOS if _is_selected(s, arguments)]
    seconds = QUICK_RUN_SECONDS if arguments.quick else RUN_SECONDS
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


def _is_selected(scenario: Scenario, arguments: argparse.Namespace) -> bool:
    if arguments.scenarios:
        return any(scenario.name.startswith(name) for name in arguments.scenarios)
    return not arguments.quick or scenario.name.startswith(STEADY)


def compute_slowdowns(
    tables: Tables, mix: str, scenario: str
) -> dict[str, list[float]]:
    """Return the slowdown of short prompts by long ones, by policy and seed.

    It is the ratio of their p95 with long prompts to that without.
    """
    with_long = tables[f"{mix}: {scenario}"]
    without = tables[f"{mix}: {scenario}, {WITHOUT_LONG}"]
    return {
        policy: [
            with_long_prompts.ttft[SHORT_CLASS][1]
            / without_long_prompts.ttft[SHORT_CLASS][1]
            for with_long_prompts, without_long_prompts in zip(
                summaries, without[policy], strict=True
            )
        ]
        for policy, summaries in with_long.items()
    }


def _print_slowdowns(tables: Tables, mixes: list[str]) -> None:
    for mix in mixes:
        for scenario in SLOWDOWN_SCENARIOS:
            if f"{mix}: {scenario}" not in tables:
                continue
            print(f"\n{mix}: {scenario}: short slowdown p95, mean (by seed)")
            for policy, values in compute_slowdowns(tables, mix, scenario).items():
                by_seed = " ".join(f"{value:.2f}" for value in values)
                print(f"  {policy:<16}{_mean(values):>6.2f}  ({by_seed})")


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _print_totals(tables: Tables, mixes: list[str]) -> None:
    """Print the worst slowdown of a mix, ratio of a class, and completion of a run."""
    slowdowns = [
        {name: _mean(values) for name, values in by_policy.items()}
        for by_policy in (compute_slowdowns(tables, mix, STEADY) for mix in mixes)
    ]
    worst = max(slowdowns, key=lambda by_policy: by_policy[TARRAGONWARD])
    ratio = max(
        _mean(
            [
                summary.ttft[name][1]
                for summary in tables[f"{mix}: {STEADY}"][TARRAGONWARD]
            ]
        )
        / _mean(
            [summary.ttft[name][1] for summary in tables[f"{mix}: {STEADY}"][LEAST]]
        )
        for mix in mixes
        for name in CLASS_NAMES
    )
    long_finished = min(
        summary.long_finished
        for rows in tables.values()
        for summary in rows[TARRAGONWARD]
    )
    print(
        f"short_slowdown_p95={worst[TARRAGONWARD]:.3f}"
        f" short_slowdown_p95_round_robin={worst[ROUND_ROBIN]:.3f}"
        f" short_slowdown_p95_least={worst[LEAST]:.3f}"
        f" ttft_p95_ratio_to_least={ratio:.3f}"
        f" long_finished={long_finished:.4f}"
    )


def main() -> None:
    """Run the scenarios and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--quick", action="store_true", help="only steady load, a short run"
    )
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4, help="parallel processes")
    parser.add_argument("--load", type=float, default=1.0, help="load factor")
    parser.add_argument("--mixes", nargs="+", default=list(MIXES), choices=MIXES)
    parser.add_argument("--scenarios", nargs="+", help="only those with these prefixes")
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    tables = _run(arguments)
    for title, rows in tables.items():
        print_table(title, rows)
    _print_slowdowns(tables, arguments.mixes)
    leaked = sum(
        s.leaked_tokens for rows in tables.values() for s in rows[TARRAGONWARD]
    )
    print(f"\nKV tokens in use after the end, all runs of tarragonward: {leaked}")
    if arguments.plot:
        draw_ttft(arguments.plot, tables)
    if all(f"{mix}: {STEADY}" in tables for mix in arguments.mixes):
        _print_totals(tables, arguments.mixes)


if __name__ == "__main__":
    main()
