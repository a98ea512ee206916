"""Keep requests off targets that asked for a time without any."""

from __future__ import annotations

from . import const as c

__all__ = ["TargetRests"]

NEVER = float("-inf")


class TargetRests:
    """Until when each target wants no request from this host; times in seconds.

    A target that refuses requests has no work, so load balancing would choose it first
    each time: callers would use up their attempts on it, and it would get no rest.
    """

    def __init__(self) -> None:
        self._ends: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of rests, including ended ones that are not dropped yet."""
        return len(self._ends)

    def begin(self, target_id: str, seconds: float, now: float) -> bool:
        """Begin or prolong a target's rest; return whether it ends later than before.

        The latest end counts: an answer to a request that was sent before the rest says
        nothing about it.
        """
        end = now + min(seconds, c.MAX_REST_SECONDS)
        if end <= max(now, self._ends.get(target_id, NEVER)):
            return False
        if target_id not in self._ends:
            self._make_room(now)
        self._ends[target_id] = end
        return True

    def compute_wait(self, target_id: str, now: float) -> float:
        """Return the seconds until a target accepts requests again, 0.0 if it does."""
        return max(0.0, self._ends.get(target_id, now) - now)

    def is_resting(self, target_id: str, now: float) -> bool:
        """Return whether a target wants no requests now."""
        return self._ends.get(target_id, NEVER) > now

    def drop_ended(self, now: float) -> None:
        """Forget the rests that have ended."""
        self._ends = {name: end for name, end in self._ends.items() if end > now}

    def _make_room(self, now: float) -> None:
        if len(self._ends) < c.MAX_TARGET_RESTS:
            return
        self.drop_ended(now)
        while len(self._ends) >= c.MAX_TARGET_RESTS:
            del self._ends[min(self._ends, key=self._ends.__getitem__)]
