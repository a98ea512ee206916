"""Tell what of a day's losses no design could have saved from what a choice lost."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

__all__ = ["DayBound", "Outage", "Verdict", "bound_day", "find_outages", "print_bound"]

# How the report tells that all hosts lose power or are killed, at the end of a day.
CLOSING = "closing"
WINDOW_SECONDS = 2


class Verdict(Enum):
    """What a request was lost to."""

    NO_HOST = "no host is up"
    TARGET_FAILED = "its target failed it"
    CALLER_LEFT = "its caller left"
    NOT_KNOWN = "what its host did not know"
    CHOICE = "a poor choice"

    @property
    def is_bound(self) -> bool:
        """Return whether no design could have saved the request."""
        return self in (Verdict.NO_HOST, Verdict.TARGET_FAILED, Verdict.CALLER_LEFT)


VERDICTS = {
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


class Lost(Protocol):
    """What is asked of a lost request; times in seconds of the day."""

    aim: float

    @property
    def kind(self) -> str:
        """Return what tells its kind."""

    @property
    def asked_at(self) -> float:
        """Return when its host took it."""


@dataclass(frozen=True)
class Outage:
    """A time without any host; seconds of the day."""

    begins: float
    ends: float

    def covers(self, asked_at: float, aim: float) -> bool:
        """Return whether a request asked then can't be in time."""
        return asked_at < self.ends and asked_at + aim > self.begins


@dataclass(frozen=True)
class DayBound:
    """The requests of a day: asked, in time, and lost by verdict and kind.

    unseen are those of the report that no host wrote of: they never reached one, or
    it died with them.
    """

    asked: int
    in_time: int
    lost: Counter[tuple[str, Verdict]]
    unseen: int

    @property
    def most(self) -> int:
        """Return how many could have been in time by any design.

        Hosts write of attempts: one that is lost may be made good by its repeat.
        """
        bound = sum(n for (_, verdict), n in self.lost.items() if verdict.is_bound)
        return max(self.in_time, self.asked - bound - self.unseen)


def find_outages(report: dict[str, Any]) -> list[Outage]:
    """Return the times in which a day's report says that all hosts were down.

    They last until the windows show that callers are served again.
    """
    begins = [e["at_s"] for e in report["events"] if e["kind"].startswith(CLOSING)]
    return [Outage(at, _find_return(report, at)) for at in begins]


def _find_return(report: dict[str, Any], at: float) -> float:
    for window in report["windows"]:
        begin = float(window["name"])
        if begin > at and window["in_aim"] * 2 > window["n"]:
            return begin
    return float("inf")


def judge(request: Lost, cause: str, outages: Iterable[Outage]) -> Verdict:
    """Return what a request was lost to, by its cause and when it was asked."""
    if any(outage.covers(request.asked_at, request.aim) for outage in outages):
        return Verdict.NO_HOST
    return VERDICTS[cause]


def bound_day(report: dict[str, Any], found: Sequence[tuple[Lost, str]]) -> DayBound:
    """Put a day's report and the lost requests of its log together."""
    told, outages = report["all"], find_outages(report)
    lost = Counter((r.kind, judge(r, cause, outages)) for r, cause in found)
    owed = told["n"] - told["not_owed"]
    counted = told["late"] + told["refused"] + told["failed"]
    # Callers that leave early aren't owed, and the report doesn't count them as lost.
    left = sum(n for (_, v), n in lost.items() if v is Verdict.CALLER_LEFT)
    seen = sum(lost.values()) - left
    return DayBound(owed, told["in_aim"], lost, max(0, counted - seen))


def print_bound(bound: DayBound) -> None:
    """Print the verdicts by kind, and the most that could have been in time."""
    verdicts = list(Verdict)
    print(f"\n| kind | {' | '.join(v.value for v in verdicts)} |")
    print("| --- |" + " --- |" * len(verdicts))
    for kind in sorted({kind for kind, _ in bound.lost}):
        cells = " | ".join(str(bound.lost[kind, verdict]) for verdict in verdicts)
        print(f"| {kind} | {cells} |")
    print(
        f"\nowed={bound.asked} in_time={bound.in_time} unseen={bound.unseen} "
        f"most={bound.most} left_to_gain={bound.most - bound.in_time}"
    )
