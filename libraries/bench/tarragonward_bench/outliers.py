"""Measure exclusion rules on a fake clock: `script/measure outliers`."""

from __future__ import annotations

import argparse
import random
from dataclasses import dataclass

from tarragonward_requests import (
    AttemptFault,
    ExponentialBackoff,
    FixedEjection,
    OutlierDetector,
    ProbedExponentialBackoff,
)
from tarragonward_requests.outliers import EjectionPolicy

__all__ = ["Score", "measure"]

TARGETS = 20
REQUESTS_PER_SECOND = 10.0
RUN_SECONDS = 300.0
FAULT_AT_SECONDS = 20.0
TICK_SECONDS = 0.25
SILENCE_COST_SECONDS = 3.0
# The host list is read every 2 s here; the paper's default lifetime is 300 s.
HOST_LIST_LIFETIME_SECONDS = 2.0
PAPER_LIFETIME_SECONDS = 300.0
# Seconds for which one target is out, from FAULT_AT_SECONDS on.
OUTAGES = (0.5, 5.0, 60.0)
SEEDS = range(20)

RULES: dict[str, EjectionPolicy] = {
    "list_lifetime_2s": FixedEjection(HOST_LIST_LIFETIME_SECONDS),
    "list_lifetime_300s": FixedEjection(PAPER_LIFETIME_SECONDS),
    "plain_backoff": ExponentialBackoff(),
    "probed_backoff": ProbedExponentialBackoff(),
}


@dataclass
class Score:
    """What a rule cost: requests that met the fault, and seconds a sound one idled."""

    met_fault: int = 0
    idle_seconds: float = 0.0


def measure(rule: EjectionPolicy, fault: AttemptFault, outage: float) -> Score:
    """Return the mean over the seeds of one rule, fault and outage in seconds."""
    scores = [_run(rule, fault, outage, seed) for seed in SEEDS]
    met = sum(score.met_fault for score in scores)
    idle = sum(score.idle_seconds for score in scores)
    return Score(round(met / len(scores)), idle / len(scores))


def _run(rule: EjectionPolicy, fault: AttemptFault, outage: float, seed: int) -> Score:
    chooser = random.Random(seed)
    outliers = OutlierDetector(rule)
    names = [f"engine-{number}" for number in range(TARGETS)]
    broken, back_at = names[0], FAULT_AT_SECONDS + outage
    waiting: list[float] = []
    score = Score()
    ticks = int(RUN_SECONDS / TICK_SECONDS)
    for tick in range(ticks):
        now = tick * TICK_SECONDS
        is_out = FAULT_AT_SECONDS <= now < back_at
        for until in [t for t in waiting if t <= now]:
            waiting.remove(until)
            outliers.record_failure(broken, fault, now)
        for name in outliers.get_due_probes(now):
            outliers.record_probe(name, not is_out, now)
        usable = outliers.select(names, now)
        if not is_out and broken not in usable:
            score.idle_seconds += TICK_SECONDS
        if chooser.random() >= REQUESTS_PER_SECOND * TICK_SECONDS / TARGETS:
            continue
        if broken not in usable:
            continue
        if not is_out:
            outliers.record_success(broken)
            continue
        score.met_fault += 1
        # A refusal is seen at once, a silence only after the probe's time.
        delay = 0.0 if fault is AttemptFault.NOT_CONNECTED else SILENCE_COST_SECONDS
        waiting.append(now + delay)
    return score


def main() -> None:
    """Print a table of all rules, faults and outages, and the sums."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(f"{'rule':20} {'fault':14} {'outage s':>8} {'met fault':>9} {'idle s':>8}")
    sums = []
    for name, rule in RULES.items():
        met, idle = 0, 0.0
        for fault in (AttemptFault.NOT_CONNECTED, AttemptFault.SILENT):
            for outage in OUTAGES:
                score = measure(rule, fault, outage)
                met, idle = met + score.met_fault, idle + score.idle_seconds
                print(
                    f"{name:20} {fault.value:14} {outage:8.1f}"
                    f" {score.met_fault:9} {score.idle_seconds:8.2f}"
                )
        sums.append(f"{name}_met={met} {name}_idle_s={idle:.1f}")
    print(" ".join(sums))


if __name__ == "__main__":
    main()
