"""Keep requests off targets that asked for a time without any."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

from . import const as c

__all__ = ["TargetCooldowns"]

NEVER = float("-inf")


class _NamedTarget(Protocol):
    @property
    def id(self) -> str: ...


Target = TypeVar("Target", bound=_NamedTarget)


@dataclass
class _Cooldown:
    """When a target's cooldown ends, as it asked this host or another one.

    has_refused: the target has accepted no request since it asked this host.
    """

    end: float = NEVER
    reported_end: float = NEVER
    has_refused: bool = False

    def get_last_end(self) -> float:
        retry_end = self.end + c.COOLDOWN_TRIAL_SECONDS if self.has_refused else NEVER
        return max(self.end, self.reported_end, retry_end)


class TargetCooldowns:
    """Until when each target wants no request; times in seconds.

    A target that refuses requests has no work, so load balancing would choose it first
    each time: callers would use up their attempts on it, which asked to be left alone.

    What the target asked of this host binds it. What it asked of other hosts is a hint:
    such a target is used only if no other one is left.
    """

    def __init__(self) -> None:
        self._cooldowns: dict[str, _Cooldown] = {}

    def __len__(self) -> int:
        """Return the number of targets known, until drop_ended forgets them."""
        return len(self._cooldowns)

    def begin(self, target_id: str, seconds: float, now: float) -> bool:
        """Begin or prolong a cooldown; return whether it ends later than before.

        The latest end counts: an answer to a request that was sent before the cooldown
        says nothing about it.
        """
        end = now + min(seconds, c.MAX_COOLDOWN_SECONDS)
        known = self._cooldowns.get(target_id)
        if end <= max(now, known.end if known is not None else NEVER):
            return False
        cooldown = self._get_or_add(target_id, now)
        cooldown.end, cooldown.has_refused = end, True
        return True

    def record_reported(self, target_id: str, end: float, now: float) -> None:
        """Record that a target asked another host for a cooldown until end."""
        if end > now:
            cooldown = self._get_or_add(target_id, now)
            cooldown.reported_end = max(cooldown.reported_end, end)

    def record_accepted(self, target_id: str, now: float) -> None:
        """Record that a target did not refuse a request."""
        cooldown = self._cooldowns.get(target_id)
        if cooldown is not None and cooldown.end <= now:
            cooldown.has_refused = False

    def compute_wait(self, target_id: str, now: float) -> float:
        """Return the seconds until a target accepts requests again, 0.0 if it does."""
        cooldown = self._cooldowns.get(target_id)
        return 0.0 if cooldown is None else max(0.0, cooldown.end - now)

    def is_cooling_down(self, target_id: str, now: float) -> bool:
        """Return whether a target wants no requests from this host now."""
        return self.compute_wait(target_id, now) > 0.0

    def get_available(self, targets: Sequence[Target], now: float) -> Sequence[Target]:
        """Return the targets that are not cooling down."""
        if not self._cooldowns:
            return targets
        return [
            target for target in targets if not self.is_cooling_down(target.id, now)
        ]

    def prefer(
        self, available: Sequence[Target], now: float, is_retry: bool
    ) -> Sequence[Target]:
        """Return the targets least likely to refuse; empty only if none was given.

        Targets that may still refuse get no retries if others are left: a request that
        met two of them in a row would be refused although a third one could serve it.
        """
        if not self._cooldowns:
            return available
        preferred = [
            target
            for target in available
            if not self._may_refuse(self._cooldowns.get(target.id), now, is_retry)
        ]
        return preferred or available

    def drop_ended(self, now: float) -> None:
        """Forget the cooldowns that ended long enough ago."""
        self._cooldowns = {
            name: cooldown
            for name, cooldown in self._cooldowns.items()
            if cooldown.get_last_end() > now
        }

    def _may_refuse(
        self, cooldown: _Cooldown | None, now: float, is_retry: bool
    ) -> bool:
        if cooldown is None:
            return False
        return cooldown.reported_end > now or (cooldown.has_refused and is_retry)

    def _get_or_add(self, target_id: str, now: float) -> _Cooldown:
        if target_id not in self._cooldowns:
            self._make_room(now)
        return self._cooldowns.setdefault(target_id, _Cooldown())

    def _make_room(self, now: float) -> None:
        if len(self._cooldowns) < c.MAX_TARGET_COOLDOWNS:
            return
        self.drop_ended(now)
        while len(self._cooldowns) >= c.MAX_TARGET_COOLDOWNS:
            first = min(
                self._cooldowns, key=lambda name: self._cooldowns[name].get_last_end()
            )
            del self._cooldowns[first]
