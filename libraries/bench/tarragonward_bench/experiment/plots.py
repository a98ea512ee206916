"""Draw what a run of `script/experiment` showed."""

from __future__ import annotations

from pathlib import Path

import matplotlib

from .fleet import Played
from .site import Site

__all__ = ["draw"]

BIN_SECONDS = 0.5
DOT = 9
INCHES = (11, 6)


def draw(site: Site, plays: list[Played], folder: Path) -> None:
    """Draw three plots a policy into the folder."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for name, draw_one in (
        ("ttft", _draw_first),
        ("use", _draw_use),
        ("who", _draw_who),
    ):
        for played in plays:
            figure, axes = pyplot.subplots(figsize=INCHES)
            draw_one(site, played, axes)
            axes.set_title(f"{site.name}, {played.policy}, seed {played.seed}")
            figure.tight_layout()
            figure.savefig(folder / f"{site.name}-{played.policy}-{name}.png")
            pyplot.close(figure)


def _draw_first(site: Site, played: Played, axes: matplotlib.axes.Axes) -> None:
    """Time to first event by length, and each kind's aim."""
    for kind in site.prompts:
        points = [
            (o.arrival.prompt_tokens, o.first)
            for o in played.outcomes
            if o.arrival.kind.name == kind.name and o.first is not None
        ]
        if not points:
            continue
        lengths, seconds = zip(*points, strict=True)
        dots = axes.scatter(lengths, seconds, s=DOT, label=kind.name)
        axes.axhline(kind.aim_ms / 1_000, color=dots.get_facecolor()[0], linewidth=0.8)
    axes.set(xscale="log", yscale="log", xlabel="prompt tokens", ylabel="TTFT, s")
    axes.legend()


def _draw_use(site: Site, played: Played, axes: matplotlib.axes.Axes) -> None:
    """Each engine's share of time in passes, over time."""
    rows = []
    for _, busy in played.engines:
        end = max((span.end for span in busy), default=0.0)
        row = [0.0] * (int(end / BIN_SECONDS) + 1)
        for span in busy:
            row[int(span.begin / BIN_SECONDS)] += (span.end - span.begin) / BIN_SECONDS
        rows.append(row)
    width = max(map(len, rows), default=0)
    grid = [row + [0.0] * (width - len(row)) for row in rows]
    extent = (0, width * BIN_SECONDS, 0, len(grid))
    axes.imshow(grid, aspect="auto", vmin=0, vmax=1, extent=extent, origin="lower")
    axes.set(xlabel="s", ylabel="engine")


def _draw_who(site: Site, played: Played, axes: matplotlib.axes.Axes) -> None:
    """Which engine read which kind of prompt, when; helpers as crosses."""
    places = {name: number for number, (name, _) in enumerate(played.engines)}
    for kind in site.prompts:
        mine = [o for o in played.outcomes if o.arrival.kind == kind and o.readers]
        leads = [(o.placed_at, places[o.readers[0]]) for o in mine]
        helps = [(o.placed_at, places[n]) for o in mine for n in o.readers[1:]]
        dots = axes.scatter(*zip(*leads, strict=True), s=DOT, label=kind.name)
        if helps:
            colour = dots.get_facecolor()[0]
            axes.scatter(*zip(*helps, strict=True), s=DOT, marker="x", color=colour)
    axes.set(xlabel="s", ylabel="engine")
    axes.legend()
