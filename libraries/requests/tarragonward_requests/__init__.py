"""Decisions, without I/O, about model requests and non-idempotent calls."""

from .keys import CallKey, mint_key_prefix, parse_key
from .ledger import CallLedger, CallState, RecordedAnswer, Reply, Send, Wait
from .lifecycle import RequestLifecycle
from .messages import (
    AttemptFailed,
    AttemptFault,
    AttemptFinished,
    CallerLeft,
    CancelAttempt,
    DeadlinePassed,
    DeliverText,
    Effect,
    EndRequest,
    Event,
    HostStopping,
    PlacementRefused,
    StartAttempt,
    TextArrived,
)
from .outliers import ListLifetime, OutlierDetector, PlainBackoff, ProbedBackoff
from .retries import RetryBudget
from .sweep import HeldMemory, OwnerSign, Sweep

__all__ = [
    "AttemptFailed",
    "AttemptFault",
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
    "HeldMemory",
    "HostStopping",
    "ListLifetime",
    "OutlierDetector",
    "OwnerSign",
    "PlainBackoff",
    "ProbedBackoff",
    "PlacementRefused",
    "RecordedAnswer",
    "Reply",
    "RequestLifecycle",
    "RetryBudget",
    "Send",
    "StartAttempt",
    "Sweep",
    "TextArrived",
    "Wait",
    "mint_key_prefix",
    "parse_key",
]
