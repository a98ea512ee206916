"""Read the clock that ages are told by."""

from __future__ import annotations

import time

__all__ = ["read_clock", "read_suspended_seconds"]


def read_clock() -> float:
    """Return seconds on a clock that only grows, and also while the host sleeps.

    The loop's clock stands still while a host is suspended. Symptom: what was heard
    before the pause counts as just heard. This clock counts the pause, and does not
    follow the time of day when that jumps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_suspended_seconds() -> float:
    """Return how many seconds the host was suspended since it booted."""
    return read_clock() - time.clock_gettime(time.CLOCK_MONOTONIC)
