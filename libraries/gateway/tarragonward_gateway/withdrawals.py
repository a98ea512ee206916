"""Decide for how long a target is still used whose record is gone."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from . import const as c

__all__ = ["LapseReason", "Linger", "SourceView", "choose_linger"]


class LapseReason(Enum):
    """Why a missing record may have expired, rather than been withdrawn."""

    RESTORED = "restored"
    OUTAGE = "outage"
    UNCONFIRMED = "unconfirmed"
    MANY = "many"


@dataclass(frozen=True)
class SourceView:
    """What a host knows of the source when it hears of withdrawals.

    confirmed_age: the seconds since its records were last confirmed to be complete,
    before the withdrawals. is_after_outage: an outage of the source ended moments ago.
    is_restored: the source came back from a copy.
    """

    confirmed_age: float
    is_after_outage: bool
    is_full_read: bool
    is_restored: bool


@dataclass(frozen=True)
class Linger:
    """For how many seconds a target is still used, and why."""

    seconds: float
    reason: LapseReason


def choose_linger(
    view: SourceView, drain_seconds: float, withdrawn: int, ready: int
) -> Linger | None:
    """Return the linger of a service's withdrawn targets; None to remove them at once.

    withdrawn and ready are the numbers of its targets, those withdrawn among the ready.
    """
    reason = _find_reason(view, withdrawn, ready)
    if reason is None:
        return None
    share = c.GUESSED_LINGER_SHARE
    if reason is not LapseReason.MANY and view.is_full_read:
        share = c.LINGER_SHARE
    return Linger(share * drain_seconds, reason)


def _find_reason(view: SourceView, withdrawn: int, ready: int) -> LapseReason | None:
    if not withdrawn:
        return None
    if view.is_restored:
        return LapseReason.RESTORED
    if view.confirmed_age > c.OUTAGE_CONFIRMED_AGE_SECONDS:
        return LapseReason.UNCONFIRMED
    if view.is_after_outage:
        return LapseReason.OUTAGE
    is_many = withdrawn >= max(c.LAPSE_MIN_TARGETS, c.LAPSE_MIN_SHARE * ready)
    return LapseReason.MANY if is_many else None
