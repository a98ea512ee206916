"""Decide whether a host accepts one more connection, before it reads a request.

A caller whose connection is closed unread can try another host at once, whatever it
asks for. What is read and then fails costs the caller an attempt, and the host the time
that its other requests need.
"""

from __future__ import annotations

from collections import deque

from . import const as c

__all__ = ["ConnectionGate"]


class ConnectionGate:
    """Sheds connections while far more of them arrive than usual and requests fail.

    Times are in seconds. Failures alone are no reason: while a service is down, callers
    should be told when to come back.
    """

    def __init__(self) -> None:
        self._connections: deque[float] = deque()
        self._outcomes: deque[tuple[float, bool]] = deque()
        self._served = 0
        # Connections per second over the last minutes, without the surplus of bursts.
        self._usual_rate = 0.0
        self._rated_at: float | None = None
        self._ratings = 0
        self._began_at: float | None = None

    def record_outcome(self, is_served: bool, now: float) -> None:
        """Record whether a request that was read got the answer of a target."""
        self._outcomes.append((now, is_served))
        self._served += is_served

    def may_accept(self, in_flight: int, draw: float, now: float) -> bool:
        """Return whether to serve a connection that has just arrived.

        in_flight is how many requests are in progress; draw is random, from 0 to 1.
        """
        is_crowded = self._record_connection(now)
        if in_flight < c.GATE_MIN_IN_FLIGHT:
            return True
        return not is_crowded or draw >= self._compute_shed_share(now)

    def _record_connection(self, now: float) -> bool:
        """Return whether far more connections arrive than usual."""
        if self._began_at is None:
            self._began_at = now
        self._connections.append(now)
        while self._connections[0] <= now - c.GATE_RATE_SECONDS:
            self._connections.popleft()
        rate = len(self._connections) / c.GATE_RATE_SECONDS
        bound = max(c.GATE_CROWD_FACTOR * self._usual_rate, c.GATE_MIN_CROWD_RATE)
        is_known = now >= self._began_at + c.GATE_LEARNING_SECONDS
        is_crowded = is_known and rate > bound
        if self._rated_at is None or now >= self._rated_at + c.GATE_RATE_SECONDS:
            # A crowd raises the usual rate slowly, so that it stays one for a while.
            self._ratings += 1
            weight = c.GATE_CROWD_WEIGHT if is_crowded else c.GATE_RATE_WEIGHT
            weight = max(weight, 1.0 / self._ratings)
            self._usual_rate += weight * (rate - self._usual_rate)
            self._rated_at = now
        return is_crowded

    def _compute_shed_share(self, now: float) -> float:
        """Return the share of connections to close so that most others succeed."""
        while self._outcomes and self._outcomes[0][0] <= now - c.GATE_OUTCOME_SECONDS:
            _, was_served = self._outcomes.popleft()
            self._served -= was_served
        total = len(self._outcomes)
        if total < c.GATE_MIN_OUTCOMES:
            return 0.0
        return max(0.0, 1.0 - c.GATE_READ_PER_SERVED * self._served / total)
