"""Record the decisions on a request, and log them if it did not go well."""

from __future__ import annotations

import asyncio
from typing import Any

from tarragonward_core import LogEvent, event_log, get_length_class
from tarragonward_membership import RegisteredTarget
from tarragonward_requests import (
    AbortConnection,
    AnswerStarted,
    Blamed,
    EventsGiven,
    ExchangeEffect,
    ExchangeEvent,
    Refuse,
    SendFailed,
    SendTo,
    TargetAnswered,
    TimeOver,
)

from . import const as c
from .clock import read_clock
from .context import ForwardContext
from .headers import parse_count
from .revisions import format_revision
from .state import GatewayState

__all__ = ["RequestObserver"]

OUTCOME_ANSWERED = "answered"
OUTCOME_BROKEN_OFF = "broken off"
OUTCOME_CALLER_LEFT = "caller left"
OUTCOME_FAILED_HERE = "failed here"
# Whether the first event came before or after the predicted time.
EARLY = "early"
LATE = "late"


class RequestObserver:
    """The recorded events of one request; times are on the loop's clock, in seconds.

    A request that is answered in time by its first target only updates metrics. For all
    others each decision is logged with its own time; the lines are written at the end.
    """

    def __init__(
        self, state: GatewayState, context: ForwardContext, request_id: str, tokens: str
    ) -> None:
        self._state = state
        self._context = context
        self._request_id = request_id
        self._prompt_tokens = _read_prompt_tokens(tokens)
        self._loop = asyncio.get_running_loop()
        self._events: list[LogEvent] = []
        self._dropped_events = 0
        self._sends = 0
        self._target: RegisteredTarget | None = None
        self._outcome = ""
        self._status: int | None = None
        self._first_event_at: float | None = None
        self._predicted_at: float | None = None
        self._last_event_at = 0.0
        self._longest_pause_seconds = 0.0
        self._prefill_engines = 0
        self._prefill_ahead_seconds = 0.0
        self._faults: list[str] = []
        self._last_id: int | None = None
        self._record_received()

    def record_choice(
        self,
        target: RegisteredTarget | None,
        predicted_at: float | None = None,
        prefill_engines: int = 0,
        **inputs: Any,
    ) -> None:
        """Record a choice of target and the inputs to it.

        predicted_at is the expected time of the first event, on the loop's clock;
        prefill_engines is how many engines share the prefill of the prompt.
        """
        self._prefill_engines = prefill_engines
        if self._first_event_at is None:
            self._predicted_at = predicted_at
        registry = self._state.registry
        self._target = target
        if target is not None:
            self._sends += 1
            inputs = {"target": target.id, "address": target.address, **inputs}
        self._record(
            "target_chosen" if target else "no_target",
            service=self._context.service,
            **inputs,
            ready=len(registry.get_ready(self._context.service)),
            registry_revision=format_revision(registry.revision),
            registry_age=self._get_confirmed_age(),
        )

    def record_failure(self, event: str, **fields: Any) -> None:
        """Record why the last attempt gave no answer that can be forwarded."""
        target = self._target.id if self._target else None
        self._record(event, target=target, **fields)

    def record_prefill_ahead(self, seconds: float) -> None:
        """Record how long another request's prefill occupies the target."""
        self._prefill_ahead_seconds = max(self._prefill_ahead_seconds, seconds)

    def record_status(self, status: int) -> None:
        """Record the status of the answer to the caller."""
        self._status = status

    def record_decision(
        self,
        event: ExchangeEvent,
        effect: ExchangeEffect | None,
        now: float,
        has_budget: bool,
    ) -> None:
        """Record the effect that an event of the exchange had.

        has_budget: whether the retry budget allowed one more send.
        """
        if isinstance(event, SendFailed):
            self._faults.append(event.fault.value)
        if isinstance(event, EventsGiven):
            self._record_stream_events(event, now)
        elif isinstance(event, AnswerStarted):
            target = self._target.id if self._target else None
            self._record("answer_started", target=target)
        if isinstance(effect, SendTo):
            reason = _describe_event(event)
            resumes = (
                effect.last_event_id is not None and self._first_event_at is not None
            )
            name = "request_resumed" if resumes else "request_repeated"
            self._state.metrics.count(name, reason)
            self._record(name, reason=reason, after_event=effect.last_event_id)
        elif effect is not None:
            self._outcome = _describe_outcome(effect)
            is_failed_send = isinstance(event, SendFailed)
            self._record(
                "end_decided",
                outcome=self._outcome,
                reason=_describe_event(event),
                has_budget=has_budget if is_failed_send else None,
            )

    def finish(self, error: BaseException | None = None) -> None:
        """Update the metrics, and log the events if the request did not go well."""
        now = self._loop.time()
        outcome = self._outcome or OUTCOME_ANSWERED
        if isinstance(error, asyncio.CancelledError):
            outcome = OUTCOME_CALLER_LEFT
        elif error is not None and not self._outcome:
            outcome = OUTCOME_FAILED_HERE
        self._count(outcome, now)
        if outcome == OUTCOME_ANSWERED and self._sends == 1 and not self._is_late(now):
            return
        self._record_ended(outcome, now, error)
        # The last event is logged even if the log budget is used up: a busy second
        # would otherwise hide the requests that were lost in it.
        if not event_log.log(self._events):
            event_log.log(self._events[-1:], is_urgent=True)

    def _record_received(self) -> None:
        context = self._context
        assert context.route is not None
        self._record(
            "request_taken",
            at=context.received_at,
            route=context.route.name,
            account=context.account.name if context.account else None,
            prompt_tokens=self._prompt_tokens or None,
            limit=context.deadline - context.received_at,
            table=context.table.version if context.table else None,
            table_age=self._get_confirmed_age(),
        )

    def _record_stream_events(self, event: EventsGiven, now: float) -> None:
        if self._first_event_at is None:
            self._first_event_at = now
        else:
            self._longest_pause_seconds = max(
                self._longest_pause_seconds, now - self._last_event_at
            )
        self._last_event_at = now
        self._last_id = event.last_event_id

    def _record_ended(
        self, outcome: str, now: float, error: BaseException | None
    ) -> None:
        first, predicted = self._first_event_at, self._predicted_at
        received_at = self._context.received_at
        has_failed = error is not None and not isinstance(error, asyncio.CancelledError)
        unwritten, self._dropped_events = self._dropped_events, 0
        self._append(
            now,
            "request_ended",
            outcome=outcome,
            status=self._status,
            error=repr(error) if has_failed else None,
            sends=self._sends,
            seconds=now - received_at,
            first_event=None if first is None else first - received_at,
            predicted=None if predicted is None else predicted - received_at,
            worst_pause=self._longest_pause_seconds or None,
            last_event=self._last_id,
            aim=self._context.route.aim_seconds if self._context.route else None,
            pause_aim=self._get_pause_aim(),
            prompt_tokens=self._prompt_tokens or None,
            target=self._target.id if self._target else None,
            readers=self._prefill_engines or None,
            held_up=self._prefill_ahead_seconds or None,
            faults=",".join(self._faults) or None,
            unwritten=unwritten or None,
        )

    def _get_pause_aim(self) -> float | None:
        route = self._context.route
        return (route.pause_aim_seconds or None) if route is not None else None

    def _is_late(self, now: float) -> bool:
        route = self._context.route
        assert route is not None
        first_at = now if self._first_event_at is None else self._first_event_at
        aim = route.aim_seconds
        pause_aim = self._get_pause_aim() or float("inf")
        return (
            first_at - self._context.received_at > aim
            or self._longest_pause_seconds > pause_aim
        )

    def _count(self, outcome: str, now: float) -> None:
        metrics, context = self._state.metrics, self._context
        account = context.account.name if context.account else ""
        length = get_length_class(self._prompt_tokens)
        metrics.count("requests", outcome, account)
        if self._sends:
            metrics.count("sends", by=self._sends)
        if outcome != OUTCOME_ANSWERED:
            return
        started_at = now if self._first_event_at is None else self._first_event_at
        taken = started_at - context.received_at
        metrics.observe("time_to_first_event", taken, account, length)
        if self._first_event_at is not None and self._predicted_at is not None:
            error = self._first_event_at - self._predicted_at
            metrics.observe("prediction_error", abs(error), length_class=length)
            metrics.count("predictions", EARLY if error < 0 else LATE)
        if self._longest_pause_seconds:
            metrics.observe(
                "worst_pause", self._longest_pause_seconds, length_class=length
            )

    def _get_confirmed_age(self) -> float | None:
        age = read_clock() - self._state.table_confirmed_at
        return age if age < float("inf") else None

    def _record(self, event: str, *, at: float | None = None, **fields: Any) -> None:
        if len(self._events) >= c.MAX_EVENTS_PER_REQUEST:
            self._dropped_events += 1
            return
        self._append(self._loop.time() if at is None else at, event, **fields)

    def _append(self, at: float, event: str, **fields: Any) -> None:
        known = {key: value for key, value in fields.items() if value is not None}
        pairs = {"request_id": self._request_id, **known}
        self._events.append(LogEvent(at, event, pairs))


def _describe_event(event: ExchangeEvent) -> str:
    if isinstance(event, SendFailed):
        return event.fault.value
    if isinstance(event, Blamed):
        return "targets ended under it"
    if isinstance(event, TargetAnswered):
        return "target failed" if event.is_failure else "whole answer"
    return "time over" if isinstance(event, TimeOver) else type(event).__name__


def _describe_outcome(effect: ExchangeEffect) -> str:
    if isinstance(effect, Refuse):
        return effect.code.name
    return (
        OUTCOME_BROKEN_OFF if isinstance(effect, AbortConnection) else OUTCOME_ANSWERED
    )


def _read_prompt_tokens(text: str) -> int:
    return parse_count(text.partition(",")[0]) or 0
