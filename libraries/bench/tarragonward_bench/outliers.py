"""Compare ejection policies in a simulation: `script/measure outliers`."""

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
SILENCE_TIMEOUT_SECONDS = 3.0
# This system reads the host list every 2 s; the paper's default lifetime is 300 s.
HOST_LIST_LIFETIME_SECONDS = 2.0
PAPER_LIFETIME_SECONDS = 300.0
# Durations in seconds of the outage of one target, from FAULT_AT_SECONDS on.
OUTAGES = (0.5, 5.0, 60.0)
SEEDS = range(20)

POLICIES: dict[str, EjectionPolicy] = {
    "list_lifetime_2s": FixedEjection(HOST_LIST_LIFETIME_SECONDS),
    "list_lifetime_300s": FixedEjection(PAPER_LIFETIME_SECONDS),
    "plain_backoff": ExponentialBackoff(),
    "probed_backoff": ProbedExponentialBackoff(),
}


@dataclass
class Score:
    """Cost of a policy: failed requests, and seconds a healthy target was ejected."""

    failed_requests: int = 0
    ejected_seconds: float = 0.0


def measure(policy: EjectionPolicy, fault: AttemptFault, outage: float) -> Score:
    """Return the mean score over all seeds; outage is in seconds."""
    scores = [_run(policy, fault, outage, seed) for seed in SEEDS]
    failed = sum(score.failed_requests for score in scores)
    ejected = sum(score.ejected_seconds for score in scores)
    return Score(round(failed / len(scores)), ejected / len(scores))


def _run(
    policy: EjectionPolicy, fault: AttemptFault, outage: float, seed: int
) -> Score:
    chooser = random.Random(seed)
    detector = OutlierDetector(policy)
    names = [f"engine-{number}" for number in range(TARGETS)]
    faulty, up_at = names[0], FAULT_AT_SECONDS + outage
    pending_failures: list[float] = []
    score = Score()
    ticks = int(RUN_SECONDS / TICK_SECONDS)
    for tick in range(ticks):
        now = tick * TICK_SECONDS
        is_down = FAULT_AT_SECONDS <= now < up_at
        for due in [t for t in pending_failures if t <= now]:
            pending_failures.remove(due)
            detector.record_failure(faulty, fault, now)
        for name in detector.get_due_probes(now):
            detector.record_probe(name, not is_down, now)
        available = detector.select(names, now)
        if not is_down and faulty not in available:
            score.ejected_seconds += TICK_SECONDS
        if chooser.random() >= REQUESTS_PER_SECOND * TICK_SECONDS / TARGETS:
            continue
        if faulty not in available:
            continue
        if not is_down:
            detector.record_success(faulty)
            continue
        score.failed_requests += 1
        # A refused connection is detected at once, a silent target after a time-out.
        delay = 0.0 if fault is AttemptFault.NOT_CONNECTED else SILENCE_TIMEOUT_SECONDS
        pending_failures.append(now + delay)
    return score


def main() -> None:
    """Print a table of all policies, faults and outages, and the totals."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(f"{'rule':20} {'fault':14} {'outage s':>8} {'met fault':>9} {'idle s':>8}")
    sums = []
    for name, policy in POLICIES.items():
        failed, ejected = 0, 0.0
        for fault in (AttemptFault.NOT_CONNECTED, AttemptFault.SILENT):
            for outage in OUTAGES:
                score = measure(policy, fault, outage)
                failed, ejected = (
                    failed + score.failed_requests,
                    ejected + score.ejected_seconds,
                )
                print(
                    f"{name:20} {fault.value:14} {outage:8.1f}"
                    f" {score.failed_requests:9} {score.ejected_seconds:8.2f}"
                )
        sums.append(f"{name}_met={failed} {name}_idle_s={ejected:.1f}")
    print(" ".join(sums))


if __name__ == "__main__":
    main()
