"""Outlier detection: eject failing targets from selection for a limited time."""

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

IMMEDIATE_EJECTION_FAULTS = frozenset(
    {AttemptFault.NOT_CONNECTED, AttemptFault.CRASHED, AttemptFault.SILENT}
)


@dataclass(frozen=True)
class FixedEjection:
    """Eject for a fixed time, the lifetime of the target list.

    Source: DASH-IF CTS 007, Content Steering for DASH, clause 7, step 14 c.
    """

    seconds: float


@dataclass(frozen=True)
class ExponentialBackoff:
    """Eject for a time that doubles with each ejection, then restore the target."""

    base_seconds: float = c.EJECTION_BASE_SECONDS
    cap_seconds: float = c.EJECTION_MAX_SECONDS


@dataclass(frozen=True)
class ProbedExponentialBackoff(ExponentialBackoff):
    """Eject as ExponentialBackoff does; restore only after a successful probe."""


EjectionPolicy = FixedEjection | ExponentialBackoff | ProbedExponentialBackoff


@singledispatch
def compute_ejection_seconds(policy: EjectionPolicy, ejections: int) -> float:
    """Return how many seconds a target's ejection lasts; ejections counts it too."""
    raise TypeError(f"unknown ejection policy: {policy!r}")


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
    """Failures of each target as seen by this host; times in seconds.

    A crashed engine has the fewest requests in flight, so least-loaded selection would
    choose it again and again. It is ejected after a refused connection, a time-out, or
    several consecutive failures. Ejections are limited in time, and if all targets are
    ejected, all of them may be selected.
    """

    def __init__(self, policy: EjectionPolicy | None = None) -> None:
        self._policy = policy or ProbedExponentialBackoff()
        self._records: dict[str, _Record] = {}

    def record_success(self, target: str) -> None:
        """Record successful work, which resets the target's record."""
        self._records.pop(target, None)

    def record_failure(self, target: str, fault: AttemptFault, now: float) -> bool:
        """Record a failed attempt; return whether it ejects the target."""
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
        """Return the targets that may get work; all of them if all are ejected."""
        names = list(targets)
        available = [name for name in names if not self._is_ejected(name, now)]
        selected = available or names
        invariants.check(bool(selected) == bool(names), "never_all_excluded")
        return selected

    def get_due_probes(self, now: float) -> list[str]:
        """Return the targets whose ejection time is over and that need a probe."""
        if not isinstance(self._policy, ProbedExponentialBackoff):
            return []
        return [
            name
            for name, record in self._records.items()
            if record.ejected_until is not None and now >= record.ejected_until
        ]

    def record_probe(self, target: str, is_alive: bool, now: float) -> None:
        """Record a probe's result: restore the target, or eject it for longer."""
        record = self._records.get(target)
        if record is None or record.ejected_until is None:
            return
        if is_alive:
            # The number of ejections stays until work succeeds: a target that answers
            # probes but fails its work is ejected for longer each time.
            record.ejected_until, record.failures = None, 0
        else:
            self._eject(record, now)

    def retain_only(self, targets: Iterable[str]) -> None:
        """Drop the records of all other targets, so that memory is bounded."""
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
