"""Tabulate sweeps over fleets of growing size: `script/sweep [ENTRY...]`.

A sweep plays one day on some tens to hundreds of hosts; the journal's entry keeps its
table: for each size the middle and the greatest figure, the power of the number of
hosts with which the greatest grows, and where that leads at the size aimed for.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

__all__ = ["Figure", "Sweep", "format_sweep", "main", "read_sweep"]

COMMAND = "sweep"
JOURNAL = Path("journal")
PAIR = re.compile(r"(\S+) / (\S+)")
AIMED = re.compile(r"power\s+at (\d+)\s*$")
# What a host may spend on control; what a sweep shows has the serving work in it too.
BUDGETS = {
    "entry: processor %": 1.4,
    "entry: memory MB": 32.0,
    "entry: kB a second": 3.0,
    "config acked, ms": 8_000.0,
}


@dataclass(frozen=True)
class Figure:
    """One row: (middle, greatest) by size, how it grows, what is reckoned from it."""

    name: str
    by_size: tuple[tuple[float, float], ...]
    power: float
    reckoned: float

    @property
    def is_over(self) -> bool:
        """Return whether what is reckoned is over the budget, False without one."""
        budget = BUDGETS.get(self.name)
        return budget is not None and self.reckoned > budget


@dataclass(frozen=True)
class Sweep:
    """One entry of the journal; days are (hosts, targets, worth, served share)."""

    id: str
    site: str
    commit: str
    sizes: tuple[int, ...]
    days: tuple[tuple[int, int, float, float], ...]
    rules: tuple[str, ...]
    aimed: int
    figures: tuple[Figure, ...]


def read_sweep(entry: dict[str, Any]) -> Sweep:
    """Return the sweep of a journal's entry; raise ValueError where it has no table."""
    lines = entry["digest"].splitlines()
    heads = [n for n, line in enumerate(lines) if AIMED.search(line)]
    if not heads:
        raise ValueError(f"{entry['id']}: no table of a sweep")
    head = lines[heads[0]]
    aimed = AIMED.search(head)
    assert aimed is not None
    return Sweep(
        id=entry["id"],
        site=entry["site"],
        commit=entry["head"][:7],
        sizes=tuple(int(text) for text in head[: aimed.start()].split()),
        days=tuple(
            (day["balancers"], day["servers"], day["G"], day["served"])
            for day in entry["days"]
        ),
        rules=tuple(
            f"{day['name']}: {name}" for day in entry["days"] for name in day["rules"]
        ),
        aimed=int(aimed[1]),
        figures=tuple(_read_figures(lines[heads[0] + 1 :])),
    )


def _read_figures(lines: Sequence[str]) -> Iterator[Figure]:
    for line in lines:
        pairs = PAIR.findall(line)
        if not pairs:
            return
        name, _, _ = line.partition(" / ")
        power, reckoned = line.split()[-2:]
        yield Figure(
            name=name.rsplit(maxsplit=1)[0].strip(),
            by_size=tuple((float(middle), float(most)) for middle, most in pairs),
            power=float(power),
            reckoned=float(reckoned),
        )


def format_sweep(sweep: Sweep) -> str:
    """Return the sweep's tables in Markdown."""
    broken = ", ".join(sweep.rules) or "none"
    lines = [
        f"`{sweep.site}`, commit {sweep.commit}, entry {sweep.id}",
        f"rules broken: {broken}",
        "",
        "| hosts | targets | worth | served |",
        "| --- | --- | --- | --- |",
    ]
    lines += [
        f"| {hosts} | {targets} | {worth:.3f} | {served:.3f} |"
        for hosts, targets, worth, served in sweep.days
    ]
    sizes = " | ".join(map(str, sweep.sizes))
    lines += [
        "",
        f"| middle / greatest at | {sizes} | power | at {sweep.aimed} | budget |",
        "| --- |" + " --- |" * (len(sweep.sizes) + 3),
    ]
    lines += [_format_figure(figure) for figure in sweep.figures]
    return "\n".join(lines)


def _format_figure(figure: Figure) -> str:
    cells = " | ".join(f"{middle:g} / {most:g}" for middle, most in figure.by_size)
    budget = BUDGETS.get(figure.name)
    verdict = "-" if budget is None else f"{budget:g}"
    if figure.is_over:
        verdict += ", OVER"
    reckoned = f"{figure.power:g} | {figure.reckoned:g}"
    return f"| {figure.name} | {cells} | {reckoned} | {verdict} |"


def _draw(sweep: Sweep, path: Path) -> None:
    """Draw each figure's greatest value by size, against that of the first size."""
    figure, axes = plt.subplots(figsize=(8, 5))
    for row in sweep.figures:
        first = row.by_size[0][1]
        if first:
            shares = [most / first for _, most in row.by_size]
            axes.plot(sweep.sizes, shares, marker="o", label=row.name)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("hosts")
    axes.set_ylabel(f"greatest, against {sweep.sizes[0]} hosts")
    axes.legend(fontsize="small")
    figure.savefig(path)
    plt.close(figure)


def _find_entries(paths: Sequence[Path], site: str | None) -> list[dict[str, Any]]:
    """Return the entries named, else all whole sweeps of the journal, oldest first."""
    entries = []
    for path in paths or sorted(JOURNAL.glob("*.json")):
        text = path.read_text("utf-8")
        if f'"{COMMAND}"' not in text:
            continue
        entry = json.loads(text)
        if entry["cmd"] == COMMAND and entry["ok"] and site in (None, entry["site"]):
            entries.append(entry)
    return entries


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the tables; return the exit status, 1 where there is no sweep."""
    parser = argparse.ArgumentParser(prog="script/sweep", description=__doc__)
    parser.add_argument("entries", type=Path, nargs="*", help="files of the journal")
    parser.add_argument("--site", help="only sweeps of this site")
    parser.add_argument("--plot", type=Path, help="a file to draw the last one into")
    options = parser.parse_args(arguments)
    sweeps = [read_sweep(e) for e in _find_entries(options.entries, options.site)]
    for sweep in sweeps:
        print(format_sweep(sweep), end="\n\n")
    if not sweeps:
        print("no sweep found", file=sys.stderr)
        return 1
    if options.plot:
        _draw(sweeps[-1], options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
