"""Paired comparison of plays of the same site, day and seed."""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from .plays import PlayedDay

__all__ = ["Change", "compute_change", "format_table", "get_worth"]

Measure = Callable[[PlayedDay], float]


def get_worth(played: PlayedDay) -> float:
    """Return the worth of a day: payoff minus prices."""
    return played.worth


@dataclass(frozen=True)
class Change:
    """Mean change over pairs, its standard error and the number of pairs."""

    mean: float
    error: float
    pairs: int

    def __str__(self) -> str:
        """Return the text of a table cell."""
        if not self.pairs:
            return "not run"
        error = "" if math.isnan(self.error) else f" ± {self.error:.3f}"
        return f"{self.mean:+.3f}{error} ({self.pairs})"


def compute_change(
    reference: Iterable[PlayedDay], changed: Iterable[PlayedDay], measure: Measure
) -> Change:
    """Return the change of a measure over plays that exist on both sides."""
    before = {_get_key(played): measure(played) for played in reference}
    after = {_get_key(played): measure(played) for played in changed}
    changes = [after[key] - before[key] for key in after if key in before]
    if not changes:
        return Change(math.nan, math.nan, 0)
    error = math.nan
    if len(changes) > 1:
        error = statistics.stdev(changes) / math.sqrt(len(changes))
    return Change(statistics.fmean(changes), error, len(changes))


def format_table(plays: Sequence[PlayedDay], reference: str, measure: Measure) -> str:
    """Return a Markdown table: a row per variant, a column per site.

    The row of the reference holds means, the others hold changes against it.
    """
    sites = sorted({played.site for played in plays})
    variants = dict.fromkeys(played.variant for played in plays)
    lines = [f"| variant | {' | '.join(sites)} | rules broken |"]
    lines.append("| --- |" + " --- |" * (len(sites) + 1))
    for variant in variants:
        cells = [
            _format_cell(
                [p for p in plays if p.variant == reference and p.site == site],
                [p for p in plays if p.variant == variant and p.site == site],
                measure,
                variant == reference,
            )
            for site in sites
        ]
        broken = sum(bool(p.broken) for p in plays if p.variant == variant)
        lines.append(f"| {variant} | {' | '.join(cells)} | {broken} |")
    return "\n".join(lines)


def _format_cell(
    reference: list[PlayedDay],
    changed: list[PlayedDay],
    measure: Measure,
    is_reference: bool,
) -> str:
    if is_reference and reference:
        return f"{statistics.fmean(map(measure, reference)):.3f} ({len(reference)})"
    return str(compute_change(reference, changed, measure))


def _get_key(played: PlayedDay) -> tuple[str, str, int | None, bool]:
    return played.site, played.day, played.seed, played.is_processor_charged
