"""Decisions, without I/O, about model requests and non-idempotent calls."""

from .keys import CallKey, mint_key_prefix, parse_key
from .ledger import CallLedger, CallState, RecordedAnswer, Reply, Send, Wait
from .lifecycle import RequestLifecycle
from .messages import (
    AttemptFailed,
    AttemptFinished,
    CallerLeft,
    CancelAttempt,
    DeadlinePassed,
    DeliverText,
    Effect,
    EndRequest,
    Event,
    PlacementRefused,
    StartAttempt,
    TextArrived,
)
from .retries import RetryBudget

__all__ = [
    "AttemptFailed",
    "AttemptFinished",
    "CallKey",
    "CallLedger",
    "CallState",
    "CallerLeft",
    "CancelAttempt",
    "DeadlinePassed",
    "DeliverText",
    "Effect",
    "EndRequest",
    "Event",
    "PlacementRefused",
    "RecordedAnswer",
    "Reply",
    "RequestLifecycle",
    "RetryBudget",
    "Send",
    "StartAttempt",
    "TextArrived",
    "Wait",
    "mint_key_prefix",
    "parse_key",
]
