"""Define the events and effects of a model request's life cycle."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonward_core import ResultCode

__all__ = [
    "AttemptFailed",
    "AttemptFinished",
    "CallerLeft",
    "CancelAttempt",
    "DeadlinePassed",
    "DeliverText",
    "Effect",
    "EndRequest",
    "Event",
    "PlacementRefused",
    "StartAttempt",
    "TextArrived",
]


@dataclass(frozen=True)
class TextArrived:
    """Text came from an attempt; offset counts the tokens before it in the answer."""

    attempt: int
    offset: int
    tokens: int
    text: str


@dataclass(frozen=True)
class AttemptFinished:
    """An attempt's engine says that the answer is whole at this many tokens."""

    attempt: int
    tokens: int
    finish_reason: str


@dataclass(frozen=True)
class AttemptFailed:
    """An attempt ended without its finish; can_resume where the stream may live on."""

    attempt: int
    can_resume: bool
    reason: str


@dataclass(frozen=True)
class PlacementRefused:
    """No target was found for the attempt that was to start."""

    attempt: int
    code: ResultCode
    retry_after_seconds: float


@dataclass(frozen=True)
class CallerLeft:
    """The caller closed its connection."""


@dataclass(frozen=True)
class DeadlinePassed:
    """The time limit may have passed; also sent after a pause of the process."""


Event = (
    TextArrived
    | AttemptFinished
    | AttemptFailed
    | PlacementRefused
    | CallerLeft
    | DeadlinePassed
)


@dataclass(frozen=True)
class StartAttempt:
    """Start an attempt that begins after offset tokens of the answer.

    resume asks for the same stream on the same engine; otherwise another engine goes
    on from the prompt plus the text already given out.
    """

    attempt: int
    offset: int
    resume: bool


@dataclass(frozen=True)
class CancelAttempt:
    """Cancel an attempt and release what it holds on its engine."""

    attempt: int


@dataclass(frozen=True)
class DeliverText:
    """Give text to the caller."""

    text: str
    tokens: int


@dataclass(frozen=True)
class EndRequest:
    """End the request: the one terminal event."""

    code: ResultCode
    finish_reason: str
    retry_after_seconds: float | None = None


Effect = StartAttempt | CancelAttempt | DeliverText | EndRequest
