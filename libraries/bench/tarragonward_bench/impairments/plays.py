"""Play the days of `impairments.days` sequentially with the users' benchmark.

`write` generates deploy/days/; `play` plays each day that the --out file does not yet
contain and appends the result as a JSON line; `table` formats such a file as rows of
docs/PLATFORM.md.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import re
import subprocess
import sys
import tomllib
from pathlib import Path

from .days import KINDS, LONGEST_CLASS, PAIRS, PAIRS_FOLDER, write_days

ROOT = Path(__file__).resolve().parents[4]
DAYS = ROOT / "deploy" / "days"
TARGET = ROOT / "target" / "kinds"
WORTH = re.compile(r"^worth (-?[\d.]+)", re.MULTILINE)
NO_RESULT = "NO RESULT"


@dataclasses.dataclass(frozen=True)
class Play:
    """Result of a day, as stored in the results file."""

    site: str
    day: str
    worth: float | None
    broken: tuple[str, ...]
    exit: int = 0
    seed: int | None = None


def play_days(options: argparse.Namespace) -> None:
    """Play the given days, by default all, that the results file doesn't contain."""
    out = Path(options.out)
    played = {(play.site, play.day, play.seed) for play in read_plays(out)}
    for seed in options.seed or [None]:
        for name in options.day or get_day_names(options.pairs):
            for site in options.site:
                if (Path(site).stem, name, seed) in played:
                    continue
                play = play_day(options.bench, Path(site), name, seed)
                with out.open("a", encoding="utf-8") as file:
                    file.write(json.dumps(dataclasses.asdict(play)) + "\n")


def get_day_names(with_pairs: bool) -> list[str]:
    """Return the names of all days with pairs, or of all with a single impairment."""
    if with_pairs:
        return [f"{PAIRS_FOLDER}/{name}" for name in PAIRS]
    return [*KINDS, *(f"{name}-twice" for name in KINDS)]


def play_day(bench: str, site: Path, name: str, seed: int | None) -> Play:
    """Play one day; its output with all host logs is written to target/kinds."""
    label = f"{site.stem}-{name.replace('/', '-')}-{seed or 'own'}"
    day = prepare_day(DAYS / f"{name}.toml", site, TARGET / f"{label}.toml")
    why = f"kinds: {name}"
    command = [bench, "run", str(site), str(day.relative_to(ROOT)), "--no-cpu"]
    command += ["--jobs", "2", "--log", "all", "--why", why]
    if seed is not None:
        command += ["--seed", str(seed)]
    before = set((ROOT / "journal").glob("*.json"))
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    text = done.stdout + done.stderr
    (TARGET / f"{label}.txt").write_text(text, encoding="utf-8")
    worth = WORTH.search(text)
    return Play(
        site=site.stem,
        day=name,
        worth=float(worth[1]) if worth else None,
        broken=read_broken_rules(set((ROOT / "journal").glob("*.json")) - before, why),
        exit=done.returncode,
        seed=seed,
    )


def prepare_day(day: Path, site: Path, copy: Path) -> Path:
    """Return the day file, or a copy in which the placeholder is the site's class."""
    text = day.read_text("utf-8")
    copy.parent.mkdir(parents=True, exist_ok=True)
    if LONGEST_CLASS not in text:
        return day
    classes = tomllib.loads(site.read_text("utf-8"))["classes"]
    longest = max(classes, key=lambda entry: entry["worth"])
    copy.write_text(text.replace(LONGEST_CLASS, longest["name"]), encoding="utf-8")
    return copy


def read_broken_rules(entries: set[Path], why: str) -> tuple[str, ...]:
    """Return the rules broken by the newest of the given journal entries with `why`.

    The journal may receive entries of other plays while a day is played.
    """
    read = [json.loads(path.read_text("utf-8")) for path in sorted(entries)]
    days = [day for entry in read if entry["why"] == why for day in entry["days"]]
    return tuple(sorted(days[-1]["rules"])) if days else (NO_RESULT,)


def read_plays(path: Path) -> list[Play]:
    """Return the results in a results file."""
    if not path.exists():
        return []
    rows = [json.loads(line) for line in path.read_text("utf-8").splitlines()]
    return [Play(**{**row, "broken": tuple(row["broken"])}) for row in rows]


def format_table(plays: list[Play]) -> str:
    """Return a Markdown table of worth and broken rules, by day, site and seed."""
    columns = sorted({(play.site, play.seed or 0) for play in plays})
    cells = {(play.day, play.site, play.seed or 0): play for play in plays}
    headers = [f"{site}, {seed or 'own seed'}" for site, seed in columns]
    lines = [
        "| day | " + " | ".join(headers) + " |",
        "| --- |" + " --- |" * len(headers),
    ]
    for day in dict.fromkeys(play.day for play in plays):
        row = [format_cell(cells.get((day, *column))) for column in columns]
        lines.append(f"| {day.removeprefix('pairs/')} | " + " | ".join(row) + " |")
    return "\n".join(lines)


def format_cell(play: Play | None) -> str:
    """Format a table cell."""
    if play is None:
        return "not run"
    worth = "no figure" if play.worth is None else f"{play.worth:.3f}"
    return " ".join([worth, *(f"**{rule}**" for rule in play.broken)])


def main() -> int:
    """Run the selected job."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("job", choices=("write", "play", "table"))
    parser.add_argument("site", nargs="*", help="site files, for play")
    parser.add_argument("--bench", help="the users' benchmark program")
    parser.add_argument("--day", action="append", help="play only this day")
    parser.add_argument("--pairs", action="store_true", help="play the days with pairs")
    parser.add_argument(
        "--seed", action="append", type=int, help="overrides the day's seed"
    )
    parser.add_argument("--out", default=str(ROOT / "target" / "kinds.jsonl"))
    options = parser.parse_args()
    match options.job:
        case "write":
            write_days(DAYS)
        case "play":
            play_days(options)
        case "table":
            print(format_table(read_plays(Path(options.out))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
