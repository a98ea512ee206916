"""Decide what becomes of one forwarded request: send, send again, answer, break off."""

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
    """Why a send brought no answer that may be passed on."""

    NO_TARGET = "no target"
    NOT_CONNECTED = "not connected"
    NOT_RUN = "not run"
    LOST = "lost"
    SPOILED = "spoiled"
    SILENT = "silent"
    MOVED = "moved"

    @property
    def proves_not_run(self) -> bool:
        """Return whether the target certainly ran nothing."""
        return self in (
            SendFault.NO_TARGET,
            SendFault.NOT_CONNECTED,
            SendFault.NOT_RUN,
        )


@dataclass(frozen=True)
class ExchangePolicy:
    """What the route allows; times are the loop's, in seconds."""

    may_run_again: bool
    is_stream: bool
    attempts: int
    deadline: float


@dataclass(frozen=True)
class SendFailed:
    """A send ended without an answer.

    is_helper_fault: the target refused it, as another one that should help it can't.
    """

    fault: SendFault
    retry_after_seconds: float | None = None
    is_helper_fault: bool = False


@dataclass(frozen=True)
class TargetAnswered:
    """A whole answer came; is_failure where the target itself failed."""

    is_failure: bool


@dataclass(frozen=True)
class Blamed:
    """The request is held to end the targets that run it.

    wait_seconds: for how long another host may still try it; None where it is refused.
    """

    wait_seconds: float | None = None


@dataclass(frozen=True)
class AnswerStarted:
    """The head of a streamed answer was given to the caller."""


@dataclass(frozen=True)
class EventsGiven:
    """The caller was given the stream up to this event number."""

    last_id: int


@dataclass(frozen=True)
class TimeOver:
    """The deadline or the route's timeout has passed."""


@dataclass(frozen=True)
class SendTo:
    """Send the request to a target that has not had it; go on after last_id.

    returns: to a target that had it and is not at fault: the last one, which has not
    run it, or the one that a stream left while it was at work.
    """

    last_id: int | None
    is_retry: bool
    delay_seconds: float = 0.0
    to_previous_target: bool = False


@dataclass(frozen=True)
class ForwardAnswer:
    """Pass the target's answer on as it is."""


@dataclass(frozen=True)
class Refuse:
    """Answer with an error of this host's own."""

    code: ResultCode
    retry_after_seconds: float | None = None


@dataclass(frozen=True)
class AbortConnection:
    """Close the caller's connection in the middle of its answer, visibly."""


ExchangeEvent = (
    SendFailed | TargetAnswered | AnswerStarted | EventsGiven | TimeOver | Blamed
)
ExchangeEffect = SendTo | ForwardAnswer | Refuse | AbortConnection


class Exchange:
    """The life of one forwarded request; hear() takes an event and returns an effect.

    "Not run" is told only while no send can have run: the caller takes it as a promise
    and sends again. After that the outcome is unknown, and is said to be.
    """

    def __init__(self, policy: ExchangePolicy, last_id: int | None = None) -> None:
        self.policy = policy
        self.last_id = last_id
        self.sends = 0
        self._possible_runs = 0
        self._resends = 0
        self._has_abandoned_target = False
        # Whether a target's own failure, a whole answer, is held during a repeat.
        self.has_held_answer = False
        self.is_started = False
        self.has_ended = False

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run any of the request."""
        return self._possible_runs > 0

    def start(self) -> SendTo:
        """Return the first send."""
        return SendTo(self.last_id, is_retry=False)

    def record_sent(self) -> None:
        """Note that the first byte is about to be written to a target."""
        invariants.check(
            self.policy.may_run_again or not self.may_have_run, "sent_at_most_once"
        )
        invariants.check(not self.has_ended, "nothing_sent_after_the_end")
        self.sends += 1
        self._possible_runs += 1

    def record_not_run(self) -> None:
        """Note that the target which had the request last has proved not to run it."""
        self._possible_runs -= 1

    def may_resend_to_previous_target(self, refusal: SendFailed, now: float) -> bool:
        """Return whether a refusal leaves a target that had the request to go back to.

        A stream that moved, and is refused where it went, has used up its targets.
        Symptom: it is broken off, though the one that it came from is at work. One
        whose target is gone has none to go back to.
        """
        is_out_of_sends = self.is_started and not self.can_send_again(now)
        has_only_abandoned_target = is_out_of_sends and self._has_abandoned_target
        return refusal.is_helper_fault or has_only_abandoned_target

    def record_abandoned(self) -> None:
        """Note that a target was left while it was at work."""
        self._has_abandoned_target = True

    def try_resend(self, now: float) -> bool:
        """Return whether the last target may get the request again, and count it.

        Engines that leave while the registry is silent refuse to help, one after the
        other. Symptom: a long prompt uses up its two sends on refusals within 20 ms and
        is refused, though the engines that were to answer it are well. The same target
        again is not one more, so what the route allows still bounds the targets.
        """
        if self._resends >= c.MAX_RESENDS_TO_PREVIOUS_TARGET or self.sends == 0:
            return False
        if self.policy.deadline - now <= c.MIN_SEND_SECONDS:
            return False
        self._resends += 1
        self.sends -= 1
        return True

    def try_abandoned_target(self, now: float) -> bool:
        """Return whether a stream that was lost goes back to the target that it left.

        A stream leaves a target that is at work for another one, which may have
        crashed and not been found out yet. Symptom: it is broken off, as its targets
        are used up, though the first one goes on: two of the three streams that were
        broken off on two days with crashes among 18 engines. The send still counts, so
        that no third target follows; once, as what is lost there too has nowhere to go.
        """
        if not (self.is_started and self._has_abandoned_target) or self.can_send_again(
            now
        ):
            return False
        self._has_abandoned_target = False
        return self.policy.deadline - now > c.MIN_SEND_SECONDS

    def cancel_resend(self) -> None:
        """Note that the last target could not be sent to again, so it counts."""
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
        """Return whether one more target may get the request."""
        if self.may_have_run and not self.policy.may_run_again:
            return False
        has_time = self.policy.deadline - now > c.MIN_SEND_SECONDS
        return has_time and self.sends < self.policy.attempts

    def choose_final_effect(
        self, retry_after_seconds: float | None = None
    ) -> ExchangeEffect:
        """Return the end of a request that nothing more is tried for."""
        if self.is_started:
            return AbortConnection()
        # A target failed the request, and the repeat brought nothing. Symptom: the
        # caller hears "may have run" and never what the target said. The answer is
        # whole and its own, so it may be given at any time before the head.
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
    raise TypeError(f"not an event: {event!r}")


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
            return SendTo(exchange.last_id, is_retry=True, to_previous_target=True)
    is_lost = event.fault in (SendFault.LOST, SendFault.SPOILED)
    if is_lost and has_budget and exchange.try_abandoned_target(now):
        return SendTo(exchange.last_id, is_retry=True, to_previous_target=True)
    if event.fault is SendFault.NO_TARGET:
        return exchange.choose_final_effect(event.retry_after_seconds)
    if exchange.can_send_again(now) and (has_budget or not exchange.sends):
        return SendTo(exchange.last_id, is_retry=exchange.sends > 0)
    return exchange.choose_final_effect(event.retry_after_seconds)


@_handle.register
def _(
    event: TargetAnswered, exchange: Exchange, now: float, has_budget: bool
) -> ExchangeEffect | None:
    # A whole answer in place of a stream's rest cannot follow what was given of it.
    is_failure = event.is_failure or exchange.is_started
    exchange.has_held_answer = True
    can_retry = is_failure and exchange.policy.may_run_again and has_budget
    if can_retry and exchange.can_send_again(now):
        return SendTo(exchange.last_id, is_retry=True)
    return AbortConnection() if exchange.is_started else ForwardAnswer()


@_handle.register
def _(event: AnswerStarted, exchange: Exchange, now: float, has_budget: bool) -> None:
    exchange.is_started = True


@_handle.register
def _(event: EventsGiven, exchange: Exchange, now: float, has_budget: bool) -> None:
    previous = exchange.last_id
    invariants.check(
        previous is None or event.last_id > previous, "event_ids_only_grow"
    )
    exchange.last_id = event.last_id


@_handle.register
def _(
    event: TimeOver, exchange: Exchange, now: float, has_budget: bool
) -> ExchangeEffect | None:
    is_unknown = exchange.may_have_run and not exchange.has_held_answer
    if is_unknown and not exchange.is_started:
        return Refuse(ResultCode.FORWARD_TIMEOUT)
    return exchange.choose_final_effect()


@_handle.register
def _(
    event: Blamed, exchange: Exchange, now: float, has_budget: bool
) -> ExchangeEffect | None:
    if exchange.is_started or exchange.has_held_answer:
        return exchange.choose_final_effect()
    if exchange.may_have_run:
        return Refuse(ResultCode.FORWARD_CRASHED_TARGETS)
    if event.wait_seconds is None:
        # No time to come back: a repeat would only be refused again.
        return Refuse(ResultCode.CRASHES_TARGETS)
    return Refuse(ResultCode.ON_TRIAL, event.wait_seconds)
