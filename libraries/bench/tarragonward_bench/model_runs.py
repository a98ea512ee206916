"""Simulate the life cycle of model requests with faulty engines."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

from tarragonward_core import Conclusion, ResultCode, invariants
from tarragonward_requests import (
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
    RequestLifecycle,
    RetryBudget,
    StartAttempt,
    TextArrived,
)
from tarragonward_standins.answers import AnswerText, expect_answer

__all__ = ["ModelRuns", "run_model_requests"]

ENGINES = 3
REQUESTS = 12
MAX_TOKENS = 40
MAX_FRAME_TOKENS = 4
FRAME_SECONDS = 0.2
SILENCE_TIMEOUT_SECONDS = 3.0
MAX_EVENTS = 100_000
DROP_PROBABILITY = 0.04
LATE_PROBABILITY = 0.05
REFUSAL_PROBABILITY = 0.05
REPEATED_TEXT_PROBABILITY = 0.05
WRONG_OFFSET_PROBABILITY = 0.02
FAULTS_PER_RUN = 6
MAX_PAUSE_SECONDS = 20.0
RUN_SECONDS = 30.0


@dataclass
class _Stream:
    """Stream on a fake engine, which generates tokens from first_offset on."""

    first_offset: int
    text: AnswerText
    max_tokens: int
    pieces: list[str] = field(default_factory=list)
    finish_reason: str = ""

    def produce(self, count: int) -> None:
        for _ in range(count):
            if self.finish_reason:
                return
            if self.text.is_finished():
                self.finish_reason = "stop"
                return
            self.pieces.append(self.text.next_token())
            if len(self.pieces) >= self.max_tokens:
                self.finish_reason = "length"


@dataclass
class _Engine:
    is_alive: bool = True
    is_hung: bool = False
    streams: dict[str, _Stream] = field(default_factory=dict)


@dataclass
class _Run:
    """State of a request at its host and its caller."""

    number: int
    prompt: str
    max_tokens: int
    lifecycle: RequestLifecycle
    delivered_text: str = ""
    has_run: bool = False
    end: EndRequest | None = None
    attempt: int = 0
    engine: _Engine | None = None
    stream_id: str = ""


class ModelRuns:
    """Randomised simulation, determined by its seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.now = 0.0
        self.events = 0
        self._random = random.Random(seed)
        self._budget = RetryBudget()
        self._engines = [_Engine() for _ in range(ENGINES)]
        self._runs: list[_Run] = []
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._paused_until = 0.0

    def run(self) -> int:
        """Run the simulation, check the final state and return the number of events."""
        for number in range(REQUESTS):
            self._schedule(
                self._random.uniform(0, RUN_SECONDS / 3), self._build_request(number)
            )
        for _ in range(FAULTS_PER_RUN):
            fault = self._random.choice(
                [
                    self._crash_engine,
                    self._hang_engine,
                    self._pause_host,
                    self._disconnect_caller,
                    self._expire_drain,
                ]
            )
            self._schedule(self._random.uniform(0, RUN_SECONDS), fault)
        while self._queue and self.events < MAX_EVENTS:
            at, _, action = heapq.heappop(self._queue)
            # A paused process handles the events of the pause when it resumes.
            self.now = max(self.now, at, self._paused_until)
            self.events += 1
            action()
        self._check_final_state()
        return self.events

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        item = (self.now + seconds, next(self._numbers), action)
        heapq.heappush(self._queue, item)

    def _build_request(self, number: int) -> Callable[[], None]:
        def start_request() -> None:
            limit = self._random.uniform(1, RUN_SECONDS)
            tokens = self._random.randint(1, MAX_TOKENS)
            lifecycle = RequestLifecycle(
                f"{self.seed}-{number}", self.now + limit, self._budget, tokens
            )
            run = _Run(number, f"prompt {number}", tokens, lifecycle)
            self._runs.append(run)
            self._apply_all(run, lifecycle.start(self.now))
            self._schedule(limit, lambda: self._handle_event(run, DeadlineTimerFired()))

        return start_request

    def _handle_event(self, run: _Run, event: Event) -> None:
        effects = run.lifecycle.handle(event, self.now)
        self._check(run.end is None or not effects, "nothing_after_the_end", run)
        self._apply_all(run, effects)

    def _apply_all(self, run: _Run, effects: list[Effect]) -> None:
        for effect in effects:
            _apply(effect, self, run)

    def _release(self, run: _Run) -> None:
        if run.engine is not None:
            run.engine.streams.pop(run.stream_id, None)
        run.engine = None

    def _open(self, run: _Run, effect: StartAttempt) -> None:
        if run.attempt != effect.attempt or run.end is not None:
            return
        if not effect.resume or run.engine is None:
            self._release(run)
            run.engine = self._random.choice(self._engines)
            run.stream_id = f"{run.number}-{effect.attempt}"
        if self._random.random() < REFUSAL_PROBABILITY:
            self._refuse(run, effect.attempt)
        elif not run.engine.is_alive:
            self._fail(run, effect.attempt, AttemptFault.NOT_CONNECTED)
        elif effect.resume:
            self._read(run, effect.attempt, effect.offset)
        else:
            run.has_run = True
            text = AnswerText(run.prompt + run.delivered_text)
            remaining = run.max_tokens - effect.offset
            self._check(remaining > 0, "no_attempt_for_nothing", run)
            run.engine.streams[run.stream_id] = _Stream(effect.offset, text, remaining)
            self._read(run, effect.attempt, effect.offset)

    def _refuse(self, run: _Run, attempt: int) -> None:
        if self._random.random() < 0.5:
            self._release(run)
            code = self._random.choice([ResultCode.OVERLOADED, ResultCode.NO_TARGET])
            self._handle_event(run, PlacementRefused(attempt, code, 1.0))
        else:
            self._fail(run, attempt, AttemptFault.REFUSED)

    def _read(self, run: _Run, attempt: int, offset: int) -> None:
        """Deliver a frame and schedule the next one while the attempt is active."""
        if run.attempt != attempt or run.engine is None:
            return
        stream = run.engine.streams.get(run.stream_id)
        if not run.engine.is_alive:
            self._fail(run, attempt, AttemptFault.CONNECTION_LOST)
        elif run.engine.is_hung:
            self._schedule(
                SILENCE_TIMEOUT_SECONDS,
                lambda: self._fail(run, attempt, AttemptFault.SILENT),
            )
        elif stream is None:
            self._fail(run, attempt, AttemptFault.STREAM_GONE)
        elif self._random.random() < DROP_PROBABILITY:
            self._fail(run, attempt, AttemptFault.CONNECTION_LOST)
        else:
            self._send_frame(run, attempt, offset, stream)

    def _send_frame(
        self, run: _Run, attempt: int, offset: int, stream: _Stream
    ) -> None:
        stream.produce(self._random.randint(0, MAX_FRAME_TOKENS))
        at = offset - stream.first_offset
        if self._random.random() < REPEATED_TEXT_PROBABILITY:
            at = max(0, at - self._random.randint(1, MAX_FRAME_TOKENS))
        if self._random.random() < WRONG_OFFSET_PROBABILITY:
            at += 1
        pieces = tuple(stream.pieces[max(at, 0) :])
        frame = TextArrived(attempt, stream.first_offset + max(at, 0), pieces)
        total = stream.first_offset + len(stream.pieces)
        delay = self._random.uniform(0, FRAME_SECONDS)
        if self._random.random() < LATE_PROBABILITY:
            late = self._random.uniform(0, RUN_SECONDS / 3)
            self._schedule(late, lambda: self._handle_event(run, frame))
        if pieces:
            self._schedule(delay, lambda: self._handle_event(run, frame))
        if stream.finish_reason:
            end = AttemptFinished(attempt, total, stream.finish_reason)
            self._schedule(delay, lambda: self._handle_event(run, end))
        else:
            self._schedule(
                delay + FRAME_SECONDS, lambda: self._read(run, attempt, total)
            )

    def _fail(self, run: _Run, attempt: int, fault: AttemptFault) -> None:
        self._handle_event(run, AttemptFailed(attempt, fault))

    def _crash_engine(self) -> None:
        engine = self._random.choice(self._engines)
        engine.is_alive = False
        engine.streams.clear()
        self._schedule(self._random.uniform(0, 10), lambda: _restart(engine))

    def _hang_engine(self) -> None:
        engine = self._random.choice(self._engines)
        engine.is_hung = True
        self._schedule(self._random.uniform(0, 10), lambda: _resume(engine))

    def _pause_host(self) -> None:
        self._paused_until = self.now + self._random.uniform(0, MAX_PAUSE_SECONDS)

    def _disconnect_caller(self) -> None:
        if self._runs:
            self._handle_event(self._random.choice(self._runs), CallerDisconnected())

    def _expire_drain(self) -> None:
        if self._runs:
            self._handle_event(self._random.choice(self._runs), DrainTimeoutExpired())

    def _check_final_state(self) -> None:
        for run in self._runs:
            self._check(run.end is not None, "every_request_ends", run)
            has_stream = any(
                run.stream_id in engine.streams for engine in self._engines
            )
            self._check(not has_stream, "everything_released", run)

    def _check(self, holds: bool, name: str, run: _Run) -> None:
        invariants.check(
            holds, name, seed=self.seed, request=run.number, at=f"{self.now:.3f}"
        )


@singledispatch
def _apply(effect: Effect, runs: ModelRuns, run: _Run) -> None:
    raise TypeError(f"unsupported effect: {effect!r}")


@_apply.register
def _(effect: StartAttempt, runs: ModelRuns, run: _Run) -> None:
    runs._check(runs.now < run.lifecycle.deadline, "no_late_attempt", run)
    run.attempt = effect.attempt
    runs._schedule(effect.delay_seconds, lambda: runs._open(run, effect))


@_apply.register
def _(effect: CancelAttempt, runs: ModelRuns, run: _Run) -> None:
    runs._release(run)


@_apply.register
def _(effect: DeliverText, runs: ModelRuns, run: _Run) -> None:
    runs._check(runs.now < run.lifecycle.deadline, "no_late_text", run)
    run.delivered_text += effect.text
    expected_text = expect_answer(run.prompt, run.max_tokens).text
    runs._check(
        expected_text.startswith(run.delivered_text), "text_is_of_this_answer", run
    )


@_apply.register
def _(effect: EndRequest, runs: ModelRuns, run: _Run) -> None:
    runs._check(run.end is None, "one_terminal_event", run)
    run.end = effect
    in_time = runs.now <= max(run.lifecycle.deadline, runs._paused_until)
    runs._check(in_time, "ended_in_time", run)
    says_not_run = effect.code.conclusion is Conclusion.NOT_RUN
    runs._check(not (says_not_run and run.has_run), "not_run_is_true", run)
    if effect.code is ResultCode.OK:
        expected = expect_answer(run.prompt, run.max_tokens)
        is_whole = (run.delivered_text, effect.finish_reason) == (
            expected.text,
            expected.finish_reason,
        )
        runs._check(is_whole, "whole_answer", run)


def _restart(engine: _Engine) -> None:
    engine.is_alive = True


def _resume(engine: _Engine) -> None:
    engine.is_hung = False


def run_model_requests(seed: int) -> int:
    """Run one seed; return the number of events. Violations go to invariants."""
    return ModelRuns(seed).run()
