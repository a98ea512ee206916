"""Decide which targets are in doubt, and which of them are to be connected to."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol, TypeVar

from tarragonward_core import invariants

from . import const as c

__all__ = [
    "DomainDoubted",
    "DomainRegained",
    "Evidence",
    "ReachEffect",
    "TargetDoubted",
    "TargetReach",
    "TargetRegained",
]


class Evidence(Enum):
    """What a connection or a send has shown of a target."""

    CONNECTED = "connected"
    ANSWERED = "answered"
    NOT_CONNECTED = "not connected"
    # It closed a connection and takes no other: its link is well.
    ENDED = "ended"
    REPLACED = "replaced"
    NAMED = "named at fault"
    SILENT = "silent"
    LOST = "lost"
    SPOILED = "spoiled"
    FAILED = "failed itself"


# Faults that may be one request's alone count only some in a row.
IN_A_ROW = frozenset({Evidence.LOST, Evidence.SPOILED, Evidence.FAILED})
# What one request has to try: a connection proves nothing of it.
# A target that leaves takes connections and refuses to help others.
BY_REQUEST = frozenset({Evidence.REPLACED, Evidence.FAILED, Evidence.NAMED})


class Placed(Protocol):
    """What has a target's id and place."""

    @property
    def id(self) -> str:
        """Return the id."""

    @property
    def failure_domain(self) -> str:
        """Return the name of the failure domain."""


Target = TypeVar("Target", bound=Placed)


@dataclass(frozen=True)
class TargetDoubted:
    """A target that was in order is not chosen from now on."""

    target_id: str
    evidence: Evidence


@dataclass(frozen=True)
class TargetRegained:
    """A target may be chosen again."""

    target_id: str


@dataclass(frozen=True)
class DomainDoubted:
    """No target of a failure domain is chosen from now on: its link seems cut."""

    domain: str


@dataclass(frozen=True)
class DomainRegained:
    """The link to a failure domain stands."""

    domain: str


ReachEffect = TargetDoubted | TargetRegained | DomainDoubted | DomainRegained


@dataclass
class _Doubt:
    """What is held against a target or a domain; until is None where it may be used."""

    until: float | None = None
    strikes: int = 0
    failures: int = 0
    needs_request: bool = False
    # Of a domain: when its targets were last connected to on its behalf.
    tried_at: dict[str, float] = field(default_factory=dict)

    def prolong(self, now: float) -> None:
        most = c.REST_MAX_SECONDS
        if self.needs_request:
            most = c.REST_MAX_BEFORE_REQUEST_SECONDS
        self.strikes += 1
        self.failures = 0
        seconds = c.REST_FIRST_SECONDS * 2 ** (min(self.strikes, 8) - 1)
        self.until = now + min(seconds, most)

    def keeps_out(self, now: float) -> bool:
        if self.until is None:
            return False
        return not self.needs_request or now < self.until


class TargetReach:
    """The targets and failure domains that this host leaves out; times in seconds.

    A link that is cut, or an engine that is dead, leaves its targets registered and
    idle, so the least busy of all. Symptom: every request waits for a connection that
    never comes, or uses up its sends on targets out of reach, while others have room.
    One failure to connect, one refusal as another boot or one silence leaves a target
    out, other faults some in a row. Two that can't be connected to, and no answer of
    their failure domain between, are its link: the domain is left out. What is left out
    is taken back by a connection without a request, so that no caller has to try; what
    answers with errors of its own, or as another boot, takes connections, so there one
    request tries. Where all are in doubt the least doubted are used: nothing is refused
    for a guess.
    """

    def __init__(self) -> None:
        self._targets: dict[str, _Doubt] = {}
        self._domains: dict[str, _Doubt] = {}
        # By failure domain: its targets that failed to connect, and when.
        self._unreached: dict[str, dict[str, float]] = {}
        self._reached_at: dict[str, float] = {}

    @property
    def resting(self) -> int:
        """Return how many targets are left out by themselves."""
        return sum(doubt.until is not None for doubt in self._targets.values())

    @property
    def resting_domains(self) -> int:
        """Return how many failure domains are left out."""
        return len(self._domains)

    def hear(
        self, target: Placed, evidence: Evidence, now: float
    ) -> tuple[ReachEffect, ...]:
        """Take in what was seen of a target; return what changes by it."""
        if evidence is Evidence.ANSWERED:
            return self._regain(target, now, is_well=True)
        if evidence is Evidence.CONNECTED:
            return self._regain(target, now, is_well=False)
        if evidence is Evidence.NOT_CONNECTED:
            self._reached_at.pop(target.id, None)
            return self._doubt(target, evidence, now) + self._doubt_domain(target, now)
        effects: tuple[ReachEffect, ...] = ()
        if evidence in (Evidence.REPLACED, Evidence.FAILED):
            effects = self._regain_domain(target.failure_domain)
        return effects + self._doubt(target, evidence, now)

    def note_chosen(self, target: Placed, now: float) -> None:
        """Let a target that one request tries again rest for the others meanwhile."""
        doubt = self._targets.get(target.id)
        if doubt is not None and doubt.until is not None and doubt.needs_request:
            doubt.until = max(doubt.until, now + c.TRIAL_SECONDS)

    def select(self, targets: Sequence[Target], now: float) -> Sequence[Target]:
        """Return the least doubted of the targets: none only where none was given."""
        if not self._targets and not self._domains:
            return targets
        levels: tuple[list[Target], list[Target], list[Target]] = ([], [], [])
        for target in targets:
            levels[self._grade(target, now)].append(target)
        selected = next((level for level in levels if level), [])
        invariants.check(bool(selected) == bool(targets), "never_all_left_out")
        return selected

    def is_in_doubt(self, target: Placed) -> bool:
        """Return whether a target or its domain is left out, or due to be tried."""
        doubt = self._targets.get(target.id)
        is_out = doubt is not None and doubt.until is not None
        return is_out or target.failure_domain in self._domains

    def get_unsure(self, targets: Sequence[Target], now: float) -> list[Target]:
        """Return those that were not connected to lately."""
        long_ago = now - c.REACHED_SECONDS
        return [
            target
            for target in targets
            if self._reached_at.get(target.id, long_ago) <= long_ago
        ]

    def take_due_probes(self, registered: Sequence[Target], now: float) -> list[Target]:
        """Return what is to be connected to now, without a request.

        It is not returned again at once. For a failure domain its targets are tried
        in turn, a few at a time, so that one that lives is found among many dead ones;
        meanwhile those that put it in doubt are not tried by themselves.
        """
        due: list[Target] = []
        for domain, doubt in self._domains.items():
            if doubt.until is not None and now >= doubt.until:
                doubt.prolong(now)
                due += self._take_in_turn(domain, doubt, registered, now)
        for target in registered:
            known = self._targets.get(target.id)
            if known is None or known.until is None or known.needs_request:
                continue
            is_behind = target.failure_domain in self._domains
            if now >= known.until and not is_behind:
                known.prolong(now)
                due.append(target)
        return due

    def _take_in_turn(
        self, domain: str, doubt: _Doubt, registered: Sequence[Target], now: float
    ) -> list[Target]:
        tried_at = doubt.tried_at
        inside = [target for target in registered if target.failure_domain == domain]
        inside.sort(key=lambda t: (tried_at.get(t.id, 0.0), t.id in self._targets))
        taken = inside[: c.PROBED_IN_DOMAIN]
        tried_at.update((target.id, now) for target in taken)
        return taken

    def forget_others(self, registered: Collection[Placed]) -> None:
        """Forget what is registered no more, so that memory is bounded."""
        ids = {target.id for target in registered}
        domains = {target.failure_domain for target in registered}
        _keep(self._targets, ids)
        _keep(self._reached_at, ids)
        _keep(self._domains, domains)
        _keep(self._unreached, domains)
        for failed in self._unreached.values():
            _keep(failed, ids)

    def _doubt(
        self, target: Placed, evidence: Evidence, now: float
    ) -> tuple[ReachEffect, ...]:
        doubt = self._targets.get(target.id)
        if doubt is None:
            if len(self._targets) >= c.MAX_DOUBTED:
                self._targets.pop(next(iter(self._targets)))
            doubt = self._targets[target.id] = _Doubt()
        was_out = doubt.until is not None
        is_probed = was_out and not doubt.needs_request
        if is_probed and doubt.until is not None and now < doubt.until:
            return ()
        doubt.failures += 1
        if evidence in IN_A_ROW and doubt.failures < c.FAILURES_IN_A_ROW:
            return ()
        doubt.needs_request = evidence in BY_REQUEST
        doubt.prolong(now)
        return () if was_out else (TargetDoubted(target.id, evidence),)

    def _doubt_domain(self, target: Placed, now: float) -> tuple[ReachEffect, ...]:
        domain = target.failure_domain
        failed = self._unreached.setdefault(domain, {})
        failed[target.id] = now
        recent = [at for at in failed.values() if now - at <= c.DOMAIN_WINDOW_SECONDS]
        if len(recent) < c.DOMAIN_TARGETS or domain in self._domains:
            return ()
        doubt = self._domains[domain] = _Doubt()
        doubt.prolong(now)
        return (DomainDoubted(domain),)

    def _regain(
        self, target: Placed, now: float, is_well: bool
    ) -> tuple[ReachEffect, ...]:
        """Take a target back; strikes stay until it answers.

        One that takes connections but fails its work is left out for longer each time.
        """
        self._reached_at[target.id] = now
        effects = self._regain_domain(target.failure_domain)
        doubt = self._targets.get(target.id)
        if doubt is None or (doubt.needs_request and not is_well):
            return effects
        was_out = doubt.until is not None
        if is_well:
            del self._targets[target.id]
        elif was_out:
            doubt.until, doubt.failures = None, 0
        return (*effects, TargetRegained(target.id)) if was_out else effects

    def _regain_domain(self, domain: str) -> tuple[ReachEffect, ...]:
        self._unreached.pop(domain, None)
        known = self._domains.pop(domain, None)
        return () if known is None else (DomainRegained(domain),)

    def _grade(self, target: Placed, now: float) -> int:
        """Return 0 for no doubt, 1 for the domain's alone, 2 for the target's own."""
        doubt = self._targets.get(target.id)
        if doubt is not None and doubt.keeps_out(now):
            return 2
        return int(target.failure_domain in self._domains)


def _keep(known: dict[str, Any], names: Collection[str]) -> None:
    for name in known.keys() - names:
        del known[name]
