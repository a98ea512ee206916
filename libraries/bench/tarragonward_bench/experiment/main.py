"""Play policies side by side on a modelled fleet: `script/experiment SITE...`."""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

from .arrivals import draw_arrivals
from .fleet import Played, play
from .plots import draw
from .policies import POLICIES, PolicyPlan, use_numbers
from .report import print_policies
from .site import Site, read_site, scale_site

__all__ = ["main", "play_seed"]

FIRST_SEED = 1


def play_seed(site: Site, plan: PolicyPlan, seed: int, seconds: float) -> Played:
    """Play one policy with one seed."""
    arrivals = draw_arrivals(site, seed, seconds)
    with use_numbers(plan.numbers):
        return replace(play(site, plan, arrivals, seed, seconds), seed=seed)


def _play_lean(
    site: Site, plan: PolicyPlan, seed: int, seconds: float, with_engines: bool
) -> Played:
    played = play_seed(site, plan, seed, seconds)
    engines = [(node.name, node.busy) for node in played.engines]
    return replace(played, engines=engines if with_engines else [])


def main(arguments: Sequence[str] | None = None) -> int:
    """Play and print; return the exit status."""
    parser = argparse.ArgumentParser(prog="script/experiment", description=__doc__)
    parser.add_argument("sites", nargs="+", type=Path, help="settings files of sites")
    parser.add_argument("--policy", action="append", choices=sorted(POLICIES))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument("--hosts", type=int, help="as if the site had so many")
    parser.add_argument("--engines", type=int, default=0, help="beside --hosts")
    parser.add_argument("--load", type=float, default=1.0, help="beside --hosts")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--plot", type=Path, help="a folder to draw plots into")
    options = parser.parse_args(arguments)
    for path in options.sites:
        site = read_site(path)
        if options.hosts:
            site = scale_site(site, options.hosts, options.engines, options.load)
        _play_site(site, options)
    return 0


def _play_site(site: Site, options: argparse.Namespace) -> None:
    began = time.monotonic()
    seeds = range(FIRST_SEED, FIRST_SEED + options.seeds)
    names = options.policy or list(POLICIES)
    with ProcessPoolExecutor(options.jobs) as pool:
        futures = [
            pool.submit(
                _play_lean,
                site,
                POLICIES[name],
                seed,
                options.seconds,
                bool(options.plot) and seed == FIRST_SEED,
            )
            for name in names
            for seed in seeds
        ]
        plays = [future.result() for future in futures]
    print(
        f"\n{site.name}: {site.hosts} hosts, {site.engines} engines, {len(seeds)} seeds"
    )
    print_policies(site, plays)
    print(f"played in {time.monotonic() - began:.1f} s")
    if options.plot:
        draw(site, [p for p in plays if p.seed == FIRST_SEED], options.plot)


if __name__ == "__main__":
    sys.exit(main())
