"""Measure how fast all hosts learn of a third crash: `script/measure harm.spread`."""

from __future__ import annotations

import argparse
from dataclasses import dataclass

from tarragonward_requests import Verdict

from .crashes import CrashPlan, CrashRun

__all__ = ["CrashPropagation", "main", "measure_crash_propagation"]

FINGERPRINT = b"culprit."
BODY_BYTES = 1_200
STEP_SECONDS = 0.01
MAX_WAIT_SECONDS = 10.0
WARM_UP_SECONDS = 2.0


@dataclass(frozen=True)
class CrashPropagation:
    """Seconds from the third crash until half and all hosts refuse; added traffic."""

    half_seconds: float
    all_seconds: float
    extra_bytes_per_host: float


def measure_crash_propagation(hosts: int, seed: int) -> CrashPropagation:
    """Record one crash each at three hosts; return how the news propagates."""
    plan = CrashPlan(hosts=hosts, domains=5, crashing_requests=0, has_troubles=False)
    run = CrashRun(plan, seed)
    fleet, world = run.fleet, run.world
    world.run(world.now + WARM_UP_SECONDS)
    bytes_before = fleet.sent_bytes
    world.run(world.now + MAX_WAIT_SECONDS)
    usual_bytes = fleet.sent_bytes - bytes_before
    for target, host in enumerate(run.random.sample(list(fleet.hosts.values()), 3)):
        host.tracker.record_crash(FINGERPRINT, BODY_BYTES, target, world.now)
        host.record_change(FINGERPRINT)
    bytes_before, begin = fleet.sent_bytes, world.now
    refused_at: list[float] = []
    while world.now < begin + MAX_WAIT_SECONDS:
        world.run(world.now + STEP_SECONDS)
        refusing = sum(
            host.tracker.evaluate(FINGERPRINT, world.now) is Verdict.REFUSED
            for host in fleet.hosts.values()
        )
        refused_at += [world.now - begin] * (refusing - len(refused_at))
    assert len(refused_at) == hosts, "some hosts did not learn of the crashes"
    extra_bytes = (fleet.sent_bytes - bytes_before - usual_bytes) / hosts
    return CrashPropagation(refused_at[hosts // 2], refused_at[-1], extra_bytes)


def main() -> None:
    """Print a line for each fleet size and seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[9, 75, 195, 320])
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    for hosts in options.sizes:
        for seed in range(1, options.seeds + 1):
            propagation = measure_crash_propagation(hosts, seed)
            print(
                f"hosts={hosts} seed={seed} half={propagation.half_seconds:.2f} s "
                f"all={propagation.all_seconds:.2f} s "
                f"bytes_a_host_in_10_s={propagation.extra_bytes_per_host:.0f}"
            )


if __name__ == "__main__":
    main()
