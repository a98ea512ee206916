"""Separate losses that no placement could avoid from those due to a choice."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

__all__ = [
    "DayBound",
    "Outage",
    "Verdict",
    "compute_bound",
    "find_outages",
    "print_bound",
]

# Prefix of the report's events in which all hosts lose power or are killed.
CLOSING_EVENT_PREFIX = "closing"
WINDOW_SECONDS = 2


class Verdict(Enum):
    """Why a request was lost."""

    NO_HOST = "no host is up"
    TARGET_FAILED = "its target failed it"
    CALLER_LEFT = "its caller left"
    NOT_KNOWN = "what its host did not know"
    CHOICE = "a poor choice"

    @property
    def is_unavoidable(self) -> bool:
        """Return whether the loss was unavoidable."""
        return self in (Verdict.NO_HOST, Verdict.TARGET_FAILED, Verdict.CALLER_LEFT)


VERDICTS_BY_CAUSE = {
    "refused": Verdict.CHOICE,
    "failed by its target": Verdict.TARGET_FAILED,
    "out of reach": Verdict.NOT_KNOWN,
    "late as placed": Verdict.CHOICE,
    "held up by a later reading": Verdict.CHOICE,
    "pause broken otherwise": Verdict.NOT_KNOWN,
    "left by its caller": Verdict.CALLER_LEFT,
    "late though predicted in time": Verdict.NOT_KNOWN,
    "ended without an answer": Verdict.NOT_KNOWN,
}


class LostRequestLike(Protocol):
    """Attributes required of a lost request; times in seconds since the day began."""

    aim: float

    @property
    def kind(self) -> str:
        """Return the kind of request."""

    @property
    def received_at(self) -> float:
        """Return when its host received it."""


@dataclass(frozen=True)
class Outage:
    """Period without any running host, in seconds since the day began."""

    begins: float
    ends: float

    def covers(self, received_at: float, aim: float) -> bool:
        """Return whether the outage makes a request received then miss its aim."""
        return received_at < self.ends and received_at + aim > self.begins


@dataclass(frozen=True)
class DayBound:
    """Counts of a day's requests: owed, in time, and lost by kind and verdict.

    unseen counts lost requests of the report that no host logged: they never reached a
    host, or the host died while it handled them.
    """

    owed: int
    in_time: int
    lost: Counter[tuple[str, Verdict]]
    unseen: int

    @property
    def max_in_time(self) -> int:
        """Return the upper bound of requests in time.

        It is at least in_time: hosts log each attempt, and a caller's repeat of a lost
        one may still succeed in time.
        """
        bound = sum(
            n for (_, verdict), n in self.lost.items() if verdict.is_unavoidable
        )
        return max(self.in_time, self.owed - bound - self.unseen)


def find_outages(report: dict[str, Any]) -> list[Outage]:
    """Return the periods in which, by a day's report, all hosts were down.

    An outage ends with the first window in which most requests are in time again.
    """
    begins = [
        e["at_s"]
        for e in report["events"]
        if e["kind"].startswith(CLOSING_EVENT_PREFIX)
    ]
    return [Outage(at, _find_recovery(report, at)) for at in begins]


def _find_recovery(report: dict[str, Any], at: float) -> float:
    for window in report["windows"]:
        begin = float(window["name"])
        if begin > at and window["in_aim"] * 2 > window["n"]:
            return begin
    return float("inf")


def find_verdict(
    request: LostRequestLike, cause: str, outages: Iterable[Outage]
) -> Verdict:
    """Return why a request was lost, by its cause and the time it was received."""
    if any(outage.covers(request.received_at, request.aim) for outage in outages):
        return Verdict.NO_HOST
    return VERDICTS_BY_CAUSE[cause]


def compute_bound(
    report: dict[str, Any], losses: Sequence[tuple[LostRequestLike, str]]
) -> DayBound:
    """Compute the bound from a day's report and the lost requests in its log."""
    totals, outages = report["all"], find_outages(report)
    lost = Counter((r.kind, find_verdict(r, cause, outages)) for r, cause in losses)
    owed = totals["n"] - totals["not_owed"]
    counted = totals["late"] + totals["refused"] + totals["failed"]
    # The report doesn't count requests whose callers disconnect early as lost.
    left = sum(n for (_, v), n in lost.items() if v is Verdict.CALLER_LEFT)
    seen = sum(lost.values()) - left
    return DayBound(owed, totals["in_aim"], lost, max(0, counted - seen))


def print_bound(bound: DayBound) -> None:
    """Print the verdicts by kind and the upper bound of requests in time."""
    verdicts = list(Verdict)
    print(f"\n| kind | {' | '.join(v.value for v in verdicts)} |")
    print("| --- |" + " --- |" * len(verdicts))
    for kind in sorted({kind for kind, _ in bound.lost}):
        cells = " | ".join(str(bound.lost[kind, verdict]) for verdict in verdicts)
        print(f"| {kind} | {cells} |")
    print(
        f"\nowed={bound.owed} in_time={bound.in_time} unseen={bound.unseen} "
        f"most={bound.max_in_time} left_to_gain={bound.max_in_time - bound.in_time}"
    )
