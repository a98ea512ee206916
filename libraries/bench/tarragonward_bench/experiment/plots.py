"""Plot the results of `script/experiment`."""

from __future__ import annotations

from pathlib import Path

import matplotlib

from .fleet import PolicyRun
from .site import Site

__all__ = ["draw"]

BIN_SECONDS = 0.5
DOT_SIZE = 9
FIGURE_INCHES = (11, 6)


def draw(site: Site, runs: list[PolicyRun], folder: Path) -> None:
    """Write three plots per policy into the folder."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for name, draw_one in (
        ("ttft", _draw_first_event),
        ("use", _draw_utilization),
        ("who", _draw_prefill_engines),
    ):
        for run in runs:
            figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
            draw_one(site, run, axes)
            axes.set_title(f"{site.name}, {run.policy}, seed {run.seed}")
            figure.tight_layout()
            figure.savefig(folder / f"{site.name}-{run.policy}-{name}.png")
            pyplot.close(figure)


def _draw_first_event(site: Site, run: PolicyRun, axes: matplotlib.axes.Axes) -> None:
    """Plot the time to first event by prompt length, and each kind's aim."""
    for kind in site.prompts:
        points = [
            (o.arrival.prompt_tokens, o.first_event_seconds)
            for o in run.outcomes
            if o.arrival.kind.name == kind.name and o.first_event_seconds is not None
        ]
        if not points:
            continue
        lengths, seconds = zip(*points, strict=True)
        dots = axes.scatter(lengths, seconds, s=DOT_SIZE, label=kind.name)
        axes.axhline(kind.aim_ms / 1_000, color=dots.get_facecolor()[0], linewidth=0.8)
    axes.set(xscale="log", yscale="log", xlabel="prompt tokens", ylabel="TTFT, s")
    axes.legend()


def _draw_utilization(site: Site, run: PolicyRun, axes: matplotlib.axes.Axes) -> None:
    """Plot each engine's share of time spent in passes, over time."""
    rows = []
    for _, passes in run.engines:
        end = max((span.end for span in passes), default=0.0)
        row = [0.0] * (int(end / BIN_SECONDS) + 1)
        for span in passes:
            row[int(span.begin / BIN_SECONDS)] += (span.end - span.begin) / BIN_SECONDS
        rows.append(row)
    width = max(map(len, rows), default=0)
    grid = [row + [0.0] * (width - len(row)) for row in rows]
    extent = (0, width * BIN_SECONDS, 0, len(grid))
    axes.imshow(grid, aspect="auto", vmin=0, vmax=1, extent=extent, origin="lower")
    axes.set(xlabel="s", ylabel="engine")


def _draw_prefill_engines(
    site: Site, run: PolicyRun, axes: matplotlib.axes.Axes
) -> None:
    """Plot which engines prefilled which kind of prompt when; helpers as crosses."""
    rows = {name: number for number, (name, _) in enumerate(run.engines)}
    for kind in site.prompts:
        outcomes = [
            o for o in run.outcomes if o.arrival.kind == kind and o.prefill_engines
        ]
        leaders = [(o.placed_at, rows[o.prefill_engines[0]]) for o in outcomes]
        helpers = [
            (o.placed_at, rows[n]) for o in outcomes for n in o.prefill_engines[1:]
        ]
        dots = axes.scatter(*zip(*leaders, strict=True), s=DOT_SIZE, label=kind.name)
        if helpers:
            colour = dots.get_facecolor()[0]
            axes.scatter(
                *zip(*helpers, strict=True), s=DOT_SIZE, marker="x", color=colour
            )
    axes.set(xlabel="s", ylabel="engine")
    axes.legend()
