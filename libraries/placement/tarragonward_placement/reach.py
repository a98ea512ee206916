"""Track the health of targets: eject those at fault, and select which to probe."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol, TypeVar

from tarragonward_core import invariants

from . import const as c

__all__ = [
    "DomainEjected",
    "DomainRestored",
    "Evidence",
    "HealthEffect",
    "TargetEjected",
    "TargetHealthTracker",
    "TargetRestored",
]


class Evidence(Enum):
    """What a connection attempt or a send has shown about a target."""

    CONNECTED = "connected"
    ANSWERED = "answered"
    NOT_CONNECTED = "not connected"
    # The target closed a connection and accepts no new one; the link itself works.
    ENDED = "ended"
    REPLACED = "replaced"
    REPORTED_AT_FAULT = "named at fault"
    SILENT = "silent"
    LOST = "lost"
    SPOILED = "spoiled"
    FAILED = "failed itself"


# The request may have caused these, so a target is ejected only after several in a row.
CONSECUTIVE_FAULTS = frozenset({Evidence.LOST, Evidence.SPOILED, Evidence.FAILED})
# A successful connection does not disprove these, so a request has to try the target.
# For example, a target that is leaving still accepts connections but refuses to help
# others.
NEEDS_REQUEST_TRIAL = frozenset(
    {Evidence.REPLACED, Evidence.FAILED, Evidence.REPORTED_AT_FAULT}
)
# These say that this host gets no connection, be it for the target or for the link.
DISCONNECTION_EVIDENCE = frozenset({Evidence.NOT_CONNECTED, Evidence.ENDED})


class TargetLocation(Protocol):
    """A target's id, failure domain and service."""

    @property
    def id(self) -> str:
        """Return the target's id."""

    @property
    def failure_domain(self) -> str:
        """Return the name of the failure domain."""

    @property
    def service(self) -> str:
        """Return the name of the service."""


Target = TypeVar("Target", bound=TargetLocation)


@dataclass(frozen=True)
class TargetEjected:
    """A healthy target was ejected: it is not selected from now on."""

    target_id: str
    evidence: Evidence


@dataclass(frozen=True)
class TargetRestored:
    """An ejected target may be selected again."""

    target_id: str


@dataclass(frozen=True)
class DomainEjected:
    """The targets of a service in a domain were ejected: their link appears down."""

    domain: str
    service: str


@dataclass(frozen=True)
class DomainRestored:
    """The link to the targets of a service in a failure domain works again."""

    domain: str
    service: str


# The targets of one service in one failure domain: what a lost link has in common.
_Group = tuple[str, str]

HealthEffect = TargetEjected | TargetRestored | DomainEjected | DomainRestored


@dataclass
class _HealthRecord:
    """Faults and back-off of a target or a group; retry_at is None unless ejected."""

    retry_at: float | None = None
    ejections: int = 0
    failures: int = 0
    needs_request_trial: bool = False
    # Whether the target was ejected because this host gets no connection to it.
    is_disconnected: bool = False
    # For a group: when each of its targets was last probed.
    probed_at: dict[str, float] = field(default_factory=dict)

    def back_off(self, now: float) -> None:
        max_seconds = c.EJECTION_MAX_SECONDS
        if self.needs_request_trial:
            max_seconds = c.REQUEST_TRIAL_MAX_EJECTION_SECONDS
        self.ejections += 1
        self.failures = 0
        seconds = c.EJECTION_BASE_SECONDS * 2 ** (min(self.ejections, 8) - 1)
        self.retry_at = now + min(seconds, max_seconds)

    def is_blocked(self, now: float) -> bool:
        if self.retry_at is None:
            return False
        return not self.needs_request_trial or now < self.retry_at


class TargetHealthTracker:
    """The targets and groups of them that this host has ejected; times in seconds.

    Behind a cut link, or on a dead engine, targets stay registered and idle, so load
    balancing would prefer them: every request would wait for a connection that never
    comes, or use up its sends, while other targets have capacity.

    A target is ejected after one failed connection, one refusal because another
    incarnation has its address, or one timeout; after faults that the request may have
    caused only if there are several in a row. If two targets of a service in a failure
    domain cannot be connected to, and none answers in between, all of these are.

    Ejected targets are restored by a connection without a request, so that no caller
    has to take the risk. A target that answers with errors, or as another incarnation,
    does accept connections, so there a single request is used as a trial. If all
    targets are ejected, the least suspect ones are used: no request is refused because
    of a guess.

    has_probes: whether take_due_probes is used. Without probes each ejection ends with
    a request as a trial, and no group is ejected.
    """

    def __init__(self, has_probes: bool = True) -> None:
        self._has_probes = has_probes
        self._targets: dict[str, _HealthRecord] = {}
        self._groups: dict[_Group, _HealthRecord] = {}
        # Connection failures: group -> target -> time.
        self._connect_failures: dict[_Group, dict[str, float]] = {}
        # When other targets of a group were last chosen to be checked.
        self._checked_at: dict[_Group, float] = {}
        self._connected_at: dict[str, float] = {}

    @property
    def ejected_count(self) -> int:
        """Return the number of targets that are ejected themselves."""
        return sum(record.retry_at is not None for record in self._targets.values())

    @property
    def ejected_domain_count(self) -> int:
        """Return the number of failure domains with an ejected group."""
        return len({domain for domain, _ in self._groups})

    def observe(
        self, target: TargetLocation, evidence: Evidence, now: float
    ) -> tuple[HealthEffect, ...]:
        """Record what was observed of a target; return the resulting changes."""
        if evidence is Evidence.ANSWERED:
            return self._restore(target, now, has_answered=True)
        if evidence is Evidence.CONNECTED:
            return self._restore(target, now, has_answered=False)
        if evidence is Evidence.NOT_CONNECTED:
            self._connected_at.pop(target.id, None)
            return self._record_fault(
                target, evidence, now
            ) + self._record_connect_failure(target, now)
        effects: tuple[HealthEffect, ...] = ()
        if evidence in (Evidence.REPLACED, Evidence.FAILED):
            effects = self._restore_group(target)
        return effects + self._record_fault(target, evidence, now)

    def start_trial(self, target: TargetLocation, now: float) -> None:
        """Keep other requests off an ejected target while one request tries it."""
        record = self._targets.get(target.id)
        if (
            record is not None
            and record.retry_at is not None
            and record.needs_request_trial
        ):
            record.retry_at = max(record.retry_at, now + c.REQUEST_TRIAL_SECONDS)

    def select(self, targets: Sequence[Target], now: float) -> Sequence[Target]:
        """Return the targets with the best health; empty only if none was given."""
        if not self._targets and not self._groups:
            return targets
        levels: tuple[list[Target], list[Target], list[Target]] = ([], [], [])
        for target in targets:
            levels[self._get_health_level(target, now)].append(target)
        selected = next((level for level in levels if level), [])
        invariants.check(bool(selected) == bool(targets), "never_all_left_out")
        return selected

    def is_ejected(self, target: TargetLocation) -> bool:
        """Return whether a target or its group is ejected, or due for a trial."""
        record = self._targets.get(target.id)
        is_target_ejected = record is not None and record.retry_at is not None
        return is_target_ejected or _get_group(target) in self._groups

    def has_lost_link(self, target: TargetLocation) -> bool:
        """Return whether neither a target nor its group can be connected to.

        An ejected group alone does not show it: two targets that have ended eject their
        group, and others of it go on.
        """
        record = self._targets.get(target.id)
        is_ejected = record is not None and record.retry_at is not None
        is_alone = not is_ejected or record is None or not record.is_disconnected
        return not is_alone and _get_group(target) in self._groups

    def is_disconnected(self, target: TargetLocation) -> bool:
        """Return whether a target is ejected because this host can't connect to it."""
        record = self._targets.get(target.id)
        is_ejected = record is not None and record.retry_at is not None
        if is_ejected and record is not None and not record.is_disconnected:
            return False
        return is_ejected or _get_group(target) in self._groups

    def get_unverified(self, targets: Sequence[Target], now: float) -> list[Target]:
        """Return the targets that were not connected to recently."""
        stale_before = now - c.CONNECTION_FRESH_SECONDS
        return [
            target
            for target in targets
            if self._connected_at.get(target.id, stale_before) <= stale_before
        ]

    def choose_neighbours(
        self, target: TargetLocation, registered: Sequence[Target], now: float
    ) -> list[Target]:
        """Return targets to check at once, as one could not be connected to.

        They are of the same service or failure domain, and this host has not connected
        to them just now. If it is its link that is lost, requests would otherwise have
        to find out target by target. Each group is checked once in a while.
        """
        groups = {_get_group(each) for each in registered}
        due = [
            group
            for group in groups
            if (group[0] == target.failure_domain or group[1] == target.service)
            and now - self._checked_at.get(group, float("-inf"))
            > c.NEIGHBOUR_CHECK_INTERVAL_SECONDS
        ]
        neighbours: list[Target] = []
        for group in due:
            self._checked_at[group] = now
            members = [
                each
                for each in self.get_unverified(registered, now)
                if _get_group(each) == group and not self.is_ejected(each)
            ]
            neighbours += members[: c.PROBES_PER_DOMAIN]
        return neighbours

    def take_due_probes(self, registered: Sequence[Target], now: float) -> list[Target]:
        """Return the targets to connect to now, and schedule their next probe.

        In an ejected group a few targets at a time are probed in turn, so that a live
        one is found among many dead ones. Ejected targets in such a group are not
        probed for themselves meanwhile.
        """
        due: list[Target] = []
        for group, record in self._groups.items():
            if record.retry_at is not None and now >= record.retry_at:
                record.back_off(now)
                due += self._pick_group_probes(group, record, registered, now)
        for target in registered:
            record = self._targets.get(target.id)
            if record is None or record.retry_at is None or record.needs_request_trial:
                continue
            is_group_ejected = _get_group(target) in self._groups
            if now >= record.retry_at and not is_group_ejected:
                record.back_off(now)
                due.append(target)
        return due

    def _pick_group_probes(
        self,
        group: _Group,
        record: _HealthRecord,
        registered: Sequence[Target],
        now: float,
    ) -> list[Target]:
        probed_at = record.probed_at
        members = [target for target in registered if _get_group(target) == group]
        members.sort(key=lambda t: (probed_at.get(t.id, 0.0), t.id in self._targets))
        selected = members[: c.PROBES_PER_DOMAIN]
        probed_at.update((target.id, now) for target in selected)
        return selected

    def retain_only(self, registered: Collection[TargetLocation]) -> None:
        """Forget what is no longer registered, so that memory stays bounded."""
        ids = {target.id for target in registered}
        groups = {_get_group(target) for target in registered}
        _retain_keys(self._targets, ids)
        _retain_keys(self._connected_at, ids)
        for known in (self._groups, self._connect_failures, self._checked_at):
            _retain_keys(known, groups)
        for failed in self._connect_failures.values():
            _retain_keys(failed, ids)

    def _record_fault(
        self, target: TargetLocation, evidence: Evidence, now: float
    ) -> tuple[HealthEffect, ...]:
        record = self._targets.get(target.id)
        if record is None:
            if len(self._targets) >= c.MAX_TRACKED_TARGETS:
                self._targets.pop(next(iter(self._targets)))
            record = self._targets[target.id] = _HealthRecord()
        was_ejected = record.retry_at is not None
        is_probed = was_ejected and not record.needs_request_trial
        if is_probed and record.retry_at is not None and now < record.retry_at:
            return ()
        record.failures += 1
        if (
            evidence in CONSECUTIVE_FAULTS
            and record.failures < c.CONSECUTIVE_FAULT_THRESHOLD
        ):
            return ()
        record.needs_request_trial = (
            evidence in NEEDS_REQUEST_TRIAL or not self._has_probes
        )
        record.is_disconnected = evidence in DISCONNECTION_EVIDENCE
        record.back_off(now)
        return () if was_ejected else (TargetEjected(target.id, evidence),)

    def _record_connect_failure(
        self, target: TargetLocation, now: float
    ) -> tuple[HealthEffect, ...]:
        if not self._has_probes:
            return ()
        group = _get_group(target)
        failed = self._connect_failures.setdefault(group, {})
        failed[target.id] = now
        recent = [
            at for at in failed.values() if now - at <= c.DOMAIN_FAILURE_WINDOW_SECONDS
        ]
        if len(recent) < c.DOMAIN_FAILURE_THRESHOLD or group in self._groups:
            return ()
        record = self._groups[group] = _HealthRecord()
        record.back_off(now)
        return (DomainEjected(*group),)

    def _restore(
        self, target: TargetLocation, now: float, has_answered: bool
    ) -> tuple[HealthEffect, ...]:
        """Restore a target; its ejection count is reset only by an answer.

        A target that accepts connections but fails its requests is thus ejected for
        longer each time.
        """
        self._connected_at[target.id] = now
        effects = self._restore_group(target)
        record = self._targets.get(target.id)
        if record is None or (record.needs_request_trial and not has_answered):
            return effects
        was_ejected = record.retry_at is not None
        if has_answered:
            del self._targets[target.id]
        elif was_ejected:
            record.retry_at, record.failures = None, 0
        return (*effects, TargetRestored(target.id)) if was_ejected else effects

    def _restore_group(self, target: TargetLocation) -> tuple[HealthEffect, ...]:
        group = _get_group(target)
        self._connect_failures.pop(group, None)
        record = self._groups.pop(group, None)
        return () if record is None else (DomainRestored(*group),)

    def _get_health_level(self, target: TargetLocation, now: float) -> int:
        """Return 0 if healthy, 1 if only the group is ejected, 2 if the target is."""
        record = self._targets.get(target.id)
        if record is not None and record.is_blocked(now):
            return 2
        return int(_get_group(target) in self._groups)


def _get_group(target: TargetLocation) -> _Group:
    return target.failure_domain, target.service


def _retain_keys(mapping: dict[Any, Any], names: Collection[Any]) -> None:
    for name in mapping.keys() - names:
        del mapping[name]
