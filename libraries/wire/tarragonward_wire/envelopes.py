"""Define the envelopes of messages between hosts."""

from __future__ import annotations

from dataclasses import dataclass

from .codec import register_message

__all__ = ["ClockProbe", "Envelope", "NoAnswer", "OpenRelay"]


@register_message
@dataclass(frozen=True)
class Envelope:
    """A message in transit; number correlates an answer with its request.

    An answer has the number of its request, and is_answer set. Number 0 marks a
    one-way message. clock is the sender's monotonic clock in seconds.
    """

    number: int
    is_answer: bool
    clock: float
    body: bytes


@register_message
@dataclass(frozen=True)
class NoAnswer:
    """The handler returned no answer, was too busy, or failed."""

    reason: str


@register_message
@dataclass(frozen=True)
class ClockProbe:
    """A request for the clock value in the answer's envelope only."""


@register_message
@dataclass(frozen=True)
class OpenRelay:
    """A request to turn the link into a connection to a target, as its first message.

    target is the target's id; the relay has timeout_seconds to connect to it.
    """

    target: str
    timeout_seconds: float
