"""Decide whether a stream goes on elsewhere, as its engine begins to read for long."""

from __future__ import annotations

from . import const as c
from .fleet import EngineUsage

__all__ = ["should_migrate", "predict_event_wait"]


def predict_event_wait(work: EngineUsage, pass_seconds: float) -> float:
    """Return the seconds until an engine's writers have their next event."""
    return (work.prefill_seconds + pass_seconds) * work.slowdown


def should_migrate(
    wait_seconds: float, wait_elsewhere_seconds: float, limit_seconds: float
) -> bool:
    """Return whether a stream is in time elsewhere and is not where it is; seconds.

    A long prompt's part is read within one pass of the writers beside it, so they all
    pause for as long as it takes; the caller of a short one leaves after two seconds.
    Read again on another engine, a short prompt goes on within a tenth of a second.
    What is nearly in time stays: a prediction is not exact, and a move costs a repeat.
    """
    return (
        wait_seconds > limit_seconds * c.MIGRATE_FROM_SHARE
        and wait_elsewhere_seconds <= limit_seconds * c.MIGRATE_TO_SHARE
    )
