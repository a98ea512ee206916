"""Define what messages between hosts travel in."""

from __future__ import annotations

from dataclasses import dataclass

from .codec import register_message

__all__ = ["ClockProbe", "Envelope", "NoAnswer"]


@register_message
@dataclass(frozen=True)
class Envelope:
    """One message on its way; number ties an answer to its question.

    An answer carries its question's number and is_answer; number 0 wants no answer.
    clock is the sender's monotonic clock in seconds.
    """

    number: int
    is_answer: bool
    clock: float
    body: bytes


@register_message
@dataclass(frozen=True)
class NoAnswer:
    """Say that the handler had nothing to answer or failed."""

    reason: str


@register_message
@dataclass(frozen=True)
class ClockProbe:
    """Ask for no more than the clock in the answer's envelope."""
