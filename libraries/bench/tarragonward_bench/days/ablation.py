"""Ablation study: play days with mechanisms disabled, or at other commits."""

from __future__ import annotations

import argparse
import subprocess
import sys
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from .pairs import Measure, format_table, get_worth
from .plays import (
    DayPlay,
    PlayedDay,
    PlayError,
    copy_journal,
    play_day,
    read_plays,
    write_play,
)
from .variants import Variant, load_variants, make_copy

__all__ = ["main"]

ROOT = Path(__file__).resolve().parents[4]
TABLE = ROOT / "docs" / "ablations.toml"
REFERENCE = "main"
# Fewer than the CPUs: on an overloaded machine a day can exceed its time-out.
DEFAULT_JOBS = 4


def main() -> int:
    """Run the selected job; return the exit status."""
    options = _parse_options()
    plays = read_plays(options.out)
    if options.job == "play":
        return _play_all(options, plays)
    print(format_table(plays, options.reference, _choose_measure(options)))
    return 0


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="script/ablate", description=__doc__)
    parser.add_argument("job", choices=("play", "table"))
    parser.add_argument("site", nargs="*", type=Path, help="site files, for play")
    parser.add_argument("--bench", help="the users' benchmark program")
    parser.add_argument("--table", type=Path, default=TABLE, help="table of variants")
    parser.add_argument("--only", action="append", help="play only this variant")
    parser.add_argument(
        "--ref",
        action="append",
        default=[],
        help="play a commit as variant: NAME=COMMIT",
    )
    parser.add_argument(
        "--no-table", action="store_true", help="play only the --ref variants"
    )
    parser.add_argument("--day", action="append", help="play only this day")
    parser.add_argument("--seed", action="append", type=int, help="additional seed")
    parser.add_argument("--no-own-seed", action="store_true")
    parser.add_argument(
        "--cpu", action="store_true", help="include CPU time in the cost"
    )
    parser.add_argument(
        "--why", default="pairs", help="reason, recorded in the journal"
    )
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--scratch", type=Path, default=ROOT.parent / "ablate")
    parser.add_argument("--out", type=Path, default=ROOT.parent / "ablate.jsonl")
    parser.add_argument("--reference", default=REFERENCE)
    parser.add_argument("--kind", help="compare a kind's in-aim share instead")
    parser.add_argument("--part", help="compare a part of the payoff instead")
    return parser.parse_args()


def _choose_measure(options: argparse.Namespace) -> Measure:
    if options.kind:
        return lambda played: played.in_aim.get(options.kind, 0.0)
    if options.part:
        return lambda played: played.parts.get(options.part, 0.0)
    return get_worth


def _choose_variants(options: argparse.Namespace) -> list[Variant]:
    variants = [Variant(REFERENCE)]
    if options.ref:
        named = (text.partition("=") for text in options.ref)
        variants = [Variant(name, commit=commit) for name, _, commit in named]
    if options.no_table:
        return variants
    rows = load_variants(options.table)
    return variants + [r for r in rows if not options.only or r.name in options.only]


def _play_all(options: argparse.Namespace, plays: list[PlayedDay]) -> int:
    variants = _choose_variants(options)
    options.scratch.mkdir(parents=True, exist_ok=True)
    reports = options.scratch / "reports"
    reports.mkdir(exist_ok=True)
    copies = {each.name: make_copy(ROOT, options.scratch, each) for each in variants}
    for copy in copies.values():
        # Build now: concurrent plays of one copy would each build it.
        subprocess.run([options.bench, "build"], cwd=copy, capture_output=True)
    done = {
        (p.variant, p.commit, p.site, p.day, p.seed, p.is_processor_charged)
        for p in plays
    }
    pending = [
        play
        for play in _list_plays(options, variants, copies)
        if (play.variant, play.commit, play.site.stem, play.day, play.seed, options.cpu)
        not in done
    ]

    def run(play: DayPlay) -> int:
        why = f"{options.why}: {play.variant}"
        try:
            played = play_day(play, copies[play.variant], options.bench, why, reports)
        except (PlayError, subprocess.TimeoutExpired) as err:
            print(f"play failed: {err}", flush=True)
            return 1
        write_play(options.out, played)
        broken = " ".join(played.broken)
        print(
            f"{played.variant} {played.site} {played.day} {played.seed} "
            f"{played.worth:.3f} {broken}",
            flush=True,
        )
        return 0

    with ThreadPoolExecutor(options.jobs) as pool:
        failures = sum(pool.map(run, pending))
    for copy in copies.values():
        copy_journal(copy, ROOT)
    return 1 if failures else 0


def _list_plays(
    options: argparse.Namespace, variants: list[Variant], copies: dict[str, Path]
) -> list[DayPlay]:
    """Return all plays; those of the same seed, site and day are consecutive."""
    seeds: list[int | None] = [] if options.no_own_seed else [None]
    seeds += options.seed or []
    return [
        DayPlay(
            site=site.resolve(),
            day=day,
            seed=seed,
            variant=variant.name,
            commit=_read_head(copies[variant.name]),
            is_processor_charged=options.cpu,
        )
        for seed in seeds
        for site in options.site
        for day in options.day or _list_days(site)
        for variant in variants
    ]


def _list_days(site: Path) -> list[str]:
    days = tomllib.loads(site.read_text("utf-8"))["day"]
    return [day["name"] for day in days]


def _read_head(copy: Path) -> str:
    command = ["git", "rev-parse", "--short=7", "HEAD"]
    return subprocess.run(
        command, cwd=copy, capture_output=True, text=True
    ).stdout.strip()


if __name__ == "__main__":
    sys.exit(main())
