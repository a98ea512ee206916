"""Keep requests off targets that asked for a time without any."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

from . import const as c

__all__ = ["TargetRests"]

NEVER = float("-inf")


class _NamedTarget(Protocol):
    @property
    def id(self) -> str: ...


Target = TypeVar("Target", bound=_NamedTarget)


@dataclass
class _Rest:
    """When a target's rest ends, as it asked this host or another one.

    has_refused: the target has accepted no request since it asked this host.
    """

    end: float = NEVER
    reported_end: float = NEVER
    has_refused: bool = False

    def get_last_end(self) -> float:
        retry_end = self.end + c.REST_TRIAL_SECONDS if self.has_refused else NEVER
        return max(self.end, self.reported_end, retry_end)


class TargetRests:
    """Until when each target wants no request; times in seconds.

    A target that refuses requests has no work, so load balancing would choose it first
    each time: callers would use up their attempts on it, and it would get no rest.

    What the target asked of this host binds it. What it asked of other hosts is a hint:
    such a target is used only if no other one is left.
    """

    def __init__(self) -> None:
        self._rests: dict[str, _Rest] = {}

    def __len__(self) -> int:
        """Return the number of targets known, until drop_ended forgets them."""
        return len(self._rests)

    def begin(self, target_id: str, seconds: float, now: float) -> bool:
        """Begin or prolong a target's rest; return whether it ends later than before.

        The latest end counts: an answer to a request that was sent before the rest says
        nothing about it.
        """
        end = now + min(seconds, c.MAX_REST_SECONDS)
        known = self._rests.get(target_id)
        if end <= max(now, known.end if known is not None else NEVER):
            return False
        rest = self._get_or_add(target_id, now)
        rest.end, rest.has_refused = end, True
        return True

    def record_reported(self, target_id: str, end: float, now: float) -> None:
        """Record that a target asked another host for a rest until end."""
        if end > now:
            rest = self._get_or_add(target_id, now)
            rest.reported_end = max(rest.reported_end, end)

    def record_accepted(self, target_id: str, now: float) -> None:
        """Record that a target did not refuse a request."""
        rest = self._rests.get(target_id)
        if rest is not None and rest.end <= now:
            rest.has_refused = False

    def compute_wait(self, target_id: str, now: float) -> float:
        """Return the seconds until a target accepts requests again, 0.0 if it does."""
        rest = self._rests.get(target_id)
        return 0.0 if rest is None else max(0.0, rest.end - now)

    def is_resting(self, target_id: str, now: float) -> bool:
        """Return whether a target wants no requests from this host now."""
        return self.compute_wait(target_id, now) > 0.0

    def get_awake(self, targets: Sequence[Target], now: float) -> Sequence[Target]:
        """Return the targets that are not resting."""
        if not self._rests:
            return targets
        return [target for target in targets if not self.is_resting(target.id, now)]

    def prefer(
        self, awake: Sequence[Target], now: float, is_retry: bool
    ) -> Sequence[Target]:
        """Return the targets least likely to refuse; empty only if none was given.

        Targets that may still refuse get no retries if others are left: a request that
        met two of them in a row would be refused although a third one could serve it.
        """
        if not self._rests:
            return awake
        preferred = [
            target
            for target in awake
            if not self._may_refuse(self._rests.get(target.id), now, is_retry)
        ]
        return preferred or awake

    def drop_ended(self, now: float) -> None:
        """Forget the rests that ended long enough ago."""
        self._rests = {
            name: rest
            for name, rest in self._rests.items()
            if rest.get_last_end() > now
        }

    def _may_refuse(self, rest: _Rest | None, now: float, is_retry: bool) -> bool:
        if rest is None:
            return False
        return rest.reported_end > now or (rest.has_refused and is_retry)

    def _get_or_add(self, target_id: str, now: float) -> _Rest:
        if target_id not in self._rests:
            self._make_room(now)
        return self._rests.setdefault(target_id, _Rest())

    def _make_room(self, now: float) -> None:
        if len(self._rests) < c.MAX_TARGET_RESTS:
            return
        self.drop_ended(now)
        while len(self._rests) >= c.MAX_TARGET_RESTS:
            first = min(self._rests, key=lambda name: self._rests[name].get_last_end())
            del self._rests[first]
