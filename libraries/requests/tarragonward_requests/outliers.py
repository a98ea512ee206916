"""Decide which failing targets get no work for a time (outlier detection)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import singledispatch

from tarragonward_core import invariants

from . import const as c
from .messages import AttemptFault

__all__ = [
    "EjectionPolicy",
    "ExponentialBackoff",
    "FixedEjection",
    "OutlierDetector",
    "ProbedExponentialBackoff",
    "compute_ejection_seconds",
]

IMMEDIATE_EJECTION_FAULTS = frozenset({AttemptFault.NOT_CONNECTED, AttemptFault.SILENT})


@dataclass(frozen=True)
class FixedEjection:
    """Exclude for as long as the last list's lifetime.

    Source: DASH-IF CTS 007, Content Steering for DASH, clause 7, step 14 c.
    """

    seconds: float


@dataclass(frozen=True)
class ExponentialBackoff:
    """Exclude for a time that doubles with each exclusion, then send work again."""

    base_seconds: float = c.EJECTION_BASE_SECONDS
    cap_seconds: float = c.EJECTION_MAX_SECONDS


@dataclass(frozen=True)
class ProbedExponentialBackoff(ExponentialBackoff):
    """Eject as ExponentialBackoff does; restore only after a successful probe."""


EjectionPolicy = FixedEjection | ExponentialBackoff | ProbedExponentialBackoff


@singledispatch
def compute_ejection_seconds(policy: EjectionPolicy, ejections: int) -> float:
    """Return the seconds for which a target's nth ejection lasts; the first is 1."""
    raise TypeError(f"not a policy: {policy!r}")


@compute_ejection_seconds.register
def _(policy: FixedEjection, ejections: int) -> float:
    return policy.seconds


@compute_ejection_seconds.register
def _(policy: ExponentialBackoff, ejections: int) -> float:
    return min(
        policy.base_seconds * c.EJECTION_BACKOFF_FACTOR ** (ejections - 1),
        policy.cap_seconds,
    )


@dataclass
class _Record:
    failures: int = 0
    ejections: int = 0
    ejected_until: float | None = None


class OutlierDetector:
    """What this host has seen of each target that failed lately; times in seconds.

    A dead engine has the least work in flight. Symptom: it is chosen again and again,
    and every request spends its retries there. Leaving it out of the choice after a
    refused connection, a silence, or some failures in a row is enough, as the time is
    bounded and the last ones are never all left out.
    """

    def __init__(self, policy: EjectionPolicy | None = None) -> None:
        self._policy = policy or ProbedExponentialBackoff()
        self._records: dict[str, _Record] = {}

    def record_success(self, target: str) -> None:
        """Note work that the target ended well."""
        self._records.pop(target, None)

    def record_failure(self, target: str, fault: AttemptFault, now: float) -> bool:
        """Note a failed attempt; return whether the target is excluded by it."""
        if fault is AttemptFault.REFUSED:
            return False
        record = self._records.setdefault(target, _Record())
        if record.ejected_until is not None and now < record.ejected_until:
            return False
        record.failures += 1
        is_outlier = record.failures >= c.CONSECUTIVE_FAILURES_TO_EJECT
        if fault not in IMMEDIATE_EJECTION_FAULTS and not is_outlier:
            return False
        self._eject(record, now)
        return True

    def select(self, targets: Iterable[str], now: float) -> list[str]:
        """Return the targets that may get work: never none where some were given."""
        names = list(targets)
        usable = [name for name in names if not self._is_ejected(name, now)]
        selected = usable or names
        invariants.check(bool(selected) == bool(names), "never_all_excluded")
        return selected

    def get_due_probes(self, now: float) -> list[str]:
        """Return the targets whose exclusion is over but for a probe's answer."""
        if not isinstance(self._policy, ProbedExponentialBackoff):
            return []
        return [
            name
            for name, record in self._records.items()
            if record.ejected_until is not None and now >= record.ejected_until
        ]

    def record_probe(self, target: str, is_alive: bool, now: float) -> None:
        """Note a probe's end: take the target back, or exclude it for longer."""
        record = self._records.get(target)
        if record is None or record.ejected_until is None:
            return
        if is_alive:
            # Strikes stay until work ends well: a target that answers probes but
            # fails its work is left out for longer each time.
            record.ejected_until, record.failures = None, 0
        else:
            self._eject(record, now)

    def retain_only(self, targets: Iterable[str]) -> None:
        """Forget targets that are published no more, so that memory is bounded."""
        kept = set(targets)
        for name in self._records.keys() - kept:
            del self._records[name]

    def _eject(self, record: _Record, now: float) -> None:
        record.ejections += 1
        record.failures = 0
        seconds = compute_ejection_seconds(self._policy, record.ejections)
        record.ejected_until = now + seconds

    def _is_ejected(self, target: str, now: float) -> bool:
        record = self._records.get(target)
        if record is None or record.ejected_until is None:
            return False
        return (
            isinstance(self._policy, ProbedExponentialBackoff)
            or now < record.ejected_until
        )
