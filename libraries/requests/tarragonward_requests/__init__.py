"""Decision logic without I/O for model requests, forwarded requests and calls."""

from .crash_suspects import ClearedSuspects, CrashSuspects, SendVerdict, SuspectIdentity
from .events import EventStreamSplitter, StreamEvent
from .exchange import (
    AbortConnection,
    AnswerStarted,
    Blamed,
    EventsGiven,
    Exchange,
    ExchangeEffect,
    ExchangeEvent,
    ExchangePolicy,
    ForwardAnswer,
    Refuse,
    SendFailed,
    SendFault,
    SendTo,
    TargetAnswered,
    TimeOver,
)
from .fingerprints import FINGERPRINT_BYTES, fingerprint_request
from .keys import CallKey, mint_key_prefix, parse_key
from .ledger import CallLedger, CallState, RecordedAnswer, Reply, Send, Wait
from .lifecycle import RequestLifecycle
from .messages import (
    AttemptFailed,
    AttemptFault,
    AttemptFinished,
    CallerDisconnected,
    CancelAttempt,
    DeadlineTimerFired,
    DeliverText,
    DrainTimeoutExpired,
    Effect,
    EndRequest,
    Event,
    PlacementRefused,
    StartAttempt,
    TextArrived,
)
from .outliers import (
    ExponentialBackoff,
    FixedEjection,
    OutlierDetector,
    ProbedExponentialBackoff,
)
from .retries import RetryBudget
from .segment_entries import SegmentCrash, SegmentEntry, SuspectSegment
from .segment_suspects import SegmentTracker
from .segment_verdicts import PromptContext, SegmentVerdict
from .segments import (
    AnsweredSegments,
    RecentPrompts,
    fingerprint_segments,
    parse_segments,
)
from .shared_budget import RetryBudgetBounds, SharedRetryBudget
from .suspects import Suspect, SuspectEntry, SuspectTracker, Verdict
from .sweep import HeldResource, OrphanSweep, OwnerStatus

__all__ = [
    "FINGERPRINT_BYTES",
    "AbortConnection",
    "AnswerStarted",
    "AnsweredSegments",
    "AttemptFailed",
    "AttemptFault",
    "AttemptFinished",
    "Blamed",
    "CallKey",
    "CallLedger",
    "CallState",
    "CallerDisconnected",
    "CancelAttempt",
    "ClearedSuspects",
    "CrashSuspects",
    "DeadlineTimerFired",
    "DeliverText",
    "DrainTimeoutExpired",
    "Effect",
    "EndRequest",
    "Event",
    "EventStreamSplitter",
    "EventsGiven",
    "Exchange",
    "ExchangeEffect",
    "ExchangeEvent",
    "ExchangePolicy",
    "ExponentialBackoff",
    "FixedEjection",
    "ForwardAnswer",
    "HeldResource",
    "OrphanSweep",
    "OutlierDetector",
    "OwnerStatus",
    "PlacementRefused",
    "ProbedExponentialBackoff",
    "PromptContext",
    "RecentPrompts",
    "RecordedAnswer",
    "Refuse",
    "Reply",
    "RequestLifecycle",
    "RetryBudget",
    "RetryBudgetBounds",
    "SegmentCrash",
    "SegmentEntry",
    "SegmentTracker",
    "SegmentVerdict",
    "Send",
    "SendFailed",
    "SendFault",
    "SendTo",
    "SendVerdict",
    "SharedRetryBudget",
    "StartAttempt",
    "StreamEvent",
    "Suspect",
    "SuspectEntry",
    "SuspectIdentity",
    "SuspectSegment",
    "SuspectTracker",
    "TargetAnswered",
    "TextArrived",
    "TimeOver",
    "Verdict",
    "Wait",
    "fingerprint_request",
    "fingerprint_segments",
    "mint_key_prefix",
    "parse_key",
    "parse_segments",
]
