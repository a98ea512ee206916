"""Read the clock that ages are measured with."""

from __future__ import annotations

import time

__all__ = ["read_clock", "read_suspended_seconds"]


def read_clock() -> float:
    """Return seconds on a monotonic clock that also counts while the host is suspended.

    The event loop's clock stops during a suspension, so data received before it would
    count as fresh. Unlike the time of day, this clock does not jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_suspended_seconds() -> float:
    """Return how many seconds the host has been suspended since boot."""
    return read_clock() - time.clock_gettime(time.CLOCK_MONOTONIC)
