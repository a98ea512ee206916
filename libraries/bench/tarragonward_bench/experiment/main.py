"""Compare placement policies on a simulated fleet: `script/experiment SITE...`."""

from __future__ import annotations

import argparse
import gc
import sys
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path

from .arrivals import sample_arrivals
from .fleet import PolicyRun, simulate
from .plots import draw
from .policies import POLICIES, PolicyPlan, override_constants
from .report import print_policies
from .site import Site, read_site, scale_site

__all__ = ["main", "run_seed"]

FIRST_SEED = 1
# Allocations between collections of the youngest generation.
GC_ALLOCATIONS = 100_000


def run_seed(site: Site, plan: PolicyPlan, seed: int, seconds: float) -> PolicyRun:
    """Run one policy with one seed."""
    arrivals = sample_arrivals(site, seed, seconds)
    with override_constants(plan.constants), _collect_garbage_rarely():
        return replace(simulate(site, plan, arrivals, seed, seconds), seed=seed)


@contextmanager
def _collect_garbage_rarely() -> Iterator[None]:
    """Let the collector look at the many objects of a large fleet less often."""
    thresholds = gc.get_threshold()
    gc.set_threshold(GC_ALLOCATIONS, *thresholds[1:])
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)


def _run_without_engines(
    site: Site, plan: PolicyPlan, seed: int, seconds: float, with_engines: bool
) -> PolicyRun:
    run = run_seed(site, plan, seed, seconds)
    engines = [(node.name, node.passes) for node in run.engines]
    return replace(run, engines=engines if with_engines else [])


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the simulations, print the tables and return the exit status."""
    parser = argparse.ArgumentParser(prog="script/experiment", description=__doc__)
    parser.add_argument("sites", nargs="+", type=Path, help="settings files of sites")
    parser.add_argument("--policy", action="append", choices=sorted(POLICIES))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument("--hosts", type=int, help="scale the site to so many hosts")
    parser.add_argument("--engines", type=int, default=0, help="engines with --hosts")
    parser.add_argument(
        "--load", type=float, default=1.0, help="load factor with --hosts"
    )
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--plot", type=Path, help="directory for plots")
    options = parser.parse_args(arguments)
    for path in options.sites:
        site = read_site(path)
        if options.hosts:
            site = scale_site(site, options.hosts, options.engines, options.load)
        _run_site(site, options)
    return 0


def _run_site(site: Site, options: argparse.Namespace) -> None:
    began = time.monotonic()
    seeds = range(FIRST_SEED, FIRST_SEED + options.seeds)
    names = options.policy or list(POLICIES)
    with ProcessPoolExecutor(options.jobs) as pool:
        futures = [
            pool.submit(
                _run_without_engines,
                site,
                POLICIES[name],
                seed,
                options.seconds,
                bool(options.plot) and seed == FIRST_SEED,
            )
            for name in names
            for seed in seeds
        ]
        runs = [future.result() for future in futures]
    print(
        f"\n{site.name}: {site.hosts} hosts, {site.engines} engines, {len(seeds)} seeds"
    )
    print_policies(site, runs)
    print(f"simulated in {time.monotonic() - began:.1f} s")
    if options.plot:
        draw(site, [p for p in runs if p.seed == FIRST_SEED], options.plot)


if __name__ == "__main__":
    sys.exit(main())
