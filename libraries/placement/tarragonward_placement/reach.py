"""Remember which targets this host could not connect to, and try them again soon."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

__all__ = ["TargetReach"]

FIRST_REST_SECONDS = 0.5
MAX_REST_SECONDS = 2.0
# While one request tries a target that was out of reach, the others wait for it.
TRIAL_SECONDS = 0.3
MAX_REMEMBERED = 4_096


class HasId(Protocol):
    """What has a target's id."""

    @property
    def id(self) -> str:
        """Return the id."""


Target = TypeVar("Target", bound=HasId)


@dataclass
class _Rest:
    until: float
    failures: int


class TargetReach:
    """The targets that rest after a connection to them failed; times in seconds.

    A link that is cut leaves its targets registered and idle, so the least busy of
    all. Symptom: every request waits for a connection that never comes, or uses up
    its sends on targets out of reach, while others have room. One failure lets a
    target rest for half a second, more for longer, then one request tries it. Resting
    ones are chosen where there are no others: nothing is refused for a guess.
    """

    def __init__(self) -> None:
        self._resting: dict[str, _Rest] = {}

    @property
    def resting(self) -> int:
        """Return how many targets are remembered as out of reach."""
        return len(self._resting)

    def note_failed(self, target_id: str, now: float) -> bool:
        """Note a failed connection; return whether the target was in reach before."""
        rest = self._resting.get(target_id)
        if rest is None:
            if len(self._resting) >= MAX_REMEMBERED:
                self._resting.pop(next(iter(self._resting)))
            rest = self._resting[target_id] = _Rest(now, 0)
        rest.failures += 1
        seconds = FIRST_REST_SECONDS * 2 ** (min(rest.failures, 8) - 1)
        rest.until = now + min(seconds, MAX_REST_SECONDS)
        return rest.failures == 1

    def note_reached(self, target_id: str) -> bool:
        """Note that a target answered; return whether it was out of reach before."""
        return self._resting.pop(target_id, None) is not None

    def note_chosen(self, target_id: str, now: float) -> None:
        """Let a target that is tried again rest for others until that is known."""
        rest = self._resting.get(target_id)
        if rest is not None:
            rest.until = max(rest.until, now + TRIAL_SECONDS)

    def select(self, targets: Sequence[Target], now: float) -> Sequence[Target]:
        """Return the targets that do not rest, or all where all of them do."""
        if not self._resting:
            return targets
        awake = [target for target in targets if not self._is_resting(target.id, now)]
        return awake or targets

    def _is_resting(self, target_id: str, now: float) -> bool:
        rest = self._resting.get(target_id)
        return rest is not None and now < rest.until
