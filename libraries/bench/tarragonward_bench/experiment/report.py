"""Compute and print the results of `script/experiment`."""

from __future__ import annotations

import math
import statistics
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from tarragonward_core import get_length_class

from ..lengths.report import compute_quantile
from .arrivals import Outcome, compute_size
from .fleet import PolicyRun
from .site import PromptKind, Site

__all__ = [
    "KindFigures",
    "compute_worth",
    "print_changes",
    "print_policies",
    "print_predictions",
    "summarize",
]

BASE_WORTH = 0.3
SIZE_WORTH = 0.7
MAX_WORTH = 4.0
QUANTILES = (0.5, 0.95, 0.99)
ALL = "all"
MILLISECONDS = 1_000
ERROR_QUANTILES = (0.05, 0.5, 0.95)
ERROR_TITLES = f"{'p5':>9}{'p50':>9}{'p95':>9}{'size p50':>9}{'size p95':>9}"


@dataclass(frozen=True)
class KindFigures:
    """The results of one kind of request; shares from 0 to 1, times in seconds.

    A request without a first event counts with its full deadline in the times.
    """

    request_count: int
    in_aim: float
    worth: float
    first_event_seconds: tuple[float, ...]
    longest_pause: float


def compute_worth(outcome: Outcome, factor: float) -> tuple[float, float]:
    """Return the worth that a request earned, and the most it could have earned."""
    kind = outcome.arrival.kind
    possible = kind.worth * factor
    if not outcome.is_complete or outcome.first_event_seconds is None:
        return 0.0, possible
    if _is_in_aim(outcome):
        return possible, possible
    return kind.late_worth * factor, possible


def summarize(site: Site, outcomes: Sequence[Outcome]) -> dict[str, KindFigures]:
    """Return the figures of each kind and of all requests."""
    by_kind: dict[str, list[tuple[Outcome, float]]] = defaultdict(list)
    for outcome, factor in _compute_factors(site, outcomes):
        by_kind[outcome.arrival.kind.name].append((outcome, factor))
        by_kind[ALL].append((outcome, factor))
    names = [kind.name for kind in (*site.prompts, *site.calls)]
    return {
        name: _summarize_kind(by_kind[name]) for name in (*names, ALL) if by_kind[name]
    }


def print_policies(site: Site, runs: Sequence[PolicyRun]) -> None:
    """Print a table per kind of request: a line per policy, means over the seeds."""
    figures: dict[str, dict[str, list[KindFigures]]] = defaultdict(dict)
    speeds: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        for kind, kind_figures in summarize(site, run.outcomes).items():
            figures[kind].setdefault(run.policy, []).append(kind_figures)
        if run.decision_seconds:
            speeds[run.policy].append(run.decisions / run.decision_seconds)
    for kind, policies in figures.items():
        print(f"\n{site.name}, {kind}")
        print(
            f"{'policy':20}{'asked':>7}{'in aim':>8}{'worth':>8}{'+-':>7}"
            f"{'p50 s':>8}{'p95 s':>8}{'p99 s':>8}{'pause s':>9}"
        )
        for policy, seeds in policies.items():
            print(_format_line(policy, seeds))
    print_changes(site, runs)
    print_predictions(runs)
    print("\ndecisions a second of one host's processor")
    for policy, values in speeds.items():
        print(f"{policy:20}{statistics.mean(values):9.0f}")


def print_changes(site: Site, runs: Sequence[PolicyRun]) -> None:
    """Print the difference of each policy from the first one, paired by seed.

    All policies of a seed get the same arrivals, so the paired differences vary far
    less than the results of different seeds.
    """
    by_policy: dict[str, dict[int, dict[str, KindFigures]]] = defaultdict(dict)
    for run in runs:
        by_policy[run.policy][run.seed] = summarize(site, run.outcomes)
    baseline, *others = by_policy
    if not others or len(by_policy[baseline]) < 2:
        return
    print(f"\nagainst {baseline}, by seed: mean change +- its standard error")
    names = [kind.name for kind in site.prompts] + [ALL]
    print(f"{'policy':20}{'':8}" + "".join(f"{name:>20}" for name in names))
    for policy in others:
        for field in ("worth", "in_aim"):
            line = f"{policy:20}{field:8}"
            for name in names:
                changes = [
                    getattr(by_policy[policy][seed][name], field)
                    - getattr(figures[name], field)
                    for seed, figures in by_policy[baseline].items()
                    if name in figures
                ]
                line += f"{_format_change(changes):>20}"
            print(line)


def _format_change(changes: Sequence[float]) -> str:
    if len(changes) < 2:
        return "-"
    error = statistics.stdev(changes) / math.sqrt(len(changes))
    return f"{statistics.mean(changes):+.3f} +- {error:.3f}"


def print_predictions(runs: Sequence[PolicyRun]) -> None:
    """Print the prediction errors of first events, in milliseconds."""
    errors: dict[tuple[str, str], list[float]] = defaultdict(list)
    for run in runs:
        for outcome in run.outcomes:
            if outcome.predicted_seconds is None or outcome.observed_seconds is None:
                continue
            length = get_length_class(outcome.arrival.prompt_tokens)
            error = outcome.observed_seconds - outcome.predicted_seconds
            errors[run.policy, length].append(error * MILLISECONDS)
    if not errors:
        return
    print("\nfirst event, seen less predicted, ms")
    print(f"{'policy':20}{'prompts':>12}{'seen':>7}" + ERROR_TITLES)
    for (policy, length), values in sorted(errors.items()):
        sizes = [abs(value) for value in values]
        figures = [compute_quantile(values, q) for q in ERROR_QUANTILES]
        figures += [compute_quantile(sizes, q) for q in (0.5, 0.95)]
        print(
            f"{policy:20}{length:>12}{len(values):7}"
            + "".join(f"{value:9.1f}" for value in figures)
        )


def _compute_factors(
    site: Site, outcomes: Sequence[Outcome]
) -> list[tuple[Outcome, float]]:
    sizes: dict[str, list[float]] = defaultdict(list)
    for outcome in outcomes:
        sizes[outcome.arrival.kind.name].append(_get_size(site, outcome))
    means = {name: statistics.mean(values) for name, values in sizes.items()}
    return [
        (outcome, _compute_factor(outcome, _get_size(site, outcome), means))
        for outcome in outcomes
    ]


def _get_size(site: Site, outcome: Outcome) -> float:
    arrival = outcome.arrival
    return compute_size(site, arrival.prompt_tokens, arrival.events)


def _compute_factor(outcome: Outcome, size: float, means: dict[str, float]) -> float:
    if not isinstance(outcome.arrival.kind, PromptKind):
        return 1.0
    share = size / means[outcome.arrival.kind.name]
    return min(BASE_WORTH + SIZE_WORTH * share, MAX_WORTH)


def _is_in_aim(outcome: Outcome) -> bool:
    kind = outcome.arrival.kind
    if outcome.first_event_seconds is None or not outcome.is_complete:
        return False
    if outcome.first_event_seconds > kind.aim_ms / 1_000:
        return False
    is_prompt = isinstance(kind, PromptKind)
    return not is_prompt or outcome.longest_pause <= kind.pause_aim_ms / 1_000


def _summarize_kind(pairs: list[tuple[Outcome, float]]) -> KindFigures:
    earned = possible = 0.0
    times = []
    for outcome, factor in pairs:
        earned_worth, possible_worth = compute_worth(outcome, factor)
        earned, possible = earned + earned_worth, possible + possible_worth
        deadline = outcome.arrival.kind.deadline_ms / 1_000
        times.append(
            deadline
            if outcome.first_event_seconds is None
            else outcome.first_event_seconds
        )
    return KindFigures(
        request_count=len(pairs),
        in_aim=sum(_is_in_aim(outcome) for outcome, _ in pairs) / len(pairs),
        worth=earned / possible,
        first_event_seconds=tuple(compute_quantile(times, q) for q in QUANTILES),
        longest_pause=max(outcome.longest_pause for outcome, _ in pairs),
    )


def _format_line(policy: str, seeds: list[KindFigures]) -> str:
    def mean(values: Iterable[float]) -> float:
        return statistics.mean(list(values))

    worths = [f.worth for f in seeds]
    spread = statistics.stdev(worths) if len(worths) > 1 else math.nan
    quantiles = [
        mean(f.first_event_seconds[n] for f in seeds) for n in range(len(QUANTILES))
    ]
    return (
        f"{policy:20}{mean(f.request_count for f in seeds):7.0f}"
        f"{mean(f.in_aim for f in seeds):8.3f}{mean(worths):8.3f}{spread:7.3f}"
        + "".join(f"{value:8.3f}" for value in quantiles)
        + f"{max(f.longest_pause for f in seeds):9.3f}"
    )
