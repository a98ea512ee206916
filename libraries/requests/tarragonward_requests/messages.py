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
    "PromptBlamed",
    "StartAttempt",
    "TextArrived",
]


class AttemptFault(Enum):
    """Why an attempt failed."""

    NOT_CONNECTED = "not connected"
    REFUSED = "refused"
    STREAM_GONE = "stream gone"
    CONNECTION_LOST = "connection lost"
    # The engine lost the connection and refuses new ones.
    CRASHED = "crashed"
    SILENT = "silent"
    INVALID = "invalid"

    @property
    def proves_not_run(self) -> bool:
        """Return whether the engine cannot have run any part of the attempt."""
        return self in (AttemptFault.NOT_CONNECTED, AttemptFault.REFUSED)


@dataclass(frozen=True)
class TextArrived:
    """An attempt produced text; offset is its first token's position in the answer.

    pieces has one string per token.
    """

    attempt: int
    offset: int
    pieces: tuple[str, ...]


@dataclass(frozen=True)
class AttemptFinished:
    """The engine reported the end of the answer, which has this many tokens."""

    attempt: int
    tokens: int
    finish_reason: str


@dataclass(frozen=True)
class AttemptFailed:
    """An attempt ended before the end of the answer."""

    attempt: int
    fault: AttemptFault


@dataclass(frozen=True)
class PlacementRefused:
    """Placement found no target for an attempt."""

    attempt: int
    code: ResultCode
    retry_after_seconds: float


@dataclass(frozen=True)
class PromptBlamed:
    """The prompt may crash the next engine; an attempt of it is not started.

    retry_after_seconds is None if it is refused, else when another host has tried it.
    """

    attempt: int
    retry_after_seconds: float | None = None


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller closed its connection."""


@dataclass(frozen=True)
class DeadlineTimerFired:
    """The deadline's timer fired, possibly early, or late after a process pause."""


@dataclass(frozen=True)
class DrainTimeoutExpired:
    """The host is stopping: its drain time-out has expired."""


Event = (
    TextArrived
    | AttemptFinished
    | AttemptFailed
    | PlacementRefused
    | PromptBlamed
    | CallerDisconnected
    | DeadlineTimerFired
    | DrainTimeoutExpired
)


@dataclass(frozen=True)
class StartAttempt:
    """Start an attempt at offset, the number of tokens already delivered.

    With resume, reconnect to the same stream on the same engine. Otherwise another
    engine continues from the prompt plus the delivered text. Whoever carries the effect
    out adds jitter to delay_seconds.
    """

    attempt: int
    offset: int
    resume: bool
    delay_seconds: float = 0.0


@dataclass(frozen=True)
class CancelAttempt:
    """Cancel an attempt and release its resources on the engine."""

    attempt: int


@dataclass(frozen=True)
class DeliverText:
    """Deliver text of so many tokens to the caller."""

    text: str
    tokens: int


@dataclass(frozen=True)
class EndRequest:
    """End the request; the only terminal effect."""

    code: ResultCode
    finish_reason: str
    retry_after_seconds: float | None = None


Effect = StartAttempt | CancelAttempt | DeliverText | EndRequest
