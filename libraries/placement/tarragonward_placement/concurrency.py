"""Limit the requests in flight at targets that refused one because they were full."""

from __future__ import annotations

from dataclasses import dataclass

from . import const as c

__all__ = ["ConcurrencyLimits"]


@dataclass
class _Limit:
    """A target's limit, when it last mattered, and from when on it gets a request."""

    requests: float
    applied_at: float
    open_at: float


class ConcurrencyLimits:
    """How many requests this host may have in flight at each full target.

    A target whose queue is full refuses what comes next, and a request that is refused
    twice has used up its attempts although it could be served in time. After a refusal
    this host sends to the target only as its own earlier requests end there. The limit
    grows by one for as many ended requests as it allows, so it follows a queue that
    empties, and is forgotten once it has kept no request back for a while. If it were
    forgotten sooner, all held requests would be sent at once and refused again. Times
    are in seconds.
    """

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}

    def __len__(self) -> int:
        """Return the number of targets with a limit."""
        return len(self._limits)

    def record_refused(self, target_id: str, others: int, now: float) -> None:
        """Record that a target refused a request beside others of this host."""
        self._drop_unused(now)
        known = self._limits.get(target_id)
        allowed = float(max(1, others))
        if known is not None:
            allowed = min(allowed, known.requests)
        # Without a request whose end would show a free place, only time can.
        wait = 0.0 if others else c.FULL_TARGET_RETRY_SECONDS
        self._limits[target_id] = _Limit(allowed, now, now + wait)

    def record_ended(self, target_id: str) -> None:
        """Record that a request ended at a target that had accepted it."""
        limit = self._limits.get(target_id)
        if limit is not None:
            limit.requests += 1.0 / limit.requests

    def may_send(self, target_id: str, in_flight: int, now: float) -> bool:
        """Return whether a target may get one more request of this host."""
        limit = self._limits.get(target_id)
        if limit is None or _is_unused(limit, now):
            return True
        if now >= limit.open_at and in_flight + 1 <= limit.requests:
            return True
        limit.applied_at = now
        return False

    def _drop_unused(self, now: float) -> None:
        self._limits = {
            target_id: limit
            for target_id, limit in self._limits.items()
            if not _is_unused(limit, now)
        }


def _is_unused(limit: _Limit, now: float) -> bool:
    return now - limit.applied_at > c.UNUSED_LIMIT_SECONDS
