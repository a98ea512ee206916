"""Measure how soon all hosts know of a third crash: `script/measure harm.spread`."""

from __future__ import annotations

import argparse
from dataclasses import dataclass

from tarragonward_requests import Verdict

from .crashes import CrashPlan, CrashRun

__all__ = ["Spread", "main", "measure_spread"]

FINGERPRINT = b"culprit."
BODY_BYTES = 1_200
STEP_SECONDS = 0.01
LONGEST_SECONDS = 10.0
CALM_SECONDS = 2.0


@dataclass(frozen=True)
class Spread:
    """Seconds from the third crash until half of the hosts and all refuse; its cost."""

    half_seconds: float
    all_seconds: float
    extra_bytes_a_host: float


def measure_spread(hosts: int, seed: int) -> Spread:
    """Let three hosts see one crash each, a moment apart; return how it spreads."""
    plan = CrashPlan(hosts=hosts, domains=5, culprits=0, has_troubles=False)
    run = CrashRun(plan, seed)
    fleet, world = run.fleet, run.world
    world.run(world.now + CALM_SECONDS)
    before = fleet.sent_bytes
    world.run(world.now + LONGEST_SECONDS)
    usual = fleet.sent_bytes - before
    for target, host in enumerate(run.random.sample(list(fleet.hosts.values()), 3)):
        host.ledger.record_crash(FINGERPRINT, BODY_BYTES, target, world.now)
        host.record_change(FINGERPRINT)
    before, began = fleet.sent_bytes, world.now
    known_at: list[float] = []
    while world.now < began + LONGEST_SECONDS:
        world.run(world.now + STEP_SECONDS)
        refusing = sum(
            host.ledger.evaluate(FINGERPRINT, world.now) is Verdict.REFUSED
            for host in fleet.hosts.values()
        )
        known_at += [world.now - began] * (refusing - len(known_at))
    assert len(known_at) == hosts, "some hosts never knew"
    extra = (fleet.sent_bytes - before - usual) / hosts
    return Spread(known_at[hosts // 2], known_at[-1], extra)


def main() -> None:
    """Print a line for each size and seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[9, 75, 195, 320])
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    for hosts in options.sizes:
        for seed in range(1, options.seeds + 1):
            spread = measure_spread(hosts, seed)
            print(
                f"hosts={hosts} seed={seed} half={spread.half_seconds:.2f} s "
                f"all={spread.all_seconds:.2f} s "
                f"bytes_a_host_in_10_s={spread.extra_bytes_a_host:.0f}"
            )


if __name__ == "__main__":
    main()
