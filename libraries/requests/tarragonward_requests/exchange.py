"""Decide the next step of one forwarded request: send, retry, answer or abort."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import singledispatch

from tarragonward_core import ResultCode, invariants

from . import const as c

__all__ = [
    "AbortConnection",
    "AnswerStarted",
    "Blamed",
    "EventsGiven",
    "Exchange",
    "ExchangeEffect",
    "ExchangeEvent",
    "ExchangePolicy",
    "ForwardAnswer",
    "Refuse",
    "SendFailed",
    "SendFault",
    "SendTo",
    "TargetAnswered",
    "TimeOver",
]


class SendFault(Enum):
    """Why a send produced no answer that can be forwarded.

    SPOILED: the answer was invalid or incomplete. SILENT: the target sent nothing for
    too long. MOVED: the host abandoned a working target for a faster one. WITHHELD: the
    target left, or asked for no more requests, before this one was written.
    """

    NO_TARGET = "no target"
    NOT_CONNECTED = "not connected"
    WITHHELD = "withheld"
    NOT_RUN = "not run"
    LOST = "lost"
    SPOILED = "spoiled"
    SILENT = "silent"
    MOVED = "moved"

    @property
    def proves_not_run(self) -> bool:
        """Return whether the target cannot have run any part of the request."""
        return self in (
            SendFault.NO_TARGET,
            SendFault.NOT_CONNECTED,
            SendFault.WITHHELD,
            SendFault.NOT_RUN,
        )


@dataclass(frozen=True)
class ExchangePolicy:
    """What the route allows; deadline is in seconds of the event loop's clock.

    may_run_again: a request that may have been run may be sent again. may_resume: also
    once the caller has a part of the answer, which the next target continues.
    """

    may_run_again: bool
    is_stream: bool
    max_sends: int
    deadline: float
    may_resume: bool = False


@dataclass(frozen=True)
class SendFailed:
    """A send ended without an answer.

    is_helper_fault: the target refused because one of its helper engines is not able to
    take part.
    """

    fault: SendFault
    retry_after_seconds: float | None = None
    is_helper_fault: bool = False


@dataclass(frozen=True)
class TargetAnswered:
    """A complete answer arrived; is_failure if its status is 5xx."""

    is_failure: bool


@dataclass(frozen=True)
class Blamed:
    """The request is suspected of crashing the targets that run it.

    wait_seconds: how long the caller has to wait while another host may be trying the
    request, or None if it is refused.
    """

    wait_seconds: float | None = None


@dataclass(frozen=True)
class AnswerStarted:
    """The head of a streamed answer was sent to the caller."""


@dataclass(frozen=True)
class EventsGiven:
    """The caller was sent the stream up to this event id."""

    last_event_id: int


@dataclass(frozen=True)
class TimeOver:
    """The deadline or the route's time-out has passed."""


@dataclass(frozen=True)
class SendTo:
    """Send the request to a target; resume after last_event_id.

    The target has not had the request, except with to_previous_target: then it is one
    that has had it and is not at fault. This is the last target, which did not run the
    request, or the one that was abandoned while it was still working.
    """

    last_event_id: int | None
    is_retry: bool
    delay_seconds: float = 0.0
    to_previous_target: bool = False


@dataclass(frozen=True)
class ForwardAnswer:
    """Forward the target's answer unchanged."""


@dataclass(frozen=True)
class Refuse:
    """Answer with an error of this host."""

    code: ResultCode
    retry_after_seconds: float | None = None


@dataclass(frozen=True)
class AbortConnection:
    """Close the connection mid-answer, so that the caller sees it as incomplete."""


ExchangeEvent = (
    SendFailed | TargetAnswered | AnswerStarted | EventsGiven | TimeOver | Blamed
)
ExchangeEffect = SendTo | ForwardAnswer | Refuse | AbortConnection


class Exchange:
    """State machine of one forwarded request; handle() maps events to effects.

    Callers rely on "not run" and send the request again, so it is reported only while
    no send can have run. After that, the outcome is reported as unknown.
    """

    def __init__(
        self, policy: ExchangePolicy, last_event_id: int | None = None
    ) -> None:
        self.policy = policy
        self.last_event_id = last_event_id
        self.sends = 0
        self._possible_runs = 0
        self._resends = 0
        self._has_abandoned = False
        # Whether a complete answer that is a target's failure is held during a retry.
        self.has_held_answer = False
        # Whether the head of a streamed answer was sent to the caller.
        self.is_streaming = False
        # Whether last_event_id tells all that the caller has of a streamed answer.
        self.has_position = True
        self.has_ended = False

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run any part of the request."""
        return self._possible_runs > 0

    def start(self) -> SendTo:
        """Return the effect that starts the first send."""
        return SendTo(self.last_event_id, is_retry=False)

    def record_sent(self) -> None:
        """Record that the first byte is about to be written to a target."""
        invariants.check(
            self.policy.may_run_again or not self.may_have_run, "sent_at_most_once"
        )
        invariants.check(
            self.policy.may_resume or not self.is_streaming, "resumed_where_allowed"
        )
        invariants.check(not self.has_ended, "nothing_sent_after_the_end")
        self.sends += 1
        self._possible_runs += 1

    def record_not_run(self) -> None:
        """Record that the last target proved that it did not run the request."""
        self._possible_runs -= 1

    def may_resend_to_previous_target(self, refusal: SendFailed, now: float) -> bool:
        """Return whether the request may go back to a target that has had it.

        A stream that abandoned a working target and is refused by the next one may have
        used up its sends; it would be aborted although the abandoned target still works
        on it. A stream whose target has failed has no target to go back to.
        """
        is_out_of_sends = self.is_streaming and not self.can_send_again(now)
        has_only_abandoned_target = is_out_of_sends and self._has_abandoned
        return refusal.is_helper_fault or has_only_abandoned_target

    def record_abandoned(self) -> None:
        """Record that a target was abandoned while it was still working."""
        self._has_abandoned = True

    def try_resend(self, now: float) -> bool:
        """Return whether the last target may get the request again, and count it.

        While the registry is unavailable, draining engines refuse to help one after the
        other. A long prompt would use up its two sends on such refusals within 20 ms
        and be refused although its leading engine is healthy. A resend to the same
        target does not count as a send: the route bounds the number of targets.
        """
        if self._resends >= c.MAX_RESENDS_TO_PREVIOUS_TARGET or self.sends == 0:
            return False
        if not self._is_repeat_allowed():
            return False
        if self.policy.deadline - now <= c.MIN_SEND_SECONDS:
            return False
        self._resends += 1
        self.sends -= 1
        return True

    def try_abandoned_target(self, now: float) -> bool:
        """Return whether a lost stream may go back to the target that it abandoned.

        A stream may abandon a working target for one whose crash is not detected yet.
        With its sends used up it would be aborted although the first target still works
        on it; this caused two of the three aborts on two simulated days with crashes
        among 18 engines. The send counts, so no third target follows, and a stream goes
        back only once.
        """
        if not (self.is_streaming and self._has_abandoned) or self.can_send_again(now):
            return False
        self._has_abandoned = False
        has_time = self.policy.deadline - now > c.MIN_SEND_SECONDS
        return has_time and self._is_repeat_allowed()

    def count_unplaced_resend(self) -> None:
        """Count a resend that found its previous target unavailable as a send."""
        self.sends += 1

    def handle(
        self, event: ExchangeEvent, now: float, has_budget: bool
    ) -> ExchangeEffect | None:
        """Handle an event; has_budget tells whether the budget allows one more send."""
        effect = _handle(event, self, now, has_budget)
        if isinstance(effect, (ForwardAnswer, Refuse, AbortConnection)):
            invariants.check(not self.has_ended, "one_terminal_answer")
            self.has_ended = True
        return effect

    def can_send_again(self, now: float) -> bool:
        """Return whether the request may be sent to one more target."""
        has_time = self.policy.deadline - now > c.MIN_SEND_SECONDS
        is_allowed = has_time and self._is_repeat_allowed()
        return is_allowed and self.sends < self.policy.max_sends

    def _is_repeat_allowed(self) -> bool:
        """Return whether the route allows one more send after what has happened."""
        if self.is_streaming:
            return self.policy.may_resume and self.has_position
        return self.policy.may_run_again or not self.may_have_run

    def choose_final_effect(
        self, retry_after_seconds: float | None = None
    ) -> ExchangeEffect:
        """Return the effect that ends a request for which no further send is made."""
        if self.is_streaming:
            return AbortConnection()
        # A target answered with a failure and the retry produced no answer. The
        # target's own answer is complete and tells the caller more than "may have run",
        # so it is sent as long as the head of another answer was not.
        if self.has_held_answer:
            return ForwardAnswer()
        if self.may_have_run:
            return Refuse(ResultCode.FORWARD_OUTCOME_UNKNOWN)
        wait = retry_after_seconds
        if wait is None:
            wait = c.FORWARD_RETRY_AFTER_SECONDS
        return Refuse(ResultCode.OVERLOADED, wait)


@singledispatch
def _handle(
    event: ExchangeEvent, exchange: Exchange, now: float, has_budget: bool
) -> ExchangeEffect | None:
    raise TypeError(f"unknown exchange event: {event!r}")


@_handle.register
def _(
    event: SendFailed, exchange: Exchange, now: float, has_budget: bool
) -> ExchangeEffect | None:
    if event.fault in (SendFault.MOVED, SendFault.SILENT):
        exchange.record_abandoned()
    if event.fault is SendFault.NOT_RUN:
        exchange.record_not_run()
        if (
            exchange.may_resend_to_previous_target(event, now)
            and has_budget
            and exchange.try_resend(now)
        ):
            return SendTo(
                exchange.last_event_id, is_retry=True, to_previous_target=True
            )
    is_lost = event.fault in (SendFault.LOST, SendFault.SPOILED)
    if is_lost and has_budget and exchange.try_abandoned_target(now):
        return SendTo(exchange.last_event_id, is_retry=True, to_previous_target=True)
    if event.fault is SendFault.NO_TARGET:
        return exchange.choose_final_effect(event.retry_after_seconds)
    if exchange.can_send_again(now) and (has_budget or not exchange.sends):
        return SendTo(exchange.last_event_id, is_retry=exchange.sends > 0)
    return exchange.choose_final_effect(event.retry_after_seconds)


@_handle.register
def _(
    event: TargetAnswered, exchange: Exchange, now: float, has_budget: bool
) -> ExchangeEffect | None:
    # A complete answer cannot follow the part of a stream that the caller already has.
    is_failure = event.is_failure or exchange.is_streaming
    exchange.has_held_answer = True
    can_retry = is_failure and exchange.policy.may_run_again and has_budget
    if can_retry and exchange.can_send_again(now):
        return SendTo(exchange.last_event_id, is_retry=True)
    return AbortConnection() if exchange.is_streaming else ForwardAnswer()


@_handle.register
def _(event: AnswerStarted, exchange: Exchange, now: float, has_budget: bool) -> None:
    exchange.is_streaming = True


@_handle.register
def _(event: EventsGiven, exchange: Exchange, now: float, has_budget: bool) -> None:
    previous = exchange.last_event_id
    invariants.check(
        previous is None or event.last_event_id > previous, "event_ids_only_grow"
    )
    exchange.last_event_id = event.last_event_id


@_handle.register
def _(
    event: TimeOver, exchange: Exchange, now: float, has_budget: bool
) -> ExchangeEffect | None:
    is_unknown = exchange.may_have_run and not exchange.has_held_answer
    if is_unknown and not exchange.is_streaming:
        return Refuse(ResultCode.FORWARD_TIMEOUT)
    return exchange.choose_final_effect()


@_handle.register
def _(
    event: Blamed, exchange: Exchange, now: float, has_budget: bool
) -> ExchangeEffect | None:
    if exchange.is_streaming or exchange.has_held_answer:
        return exchange.choose_final_effect()
    if exchange.may_have_run:
        return Refuse(ResultCode.FORWARD_CRASHED_TARGETS)
    if event.wait_seconds is None:
        # Without Retry-After: a repeat would only be refused again.
        return Refuse(ResultCode.CRASHES_TARGETS)
    return Refuse(ResultCode.ON_TRIAL, event.wait_seconds)
