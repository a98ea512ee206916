"""Remember which targets this host could not connect to, and try them again soon."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

__all__ = ["TargetReach"]

FIRST_REST_SECONDS = 0.5
MAX_REST_SECONDS = 2.0
# So many targets of a failure domain that fail in turn, and none that answers between,
# are its link and not they.
DOMAIN_FAILURES = 3
# While one request tries a target that was out of reach, the others wait for it.
TRIAL_SECONDS = 0.3
MAX_REMEMBERED = 4_096


class Placed(Protocol):
    """What has a target's id and place."""

    @property
    def id(self) -> str:
        """Return the id."""

    @property
    def failure_domain(self) -> str:
        """Return the name of the failure domain."""


Target = TypeVar("Target", bound=Placed)


@dataclass
class _Rest:
    until: float
    failures: int


class TargetReach:
    """The targets that rest after a connection to them failed; times in seconds.

    A link that is cut leaves its targets registered and idle, so the least busy of
    all. Symptom: every request waits for a connection that never comes, or uses up
    its sends on targets out of reach, while others have room. One failure lets a
    target rest for half a second, more for longer, then one request tries it; three
    in a row let their failure domain rest in the same way. Resting ones are chosen
    where there are no others: nothing is refused for a guess.
    """

    def __init__(self) -> None:
        self._resting: dict[str, _Rest] = {}
        self._domains: dict[str, _Rest] = {}
        self._failed: dict[str, set[str]] = {}

    @property
    def resting(self) -> int:
        """Return how many targets are remembered as out of reach."""
        return len(self._resting)

    def note_failed(self, target: Placed, now: float) -> bool:
        """Note a failed connection; return whether the target was in reach before."""
        is_new = self._let_rest(target, now)
        failed = self._failed.setdefault(target.failure_domain, set())
        if len(failed) < DOMAIN_FAILURES:
            failed.add(target.id)
        if len(failed) >= DOMAIN_FAILURES:
            domain = self._domains.setdefault(target.failure_domain, _Rest(now, 0))
            _prolong(domain, now)
        return is_new

    def note_replaced(self, target: Placed, now: float) -> bool:
        """Note that another one answers at its address; return whether that is new."""
        self._note_link(target)
        return self._let_rest(target, now)

    def note_reached(self, target: Placed) -> bool:
        """Note that a target answered; return whether it was out of reach before."""
        self._note_link(target)
        return self._resting.pop(target.id, None) is not None

    def note_chosen(self, target: Placed, now: float) -> None:
        """Let a target that is tried again rest for others until that is known."""
        for rest in self._get_rests(target):
            rest.until = max(rest.until, now + TRIAL_SECONDS)

    def select(self, targets: Sequence[Target], now: float) -> Sequence[Target]:
        """Return the targets that do not rest, or all where all of them do."""
        if not self._resting and not self._domains:
            return targets
        awake = [
            target
            for target in targets
            if all(now >= rest.until for rest in self._get_rests(target))
        ]
        return awake or targets

    def _let_rest(self, target: Placed, now: float) -> bool:
        rest = self._resting.get(target.id)
        if rest is None:
            if len(self._resting) >= MAX_REMEMBERED:
                self._resting.pop(next(iter(self._resting)))
            rest = self._resting[target.id] = _Rest(now, 0)
        _prolong(rest, now)
        return rest.failures == 1

    def _note_link(self, target: Placed) -> None:
        self._failed.pop(target.failure_domain, None)
        self._domains.pop(target.failure_domain, None)

    def _get_rests(self, target: Placed) -> list[_Rest]:
        found = (
            self._resting.get(target.id),
            self._domains.get(target.failure_domain),
        )
        return [rest for rest in found if rest is not None]


def _prolong(rest: _Rest, now: float) -> None:
    rest.failures += 1
    seconds = FIRST_REST_SECONDS * 2 ** (min(rest.failures, 8) - 1)
    rest.until = now + min(seconds, MAX_REST_SECONDS)
