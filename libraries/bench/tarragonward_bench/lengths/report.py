"""Compute and print the results of `script/measure lengths`."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from tarragonward_core import LENGTH_CLASSES, get_length_class
from tarragonward_placement import share_by_weight

from .fleet import Result

__all__ = ["Summary", "compute_quantile", "draw_ttft", "print_table", "summarize"]

SHORT_CLASS = LENGTH_CLASSES[0][1]
CLASS_NAMES = tuple(name for _, name in LENGTH_CLASSES)
LONG_CLASSES = CLASS_NAMES[2:]
QUANTILES = (0.5, 0.95, 0.99)


@dataclass(frozen=True)
class Summary:
    """The results of one policy in one run; times in seconds, shares from 0 to 1."""

    ttft: dict[str, tuple[float, ...]]
    in_time: float
    in_time_by_class: dict[str, float]
    jain: float
    long_admitted: int
    long_finished: float
    refusal_count: int
    leaked_tokens: int
    small_short_p95: float


def compute_quantile(values: Sequence[float], quantile: float) -> float:
    """Return the nearest-rank quantile, or NaN for no values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    rank = max(math.ceil(quantile * len(ordered)) - 1, 0)
    return ordered[rank]


def summarize(
    results: Iterable[Result], weights: dict[str, float], leaked_tokens: int
) -> Summary:
    """Return a run's figures.

    A request without a first token counts with its full time limit, so that a policy
    gains nothing by refusing requests.
    """
    results = list(results)
    times: dict[str, list[float]] = defaultdict(list)
    ends: dict[str, list[bool]] = defaultdict(list)
    small_short = []
    for result in results:
        name = get_length_class(result.arrival.prompt_tokens)
        seconds = _get_ttft(result)
        times[name].append(seconds)
        ends[name].append(result.finished_seconds is not None)
        if name == SHORT_CLASS and result.arrival.account.startswith("small"):
            small_short.append(seconds)
    long_results = [
        result
        for result in results
        if result.was_admitted
        and get_length_class(result.arrival.prompt_tokens) in LONG_CLASSES
    ]
    finished = sum(result.finished_seconds is not None for result in long_results)
    return Summary(
        ttft={
            name: tuple(compute_quantile(times[name], q) for q in QUANTILES)
            for name in CLASS_NAMES
        },
        in_time=_compute_share(r.finished_seconds is not None for r in results),
        in_time_by_class={name: _compute_share(ends[name]) for name in CLASS_NAMES},
        jain=_compute_jain(results, weights),
        long_admitted=len(long_results),
        long_finished=finished / len(long_results) if long_results else 1.0,
        refusal_count=sum(result.refusal_count for result in results),
        leaked_tokens=leaked_tokens,
        small_short_p95=compute_quantile(small_short, 0.95),
    )


def _get_ttft(result: Result) -> float:
    if result.ttft_seconds is None:
        return result.arrival.time_limit_seconds
    return result.ttft_seconds


def _compute_share(flags: Iterable[bool]) -> float:
    flags = list(flags)
    return sum(flags) / len(flags) if flags else 1.0


def _compute_jain(results: list[Result], weights: dict[str, float]) -> float:
    """Return Jain's fairness index of the accounts' served tokens.

    Each is taken relative to the account's weighted max-min share of all served tokens.
    """
    requested: dict[str, float] = defaultdict(float)
    served: dict[str, float] = defaultdict(float)
    for result in results:
        tokens = result.arrival.prompt_tokens
        requested[result.arrival.account] += tokens
        if result.finished_seconds is not None:
            served[result.arrival.account] += tokens
    shares = share_by_weight(sum(served.values()), requested, weights)
    ratios = [served[name] / shares[name] for name in requested if shares[name]]
    squares = sum(ratio * ratio for ratio in ratios)
    return sum(ratios) ** 2 / (len(ratios) * squares) if squares else 0.0


def print_table(title: str, rows: dict[str, list[Summary]]) -> None:
    """Print one scenario: a line per policy, means over the seeds."""
    print(f"\n{title}")
    print(
        f"  {'policy':<16}"
        + "".join(f"{name + ' p50/p95/p99':>25}" for name in CLASS_NAMES)
        + f"{'in time':>9}{'Jain':>7}{'small p95':>10}{'long fin.':>10}{'refused':>8}"
    )
    for policy, summaries in rows.items():
        cells = "".join(
            f"{_format_quantiles(summaries, name):>25}" for name in CLASS_NAMES
        )
        print(
            f"  {policy:<16}{cells}"
            f"{_mean(s.in_time for s in summaries):>9.4f}"
            f"{_mean(s.jain for s in summaries):>7.3f}"
            f"{_mean(s.small_short_p95 for s in summaries):>10.2f}"
            f"{_mean(s.long_finished for s in summaries):>10.4f}"
            f"{_mean(s.refusal_count for s in summaries):>8.0f}"
        )


def _format_quantiles(summaries: list[Summary], name: str) -> str:
    means = (
        _mean(summary.ttft[name][at] for summary in summaries)
        for at in range(len(QUANTILES))
    )
    return "/".join(f"{mean:.2f}" for mean in means)


def _mean(values: Iterable[float]) -> float:
    values = list(values)
    return sum(values) / len(values)


def draw_ttft(path: Path, tables: dict[str, dict[str, list[Summary]]]) -> None:
    """Plot the TTFT p95 by length class of each scenario and policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(tables), 1, figsize=(11, 2.6 * len(tables)), squeeze=False
    )
    for axis, (title, rows) in zip(axes[:, 0], tables.items(), strict=True):
        width = 0.8 / len(rows)
        for index, (policy, summaries) in enumerate(rows.items()):
            heights = [_mean(s.ttft[n][1] for s in summaries) for n in CLASS_NAMES]
            positions = [at + index * width for at in range(len(CLASS_NAMES))]
            axis.bar(positions, heights, width, label=policy)
        axis.set_yscale("log")
        axis.set_xticks(range(len(CLASS_NAMES)), CLASS_NAMES)
        axis.set_ylabel("TTFT p95, s")
        axis.set_title(title, fontsize=9)
    axes[0, 0].legend(fontsize=6, ncols=4)
    figure.tight_layout()
    figure.savefig(path)
