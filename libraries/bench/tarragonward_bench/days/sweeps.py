"""Tabulate scaling sweeps over fleets of growing size: `script/sweep [ENTRY...]`.

A sweep plays one day on fleets of tens to hundreds of hosts. Its journal entry holds a
table with, for each metric, the median and the maximum at each size, the exponent of
the power law by which the maximum grows with the number of hosts, and the value that
this extrapolates to at the target size.
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

__all__ = ["ScalingMetric", "Sweep", "format_sweep", "main", "read_sweep"]

COMMAND = "sweep"
JOURNAL = Path("journal")
MEDIAN_AND_MAXIMUM = re.compile(r"(\S+) / (\S+)")
HEADER_END = re.compile(r"power\s+at (\d+)\s*$")
# Budgets for the control plane of a host; the values of a sweep include serving work.
BUDGETS = {
    "entry: processor %": 1.4,
    "entry: memory MB": 32.0,
    "entry: kB a second": 3.0,
    "config acked, ms": 8_000.0,
}


@dataclass(frozen=True)
class ScalingMetric:
    """One metric: (median, maximum) by size, scaling exponent and extrapolation."""

    name: str
    by_size: tuple[tuple[float, float], ...]
    exponent: float
    extrapolated: float

    @property
    def exceeds_budget(self) -> bool:
        """Return whether the extrapolated value exceeds the budget, if there is one."""
        budget = BUDGETS.get(self.name)
        return budget is not None and self.extrapolated > budget


@dataclass(frozen=True)
class Sweep:
    """Sweep of a journal entry; days are (hosts, targets, worth, served share)."""

    id: str
    site: str
    commit: str
    sizes: tuple[int, ...]
    days: tuple[tuple[int, int, float, float], ...]
    rules: tuple[str, ...]
    target_size: int
    metrics: tuple[ScalingMetric, ...]


def read_sweep(entry: dict[str, Any]) -> Sweep:
    """Return the sweep of a journal entry; raise ValueError if it has no table."""
    lines = entry["digest"].splitlines()
    headers = [n for n, line in enumerate(lines) if HEADER_END.search(line)]
    if not headers:
        raise ValueError(f"{entry['id']}: the entry has no table of a sweep")
    header = lines[headers[0]]
    target_size = HEADER_END.search(header)
    assert target_size is not None
    return Sweep(
        id=entry["id"],
        site=entry["site"],
        commit=entry["head"][:7],
        sizes=tuple(int(text) for text in header[: target_size.start()].split()),
        days=tuple(
            (day["balancers"], day["servers"], day["G"], day["served"])
            for day in entry["days"]
        ),
        rules=tuple(
            f"{day['name']}: {name}" for day in entry["days"] for name in day["rules"]
        ),
        target_size=int(target_size[1]),
        metrics=tuple(_parse_metrics(lines[headers[0] + 1 :])),
    )


def _parse_metrics(lines: Sequence[str]) -> Iterator[ScalingMetric]:
    for line in lines:
        pairs = MEDIAN_AND_MAXIMUM.findall(line)
        if not pairs:
            return
        name, _, _ = line.partition(" / ")
        exponent, extrapolated = line.split()[-2:]
        yield ScalingMetric(
            name=name.rsplit(maxsplit=1)[0].strip(),
            by_size=tuple((float(median), float(maximum)) for median, maximum in pairs),
            exponent=float(exponent),
            extrapolated=float(extrapolated),
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
        f"| middle / greatest at | {sizes} | power | at {sweep.target_size} | budget |",
        "| --- |" + " --- |" * (len(sweep.sizes) + 3),
    ]
    lines += [_format_metric(figure) for figure in sweep.metrics]
    return "\n".join(lines)


def _format_metric(figure: ScalingMetric) -> str:
    cells = " | ".join(
        f"{median:g} / {maximum:g}" for median, maximum in figure.by_size
    )
    budget = BUDGETS.get(figure.name)
    verdict = "-" if budget is None else f"{budget:g}"
    if figure.exceeds_budget:
        verdict += ", OVER"
    extrapolated = f"{figure.exponent:g} | {figure.extrapolated:g}"
    return f"| {figure.name} | {cells} | {extrapolated} | {verdict} |"


def _plot(sweep: Sweep, path: Path) -> None:
    """Plot the maximum of each metric by size, relative to the first size."""
    figure, axes = plt.subplots(figsize=(8, 5))
    for row in sweep.metrics:
        first = row.by_size[0][1]
        if first:
            shares = [maximum / first for _, maximum in row.by_size]
            axes.plot(sweep.sizes, shares, marker="o", label=row.name)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("hosts")
    axes.set_ylabel(f"greatest, against {sweep.sizes[0]} hosts")
    axes.legend(fontsize="small")
    figure.savefig(path)
    plt.close(figure)


def _find_entries(paths: Sequence[Path], site: str | None) -> list[dict[str, Any]]:
    """Return the given sweeps, or all successful ones in the journal, oldest first."""
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
    """Print the tables; return the exit status, 1 if there is no sweep."""
    parser = argparse.ArgumentParser(prog="script/sweep", description=__doc__)
    parser.add_argument("entries", type=Path, nargs="*", help="journal files")
    parser.add_argument("--site", help="only sweeps of this site")
    parser.add_argument(
        "--plot", type=Path, help="write a plot of the last sweep to this file"
    )
    options = parser.parse_args(arguments)
    sweeps = [read_sweep(e) for e in _find_entries(options.entries, options.site)]
    for sweep in sweeps:
        print(format_sweep(sweep), end="\n\n")
    if not sweeps:
        print("no sweep found", file=sys.stderr)
        return 1
    if options.plot:
        _plot(sweeps[-1], options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
