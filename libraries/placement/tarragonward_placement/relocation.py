"""Decide whether a request moves when its engine starts a long prefill."""

from __future__ import annotations

from . import const as c
from .fleet import EngineUsage

__all__ = ["should_migrate", "predict_event_wait"]


def predict_event_wait(usage: EngineUsage, pass_seconds: float) -> float:
    """Return the seconds until an engine's decoding requests get their next event."""
    return (usage.prefill_seconds + pass_seconds) * usage.slowdown


def should_migrate(
    wait_seconds: float, wait_elsewhere_seconds: float, limit_seconds: float
) -> bool:
    """Return whether a request is late where it is and in time elsewhere; seconds.

    This also applies to a request whose stream has not started.

    A part of a long prompt is prefilled within one pass of the engine's decoding
    requests, so they all pause for its duration, and the caller of a short prompt
    leaves after two seconds. On another engine a short prompt is prefilled again, and
    its stream continues, within a tenth of a second. A stream that is only slightly
    late stays: the prediction is inexact, and a migration uses up a retry.
    """
    return (
        wait_seconds > limit_seconds * c.MIGRATE_FROM_SHARE
        and wait_elsewhere_seconds <= limit_seconds * c.MIGRATE_TO_SHARE
    )
