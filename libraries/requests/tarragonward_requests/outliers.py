"""Decide which failing targets get no work for a time (outlier detection)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import singledispatch

from tarragonward_core import invariants

from . import const as c
from .messages import AttemptFault

__all__ = [
    "ExclusionRule",
    "ListLifetime",
    "OutlierDetector",
    "PlainBackoff",
    "ProbedBackoff",
    "compute_exclusion_seconds",
]

AT_ONCE = frozenset({AttemptFault.NOT_CONNECTED, AttemptFault.SILENT})


@dataclass(frozen=True)
class ListLifetime:
    """Exclude for as long as the last list's lifetime.

    Source: DASH-IF CTS 007, Content Steering for DASH, clause 7, step 14 c.
    """

    seconds: float


@dataclass(frozen=True)
class PlainBackoff:
    """Exclude for a time that doubles with each exclusion, then send work again."""

    base_seconds: float = c.EXCLUSION_BASE_SECONDS
    cap_seconds: float = c.EXCLUSION_CAP_SECONDS


@dataclass(frozen=True)
class ProbedBackoff(PlainBackoff):
    """Exclude as PlainBackoff does, and send work only after a probe was answered."""


ExclusionRule = ListLifetime | PlainBackoff | ProbedBackoff


@singledispatch
def compute_exclusion_seconds(rule: ExclusionRule, strikes: int) -> float:
    """Return how long a target's exclusion number strikes lasts; the first is 1."""
    raise TypeError(f"not a rule: {rule!r}")


@compute_exclusion_seconds.register
def _(rule: ListLifetime, strikes: int) -> float:
    return rule.seconds


@compute_exclusion_seconds.register
def _(rule: PlainBackoff, strikes: int) -> float:
    return min(
        rule.base_seconds * c.EXCLUSION_FACTOR ** (strikes - 1), rule.cap_seconds
    )


@dataclass
class _Record:
    failures: int = 0
    strikes: int = 0
    excluded_until: float | None = None


class OutlierDetector:
    """What this host has seen of each target that failed lately; times in seconds.

    A dead engine has the least work in flight. Symptom: it is chosen again and again,
    and every request spends its retries there. Leaving it out of the choice after a
    refused connection, a silence, or some failures in a row is enough, as the time is
    bounded and the last ones are never all left out.
    """

    def __init__(self, rule: ExclusionRule | None = None) -> None:
        self._rule = rule or ProbedBackoff()
        self._records: dict[str, _Record] = {}

    def record_success(self, target: str) -> None:
        """Note work that the target ended well."""
        self._records.pop(target, None)

    def record_failure(self, target: str, fault: AttemptFault, now: float) -> bool:
        """Note a failed attempt; return whether the target is excluded by it."""
        if fault is AttemptFault.REFUSED:
            return False
        record = self._records.setdefault(target, _Record())
        if record.excluded_until is not None and now < record.excluded_until:
            return False
        record.failures += 1
        is_outlier = record.failures >= c.FAILURES_BEFORE_EXCLUSION
        if fault not in AT_ONCE and not is_outlier:
            return False
        self._exclude(record, now)
        return True

    def select(self, targets: Iterable[str], now: float) -> list[str]:
        """Return the targets that may get work: never none where some were given."""
        names = list(targets)
        usable = [name for name in names if not self._is_excluded(name, now)]
        selected = usable or names
        invariants.check(bool(selected) == bool(names), "never_all_excluded")
        return selected

    def get_due_probes(self, now: float) -> list[str]:
        """Return the targets whose exclusion is over but for a probe's answer."""
        if not isinstance(self._rule, ProbedBackoff):
            return []
        return [
            name
            for name, record in self._records.items()
            if record.excluded_until is not None and now >= record.excluded_until
        ]

    def record_probe(self, target: str, is_alive: bool, now: float) -> None:
        """Note a probe's end: take the target back, or exclude it for longer."""
        record = self._records.get(target)
        if record is None or record.excluded_until is None:
            return
        if is_alive:
            # Strikes stay until work ends well: a target that answers probes but
            # fails its work is left out for longer each time.
            record.excluded_until, record.failures = None, 0
        else:
            self._exclude(record, now)

    def forget_others(self, targets: Iterable[str]) -> None:
        """Forget targets that are published no more, so that memory is bounded."""
        kept = set(targets)
        for name in self._records.keys() - kept:
            del self._records[name]

    def _exclude(self, record: _Record, now: float) -> None:
        record.strikes += 1
        record.failures = 0
        seconds = compute_exclusion_seconds(self._rule, record.strikes)
        record.excluded_until = now + seconds

    def _is_excluded(self, target: str, now: float) -> bool:
        record = self._records.get(target)
        if record is None or record.excluded_until is None:
            return False
        return isinstance(self._rule, ProbedBackoff) or now < record.excluded_until
