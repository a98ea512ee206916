"""Define the events and effects of a model request's life cycle."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from tarragonward_core import ResultCode

__all__ = [
    "AttemptFailed",
    "AttemptFault",
    "AttemptFinished",
    "CallerDisconnected",
    "CancelAttempt",
    "DeadlineTimerFired",
    "DeliverText",
    "DrainTimeoutExpired",
    "Effect",
    "EndRequest",
    "Event",
    "PlacementRefused",
    "StartAttempt",
    "TextArrived",
]


class AttemptFault(Enum):
    """Why an attempt ended without its finish."""

    NOT_CONNECTED = "not connected"
    REFUSED = "refused"
    STREAM_GONE = "stream gone"
    CONNECTION_LOST = "connection lost"
    SILENT = "silent"
    INVALID = "invalid"

    @property
    def proves_not_run(self) -> bool:
        """Return whether the engine certainly ran nothing of the attempt."""
        return self in (AttemptFault.NOT_CONNECTED, AttemptFault.REFUSED)


@dataclass(frozen=True)
class TextArrived:
    """Text came from an attempt; offset counts the tokens before it in the answer.

    pieces holds one text for each token.
    """

    attempt: int
    offset: int
    pieces: tuple[str, ...]


@dataclass(frozen=True)
class AttemptFinished:
    """An attempt's engine says that the answer is whole at this many tokens."""

    attempt: int
    tokens: int
    finish_reason: str


@dataclass(frozen=True)
class AttemptFailed:
    """An attempt ended without its finish."""

    attempt: int
    fault: AttemptFault


@dataclass(frozen=True)
class PlacementRefused:
    """No target was found for the attempt that was to start."""

    attempt: int
    code: ResultCode
    retry_after_seconds: float


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller closed its connection."""


@dataclass(frozen=True)
class DeadlineTimerFired:
    """The time limit may have passed; also sent after a pause of the process."""


@dataclass(frozen=True)
class DrainTimeoutExpired:
    """The host's time to drain is over."""


Event = (
    TextArrived
    | AttemptFinished
    | AttemptFailed
    | PlacementRefused
    | CallerDisconnected
    | DeadlineTimerFired
    | DrainTimeoutExpired
)


@dataclass(frozen=True)
class StartAttempt:
    """Start an attempt that begins after offset tokens of the answer.

    resume asks for the same stream on the same engine; otherwise another engine goes
    on from the prompt plus the text already given out. delay_seconds is to be spread
    by jitter.
    """

    attempt: int
    offset: int
    resume: bool
    delay_seconds: float = 0.0


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
