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
    before the withdrawals. is_after_outage: an outage of the source ended moments ago;
    is_confirmed_since_outage: the records were confirmed after the last sign of it.
    is_restored: the source came back from a copy.
    """

    confirmed_age: float
    is_after_outage: bool = False
    is_confirmed_since_outage: bool = True
    is_full_read: bool = False
    is_restored: bool = False


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
    seconds = share * drain_seconds
    if _may_be_withdrawal(view, reason):
        # It may be as old as the last confirmation.
        left = drain_seconds - c.SEND_MARGIN_SECONDS - view.confirmed_age
        seconds = min(seconds, left)
    return Linger(seconds, reason) if seconds > 0.0 else None


def _may_be_withdrawal(view: SourceView, reason: LapseReason) -> bool:
    """Return whether the source was there when the records went, and gave them up.

    A host whose records nobody confirms asks the source, so a live one confirms them.
    """
    if view.confirmed_age > c.SOURCE_AWAY_AGE_SECONDS:
        return False
    if reason is LapseReason.OUTAGE:
        return view.is_confirmed_since_outage
    return reason is LapseReason.MANY


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
