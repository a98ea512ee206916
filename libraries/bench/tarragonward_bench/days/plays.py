"""Run the users' benchmark in a copy of the workspace and parse its report."""

from __future__ import annotations

import dataclasses
import json
import shutil
import subprocess
from pathlib import Path
from typing import Any

__all__ = ["DayPlay", "PlayedDay", "PlayError", "play_day", "read_plays", "write_play"]

PLAY_SECONDS = 900


class PlayError(Exception):
    """Raised if the benchmark wrote no report."""


@dataclasses.dataclass(frozen=True)
class DayPlay:
    """Day to be played; without a seed, the day's own seed is used."""

    site: Path
    day: str
    seed: int | None
    variant: str
    commit: str
    is_processor_charged: bool = False


@dataclasses.dataclass(frozen=True)
class PlayedDay:
    """Result of a day: worth, its parts, shares in aim and broken rules."""

    variant: str
    commit: str
    site: str
    day: str
    seed: int | None
    is_processor_charged: bool
    worth: float
    served: float
    parts: dict[str, float]
    in_aim: dict[str, float]
    prices: dict[str, float]
    broken: tuple[str, ...]
    entry: str


def play_day(play: DayPlay, copy: Path, bench: str, why: str, out: Path) -> PlayedDay:
    """Play a day in a copy; raise PlayError if the benchmark writes no report."""
    stem = f"{play.site.stem}-{Path(play.day).stem}-{play.seed or 'own'}"
    report = out / f"{play.variant}-{stem}.json"
    report.unlink(missing_ok=True)
    command = [bench, "run", str(play.site), play.day, "--jobs", "1"]
    command += ["--report", str(report), "--why", why]
    if not play.is_processor_charged:
        command.append("--no-cpu")
    if play.seed is not None:
        command += ["--seed", str(play.seed)]
    before = set((copy / "journal").glob("*.json"))
    done = subprocess.run(
        command, cwd=copy, capture_output=True, text=True, timeout=PLAY_SECONDS
    )
    if not report.exists():
        raise PlayError(f"{play}: {(done.stdout + done.stderr)[-500:]}")
    entry = _find_entry(copy, before, play)
    return _read_report(play, json.loads(report.read_text("utf-8")), entry)


def _find_entry(copy: Path, before: set[Path], play: DayPlay) -> str:
    # Concurrent plays of one copy each add an entry.
    for path in sorted(set((copy / "journal").glob("*.json")) - before, reverse=True):
        entry = json.loads(path.read_text("utf-8"))
        argv = entry["argv"]
        is_seed = play.seed is None or str(play.seed) in argv
        if is_seed and play.day in argv and entry["site"] == play.site.stem:
            return path.stem
    return ""


def _read_report(play: DayPlay, report: dict[str, Any], entry: str) -> PlayedDay:
    return PlayedDay(
        variant=play.variant,
        commit=play.commit,
        site=play.site.stem,
        day=play.day,
        seed=play.seed,
        is_processor_charged=play.is_processor_charged,
        worth=report["G"],
        served=report["served"],
        parts={name: value for name, _, value in report["parts"]},
        in_aim={
            each["name"]: round(
                each["in_aim"] / max(each["n"] - each["not_owed"], 1), 4
            )
            for each in report["classes"]
        },
        prices={name: worth for name, _, worth in report["prices"] if worth},
        broken=tuple(sorted(report["breaks"])),
        entry=entry,
    )


def copy_journal(copy: Path, root: Path) -> int:
    """Copy new journal entries into the repository; return the number of files."""
    new = 0
    for path in (copy / "journal").rglob("*"):
        kept = root / "journal" / path.relative_to(copy / "journal")
        if path.is_file() and not kept.exists():
            kept.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(path, kept)
            new += 1
    return new


def write_play(path: Path, played: PlayedDay) -> None:
    """Append a result to a JSON Lines file."""
    with path.open("a", encoding="utf-8") as file:
        file.write(json.dumps(dataclasses.asdict(played)) + "\n")


def read_plays(path: Path) -> list[PlayedDay]:
    """Return the results in a JSON Lines file."""
    if not path.exists():
        return []
    rows = [json.loads(line) for line in path.read_text("utf-8").splitlines()]
    return [PlayedDay(**{**row, "broken": tuple(row["broken"])}) for row in rows]
