"""Decide what happens to one model request, from admission to its terminal event."""

from __future__ import annotations

from functools import singledispatch

from tarragonward_core import ResultCode, invariants

from . import const as c
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
    PromptBlamed,
    StartAttempt,
    TextArrived,
)
from .retries import RetryBudget

__all__ = ["RequestLifecycle"]

FINISH_ERROR = "error"
FINISH_LENGTH = "length"


class RequestLifecycle:
    """State machine of one admitted model request.

    It takes events with the time (monotonic seconds) and returns effects, without I/O,
    clock, randomness or tasks of its own. Exactly one EndRequest is returned, as the
    last effect, and at most max_tokens tokens are delivered.
    """

    def __init__(
        self, request_id: str, deadline: float, budget: RetryBudget, max_tokens: int
    ) -> None:
        self.request_id = request_id
        self.deadline = deadline
        self.max_tokens = max_tokens
        self.delivered_tokens = 0
        self.has_ended = False
        self._budget = budget
        self._attempt = 0
        self._attempts_without_progress = 0
        # Engines that crashed under the request since it last made progress.
        self._crashed_engines = 0
        self._is_resumed = False
        self._may_have_run = False
        self._has_stream_run = False

    def start(self, now: float) -> list[Effect]:
        """Return the effects of admission."""
        self._check(self._attempt == 0, "request_started_once")
        self._budget.record_first_attempt(now)
        if now >= self.deadline:
            return self._end(ResultCode.DEADLINE_EXCEEDED)
        return [self._start_attempt(resume=False)]

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Return the effects of an event at the time now."""
        if self.has_ended:
            return []
        # After a process pause, events may be processed long after they occurred. Past
        # the deadline no text is delivered and no attempt started, as the caller has
        # given up. No await separates this check from the effects.
        if now >= self.deadline and not isinstance(event, CallerDisconnected):
            return self._end(ResultCode.DEADLINE_EXCEEDED)
        return _handle(event, self, now)

    def _recover(self, fault: AttemptFault, now: float) -> list[Effect]:
        # The connection can be lost between the last token and the end of the stream.
        # The answer is complete then; a further attempt would ask an engine for zero
        # tokens and get one too many.
        if self.delivered_tokens >= self.max_tokens:
            return self._end(ResultCode.OK, FINISH_LENGTH)
        if fault is AttemptFault.CONNECTION_LOST and not self._is_resumed:
            return self._retry(True, c.RETRY_COST_RESUME, 0.0, now)
        delay = self._compute_delay(fault)
        return self._retry(False, self._compute_failover_cost(), delay, now)

    def _is_engine_crash(self, fault: AttemptFault) -> bool:
        """Return whether an engine refuses connections after it lost the stream."""
        is_lost_stream = self._is_resumed and fault is AttemptFault.NOT_CONNECTED
        return is_lost_stream or fault is AttemptFault.CRASHED

    def _compute_delay(self, fault: AttemptFault) -> float:
        # Several faults can occur within milliseconds, and immediate retries would use
        # up the attempts before any engine could answer. So only the first failovers
        # are immediate, and later ones back off exponentially.
        exponent = self._attempts_without_progress
        if fault is not AttemptFault.REFUSED:
            exponent -= c.IMMEDIATE_FAILOVERS
        if exponent < 0:
            return 0.0
        return min(c.RETRY_BACKOFF_SECONDS * 2**exponent, c.RETRY_BACKOFF_MAX_SECONDS)

    def _compute_failover_cost(self) -> float:
        # The next engine repeats the work of the last one. If the last stream never
        # ran, there is no work to repeat.
        if self._has_stream_run:
            return c.RETRY_COST_FAILOVER
        return c.RETRY_COST_REFUSED

    def _record_run(self) -> None:
        self._may_have_run = self._has_stream_run = True

    def _retry(
        self, resume: bool, cost: float, delay: float, now: float
    ) -> list[Effect]:
        self._attempts_without_progress += 1
        if (
            self._attempt >= c.MAX_ATTEMPTS
            or self._attempts_without_progress >= c.MAX_ATTEMPTS_WITHOUT_PROGRESS
            or now + delay >= self.deadline
            or not self._budget.try_spend(cost, now)
        ):
            return self._give_up()
        effects: list[Effect] = [] if resume else [CancelAttempt(self._attempt)]
        return [*effects, self._start_attempt(resume, delay)]

    def _start_attempt(self, resume: bool, delay: float = 0.0) -> StartAttempt:
        self._attempt += 1
        self._is_resumed = resume
        self._has_stream_run = self._has_stream_run and resume
        return StartAttempt(self._attempt, self.delivered_tokens, resume, delay)

    def _give_up(self) -> list[Effect]:
        code = ResultCode.ENGINES_FAILED
        if not self._may_have_run:
            code = ResultCode.OVERLOADED
        return self._end(code, retry_after_seconds=c.DEFAULT_RETRY_AFTER_SECONDS)

    def _end(
        self,
        code: ResultCode,
        finish_reason: str = FINISH_ERROR,
        retry_after_seconds: float | None = None,
    ) -> list[Effect]:
        self._check(not self.has_ended, "one_terminal_event")
        self._check(
            self.delivered_tokens <= self.max_tokens, "no_more_tokens_than_asked"
        )
        self.has_ended = True
        effects: list[Effect] = []
        if self._attempt:
            effects.append(CancelAttempt(self._attempt))
        effects.append(EndRequest(code, finish_reason, retry_after_seconds))
        return effects

    def _check(self, condition: bool, name: str) -> None:
        invariants.check(condition, name, request_id=self.request_id)


@singledispatch
def _handle(event: Event, lifecycle: RequestLifecycle, now: float) -> list[Effect]:
    raise TypeError(f"unknown life-cycle event: {event!r}")


@_handle.register
def _(event: TextArrived, lifecycle: RequestLifecycle, now: float) -> list[Effect]:
    if event.attempt != lifecycle._attempt:
        return []
    lifecycle._record_run()
    if event.offset > lifecycle.delivered_tokens:
        return lifecycle._recover(AttemptFault.CONNECTION_LOST, now)
    # A resumed stream may begin before the requested offset. Tokens that were already
    # delivered, and those beyond max_tokens, are dropped.
    pieces = event.pieces[lifecycle.delivered_tokens - event.offset :]
    pieces = pieces[: lifecycle.max_tokens - lifecycle.delivered_tokens]
    if not pieces:
        return []
    lifecycle._attempts_without_progress = lifecycle._crashed_engines = 0
    lifecycle._is_resumed = False
    lifecycle.delivered_tokens += len(pieces)
    return [DeliverText("".join(pieces), len(pieces))]


@_handle.register
def _(event: AttemptFinished, lifecycle: RequestLifecycle, now: float) -> list[Effect]:
    if event.attempt != lifecycle._attempt:
        return []
    lifecycle._record_run()
    if event.tokens == lifecycle.delivered_tokens:
        return lifecycle._end(ResultCode.OK, event.finish_reason)
    if event.tokens < lifecycle.delivered_tokens:
        return lifecycle._recover(AttemptFault.INVALID, now)
    return lifecycle._recover(AttemptFault.CONNECTION_LOST, now)


@_handle.register
def _(event: AttemptFailed, lifecycle: RequestLifecycle, now: float) -> list[Effect]:
    if event.attempt != lifecycle._attempt:
        return []
    if not event.fault.proves_not_run:
        lifecycle._record_run()
    if lifecycle._is_engine_crash(event.fault):
        lifecycle._crashed_engines += 1
    if lifecycle._crashed_engines >= c.REFUSE_AFTER_CRASHES:
        return lifecycle._end(ResultCode.FORWARD_CRASHED_TARGETS)
    return lifecycle._recover(event.fault, now)


@_handle.register
def _(event: PlacementRefused, lifecycle: RequestLifecycle, now: float) -> list[Effect]:
    if event.attempt != lifecycle._attempt:
        return []
    # The refusal's code says "not run", so it is reported only if no attempt can have
    # run. Otherwise the request waits for a target.
    if not lifecycle._may_have_run:
        return lifecycle._end(event.code, retry_after_seconds=event.retry_after_seconds)
    delay = min(event.retry_after_seconds, c.RETRY_BACKOFF_MAX_SECONDS)
    return lifecycle._retry(False, c.RETRY_COST_REFUSED, delay, now)


@_handle.register
def _(event: PromptBlamed, lifecycle: RequestLifecycle, now: float) -> list[Effect]:
    if event.attempt != lifecycle._attempt:
        return []
    if lifecycle._may_have_run:
        return lifecycle._end(ResultCode.FORWARD_CRASHED_TARGETS)
    if event.retry_after_seconds is None:
        return lifecycle._end(ResultCode.CRASHES_TARGETS)
    wait = event.retry_after_seconds
    return lifecycle._end(ResultCode.ON_TRIAL, retry_after_seconds=wait)


@_handle.register
def _(
    event: CallerDisconnected, lifecycle: RequestLifecycle, now: float
) -> list[Effect]:
    return lifecycle._end(ResultCode.CALLER_LEFT)


@_handle.register
def _(
    event: DeadlineTimerFired, lifecycle: RequestLifecycle, now: float
) -> list[Effect]:
    return []


@_handle.register
def _(
    event: DrainTimeoutExpired, lifecycle: RequestLifecycle, now: float
) -> list[Effect]:
    return lifecycle._end(
        ResultCode.HOST_STOPPED, retry_after_seconds=c.DEFAULT_RETRY_AFTER_SECONDS
    )
