"""Decide what happens to one model request, from admission to its terminal event."""

from __future__ import annotations

from functools import singledispatchmethod

from tarragonward_core import ResultCode, invariants

from .const import DEFAULT_RETRY_AFTER_SECONDS, MAX_ATTEMPTS
from .messages import (
    AttemptFailed,
    AttemptFinished,
    CallerLeft,
    CancelAttempt,
    DeadlinePassed,
    DeliverText,
    Effect,
    EndRequest,
    Event,
    PlacementRefused,
    StartAttempt,
    TextArrived,
)
from .retries import RetryBudget

__all__ = ["RequestLifecycle"]


class RequestLifecycle:
    """The life of one admitted model request.

    It takes events with the time (monotonic seconds) and returns effects; it holds no
    socket, clock, randomness or task. Exactly one EndRequest is ever returned.
    """

    def __init__(self, request_id: str, deadline: float, budget: RetryBudget) -> None:
        self.request_id = request_id
        self.deadline = deadline
        self.delivered_tokens = 0
        self.has_ended = False
        self._budget = budget
        self._attempt = 0

    def start(self, now: float) -> list[Effect]:
        """Return the effects of admission."""
        self._budget.record_first_attempt()
        if now >= self.deadline:
            return self._end(ResultCode.DEADLINE_EXCEEDED)
        return self._start_attempt(resume=False)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Return the effects of an event at the time now."""
        if self.has_ended:
            return []
        # A process that was paused wakes with events that came long ago. Symptom: it
        # gives out text after the caller was told of a timeout elsewhere. The check
        # is enough here because no await stands between it and the effects.
        if now >= self.deadline:
            return self._end(ResultCode.DEADLINE_EXCEEDED)
        return self._handle(event, now)

    @singledispatchmethod
    def _handle(self, event: Event, now: float) -> list[Effect]:
        raise TypeError(f"not an event: {event!r}")

    @_handle.register
    def _(self, event: TextArrived, now: float) -> list[Effect]:
        if event.attempt != self._attempt:
            return []
        if event.offset != self.delivered_tokens:
            return self._fail_attempt(can_resume=False, now=now)
        self.delivered_tokens += event.tokens
        return [DeliverText(event.text, event.tokens)]

    @_handle.register
    def _(self, event: AttemptFinished, now: float) -> list[Effect]:
        if event.attempt != self._attempt:
            return []
        if event.tokens != self.delivered_tokens:
            return self._fail_attempt(can_resume=True, now=now)
        return self._end(ResultCode.OK, event.finish_reason, cancel=False)

    @_handle.register
    def _(self, event: AttemptFailed, now: float) -> list[Effect]:
        if event.attempt != self._attempt:
            return []
        return self._fail_attempt(event.can_resume, now)

    @_handle.register
    def _(self, event: PlacementRefused, now: float) -> list[Effect]:
        if event.attempt != self._attempt:
            return []
        return self._end(event.code, retry_after_seconds=event.retry_after_seconds)

    @_handle.register
    def _(self, event: CallerLeft, now: float) -> list[Effect]:
        return self._end(ResultCode.CALLER_LEFT)

    @_handle.register
    def _(self, event: DeadlinePassed, now: float) -> list[Effect]:
        return []

    def _start_attempt(self, resume: bool) -> list[Effect]:
        self._attempt += 1
        return [StartAttempt(self._attempt, self.delivered_tokens, resume)]

    def _fail_attempt(self, can_resume: bool, now: float) -> list[Effect]:
        if self._attempt >= MAX_ATTEMPTS or not self._budget.draw_retry():
            return self._end(
                ResultCode.ENGINES_FAILED,
                retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
            )
        cancelled: list[Effect] = [] if can_resume else [CancelAttempt(self._attempt)]
        return cancelled + self._start_attempt(resume=can_resume)

    def _end(
        self,
        code: ResultCode,
        finish_reason: str = "error",
        retry_after_seconds: float | None = None,
        cancel: bool = True,
    ) -> list[Effect]:
        invariants.check(
            not self.has_ended, "one_terminal_event", request_id=self.request_id
        )
        self.has_ended = True
        effects: list[Effect] = []
        if cancel and self._attempt:
            effects.append(CancelAttempt(self._attempt))
        effects.append(EndRequest(code, finish_reason, retry_after_seconds))
        return effects
