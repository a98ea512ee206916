"""Estimate from the passes of an engine whether it is slow."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from . import const as c

__all__ = ["SlowdownSamples"]


@dataclass
class SlowdownSamples:
    """The slowdowns of an engine's last passes, as seen by this host."""

    observed_at: float = 0.0
    values: deque[float] = field(
        default_factory=lambda: deque(maxlen=c.SLOWDOWN_SAMPLES)
    )

    def estimate(self) -> float:
        """Return the engine's slowdown; 1 unless it is certainly slow.

        A prefill makes a pass longer, so short passes show the engine's own speed. The
        very shortest is ignored: events that were delayed on the way arrive together.
        """
        if len(self.values) < c.MIN_SLOWDOWN_SAMPLES:
            return 1.0
        slowdown = sorted(self.values)[1]
        return slowdown if slowdown >= c.MIN_SLOWDOWN else 1.0
