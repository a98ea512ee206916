"""Classify a day's lost requests by the hosts' logs: `script/losses REPORT LOG`.

REPORT is the users' benchmark's report of a day, LOG its output with `--log all`.
Each request that missed its aim gets the first matching cause, in the order of CAUSES.
The total is printed next to the report's count of late, refused and failed requests.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

from tarragonward_cli.log_lines import LogLine, parse_line  # noqa: E402

from .bounds import compute_bound, print_bound  # noqa: E402

__all__ = ["LostRequest", "find_cause", "main", "read_losses"]

EVENT_ENDED = "request_ended"
ANSWERED = "answered"
CALLER_LEFT = "caller left"
REFUSALS = ("OVERLOADED", "UNAVAILABLE", "ACCOUNT_LIMIT")
UNREACHABLE_FAULTS = ("not connected", "lost", "silent", "spoiled")
MIN_SERVER_ERROR_STATUS = 500
WINDOW_SECONDS = 2
# Optional prefix of a log line: seconds since the traffic began.
TRAFFIC_SECONDS_PREFIX = re.compile(r"^\s*(-?[0-9.]+) ")


@dataclass(frozen=True)
class LostRequest:
    """Request that missed its aim, as logged by its host; times in seconds."""

    at: float
    host: str
    outcome: str
    status: int
    prompt_tokens: int
    first: float | None
    predicted: float | None
    pause: float
    aim: float
    pause_aim: float
    held_up: float
    faults: tuple[str, ...]
    target: str
    readers: int
    seconds: float = 0.0

    @property
    def received_at(self) -> float:
        """Return when the host received the request; at is when it ended."""
        return self.at - self.seconds

    @property
    def was_in_time(self) -> bool:
        """Return whether the caller got the complete answer in time."""
        is_whole = self.outcome == ANSWERED and self.status < MIN_SERVER_ERROR_STATUS
        return is_whole and not self.is_late and not self.has_long_pause

    @property
    def is_late(self) -> bool:
        """Return whether the first event, or the answer to a call, came too late."""
        elapsed = self.first
        if elapsed is None and not self.prompt_tokens and self.outcome == ANSWERED:
            elapsed = self.seconds
        return elapsed is None or elapsed > self.aim

    @property
    def has_long_pause(self) -> bool:
        """Return whether a pause between events exceeded its aim."""
        return bool(self.pause_aim) and self.pause > self.pause_aim

    @property
    def kind(self) -> str:
        """Return the kind of request: prompt or call, and its aim."""
        return f"{'prompt' if self.prompt_tokens else 'call'}, aim {self.aim:g} s"


Check = Callable[[LostRequest], bool]

CAUSES: dict[str, Check] = {
    "refused": lambda r: r.outcome in REFUSALS,
    "failed by its target": lambda r: (
        r.status >= MIN_SERVER_ERROR_STATUS and not r.prompt_tokens
    ),
    "out of reach": lambda r: any(fault in UNREACHABLE_FAULTS for fault in r.faults),
    "late as placed": lambda r: (
        r.is_late and r.predicted is not None and r.predicted > r.aim
    ),
    "held up by a later reading": lambda r: (
        r.held_up > (r.aim if r.first is None else r.pause_aim or r.aim)
    ),
    "pause broken otherwise": lambda r: r.first is not None and r.has_long_pause,
    "left by its caller": lambda r: r.outcome == CALLER_LEFT,
    "late though predicted in time": lambda r: r.is_late,
    "ended without an answer": lambda r: r.outcome != ANSWERED,
}


def find_cause(request: LostRequest) -> str | None:
    """Return why a request was lost, or None if it was in time."""
    if request.was_in_time:
        return None
    return next((name for name, fits in CAUSES.items() if fits(request)), None)


def read_losses(lines: Iterable[str]) -> Iterator[LostRequest]:
    """Yield the request_ended events of a log."""
    for text in lines:
        line = parse_line(text)
        if line is None or line.event != EVENT_ENDED or "aim" not in line.fields:
            continue
        simulated = TRAFFIC_SECONDS_PREFIX.match(text)
        yield _build(line, float(simulated[1]) if simulated else line.up)


def _build(line: LogLine, at: float) -> LostRequest:
    fields = line.fields

    def read(name: str) -> float:
        return float(fields.get(name, 0.0))

    return LostRequest(
        at=at,
        host=line.host,
        outcome=fields.get("outcome", ""),
        status=int(fields.get("status", 0)),
        prompt_tokens=int(fields.get("prompt_tokens", 0)),
        first=read("first_event") if "first_event" in fields else None,
        predicted=read("predicted") if "predicted" in fields else None,
        pause=read("worst_pause"),
        aim=read("aim"),
        pause_aim=read("pause_aim"),
        held_up=read("held_up"),
        faults=tuple(filter(None, fields.get("faults", "").split(","))),
        target=fields.get("target", ""),
        readers=int(fields.get("readers", 0)),
        seconds=read("seconds"),
    )


def _print_table(title: str, rows: Counter[tuple[str, str]]) -> None:
    columns = [name for name in CAUSES if any(cause == name for _, cause in rows)]
    print(f"\n| {title} | {' | '.join(columns)} |")
    print("| --- |" + " --- |" * len(columns))
    for name in dict.fromkeys(name for name, _ in sorted(rows)):
        cells = " | ".join(str(rows[name, cause]) for cause in columns)
        print(f"| {name} | {cells} |")


def _plot(losses: Sequence[tuple[LostRequest, str]], path: Path) -> None:
    """Plot a histogram of lost requests over time, stacked by cause."""
    names = [name for name in CAUSES if any(cause == name for _, cause in losses)]
    times = [[r.at for r, cause in losses if cause == name] for name in names]
    end = max((request.at for request, _ in losses), default=0.0)
    bins = range(0, int(end) + 2 * WINDOW_SECONDS, WINDOW_SECONDS)
    figure, axes = plt.subplots(figsize=(10, 4))
    axes.hist(times, bins=list(bins), stacked=True, label=names)
    axes.set_xlabel("seconds")
    axes.set_ylabel("requests lost")
    axes.legend()
    figure.savefig(path)
    plt.close(figure)


def main() -> int:
    """Print tables by kind, time and host; return the exit status."""
    parser = argparse.ArgumentParser(prog="script/losses", description=__doc__)
    parser.add_argument("report", type=Path)
    parser.add_argument("log", type=Path, nargs="+")
    parser.add_argument(
        "--pass-over",
        action="append",
        default=[],
        help="kind that the report doesn't count",
    )
    parser.add_argument(
        "--plot", type=Path, help="write a plot of the causes to this file"
    )
    options = parser.parse_args()
    lines = (
        line
        for path in options.log
        for line in path.read_text("utf-8", errors="replace").splitlines()
    )
    pairs = ((request, find_cause(request)) for request in read_losses(lines))
    losses = [
        (request, cause)
        for request, cause in pairs
        if cause is not None and request.kind not in options.pass_over
    ]
    _print_table("kind", Counter((r.kind, cause) for r, cause in losses))
    seconds = [int(r.at // WINDOW_SECONDS) * WINDOW_SECONDS for r, _ in losses]
    by_window = Counter(
        (f"{second:02}", cause)
        for second, (_, cause) in zip(seconds, losses, strict=True)
    )
    _print_table("from second", by_window)
    _print_table("host", Counter((r.host, cause) for r, cause in losses))
    report = json.loads(options.report.read_text("utf-8"))
    totals = report["all"]
    counted = totals["late"] + totals["refused"] + totals["failed"]
    print(f"\ncauses={len(losses)} bench={counted} differ={len(losses) - counted}")
    print_bound(compute_bound(report, losses))
    if options.plot:
        _plot(losses, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
