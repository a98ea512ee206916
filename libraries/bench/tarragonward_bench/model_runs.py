"""Run the life cycles of model requests on a fake clock against hostile engines."""

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
SILENCE_SECONDS = 3.0
MAX_EVENTS = 100_000
DROP_SHARE = 0.04
LATE_SHARE = 0.05
REFUSED_SHARE = 0.05
REPEATED_SHARE = 0.05
SCRAMBLED_SHARE = 0.02
FAULTS_A_RUN = 6
MAX_PAUSE_SECONDS = 20.0
RUN_SECONDS = 30.0


@dataclass
class _Stream:
    """One stream on a fake engine: its tokens after first_offset, made one by one."""

    first_offset: int
    text: AnswerText
    max_tokens: int
    pieces: list[str] = field(default_factory=list)
    finish_reason: str = ""

    def produce(self, count: int) -> None:
        for _ in range(count):
            if self.finish_reason:
                return
            if self.text.is_at_stop():
                self.finish_reason = "stop"
                return
            self.pieces.append(self.text.next_token())
            if len(self.pieces) >= self.max_tokens:
                self.finish_reason = "length"


@dataclass
class _Engine:
    is_alive: bool = True
    is_frozen: bool = False
    streams: dict[str, _Stream] = field(default_factory=dict)


@dataclass
class _Run:
    """One request, as its host and its caller see it."""

    number: int
    prompt: str
    max_tokens: int
    lifecycle: RequestLifecycle
    given_out: str = ""
    has_run: bool = False
    end: EndRequest | None = None
    attempt: int = 0
    engine: _Engine | None = None
    stream_id: str = ""


class ModelRuns:
    """One randomised run: all choices come from its seed."""

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
        """Run to the end and check it; return the number of events."""
        for number in range(REQUESTS):
            self._after(self._random.uniform(0, RUN_SECONDS / 3), self._make(number))
        for _ in range(FAULTS_A_RUN):
            fault = self._random.choice(
                [self._kill, self._freeze, self._pause, self._leave, self._stop]
            )
            self._after(self._random.uniform(0, RUN_SECONDS), fault)
        while self._queue and self.events < MAX_EVENTS:
            at, _, action = heapq.heappop(self._queue)
            # A paused process does late what came due meanwhile.
            self.now = max(self.now, at, self._paused_until)
            self.events += 1
            action()
        self._check_end()
        return self.events

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        item = (self.now + seconds, next(self._numbers), action)
        heapq.heappush(self._queue, item)

    def _make(self, number: int) -> Callable[[], None]:
        def make() -> None:
            limit = self._random.uniform(1, RUN_SECONDS)
            tokens = self._random.randint(1, MAX_TOKENS)
            lifecycle = RequestLifecycle(
                f"{self.seed}-{number}", self.now + limit, self._budget, tokens
            )
            run = _Run(number, f"prompt {number}", tokens, lifecycle)
            self._runs.append(run)
            self._apply_all(run, lifecycle.start(self.now))
            self._after(limit, lambda: self._tell(run, DeadlineTimerFired()))

        return make

    def _tell(self, run: _Run, event: Event) -> None:
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
        if self._random.random() < REFUSED_SHARE:
            self._refuse(run, effect.attempt)
        elif not run.engine.is_alive:
            self._fail(run, effect.attempt, AttemptFault.NOT_CONNECTED)
        elif effect.resume:
            self._read(run, effect.attempt, effect.offset)
        else:
            run.has_run = True
            text = AnswerText(run.prompt + run.given_out)
            left = run.max_tokens - effect.offset
            self._check(left > 0, "no_attempt_for_nothing", run)
            run.engine.streams[run.stream_id] = _Stream(effect.offset, text, left)
            self._read(run, effect.attempt, effect.offset)

    def _refuse(self, run: _Run, attempt: int) -> None:
        if self._random.random() < 0.5:
            self._release(run)
            code = self._random.choice([ResultCode.OVERLOADED, ResultCode.NO_TARGET])
            self._tell(run, PlacementRefused(attempt, code, 1.0))
        else:
            self._fail(run, attempt, AttemptFault.REFUSED)

    def _read(self, run: _Run, attempt: int, offset: int) -> None:
        """Let one frame come, and the next after it while the attempt lives."""
        if run.attempt != attempt or run.engine is None:
            return
        stream = run.engine.streams.get(run.stream_id)
        if not run.engine.is_alive:
            self._fail(run, attempt, AttemptFault.CONNECTION_LOST)
        elif run.engine.is_frozen:
            self._after(
                SILENCE_SECONDS, lambda: self._fail(run, attempt, AttemptFault.SILENT)
            )
        elif stream is None:
            self._fail(run, attempt, AttemptFault.STREAM_GONE)
        elif self._random.random() < DROP_SHARE:
            self._fail(run, attempt, AttemptFault.CONNECTION_LOST)
        else:
            self._send_frame(run, attempt, offset, stream)

    def _send_frame(
        self, run: _Run, attempt: int, offset: int, stream: _Stream
    ) -> None:
        stream.produce(self._random.randint(0, MAX_FRAME_TOKENS))
        at = offset - stream.first_offset
        if self._random.random() < REPEATED_SHARE:
            at = max(0, at - self._random.randint(1, MAX_FRAME_TOKENS))
        if self._random.random() < SCRAMBLED_SHARE:
            at += 1
        pieces = tuple(stream.pieces[max(at, 0) :])
        frame = TextArrived(attempt, stream.first_offset + max(at, 0), pieces)
        total = stream.first_offset + len(stream.pieces)
        delay = self._random.uniform(0, FRAME_SECONDS)
        if self._random.random() < LATE_SHARE:
            late = self._random.uniform(0, RUN_SECONDS / 3)
            self._after(late, lambda: self._tell(run, frame))
        if pieces:
            self._after(delay, lambda: self._tell(run, frame))
        if stream.finish_reason:
            end = AttemptFinished(attempt, total, stream.finish_reason)
            self._after(delay, lambda: self._tell(run, end))
        else:
            self._after(delay + FRAME_SECONDS, lambda: self._read(run, attempt, total))

    def _fail(self, run: _Run, attempt: int, fault: AttemptFault) -> None:
        self._tell(run, AttemptFailed(attempt, fault))

    def _kill(self) -> None:
        engine = self._random.choice(self._engines)
        engine.is_alive = False
        engine.streams.clear()
        self._after(self._random.uniform(0, 10), lambda: _restart(engine))

    def _freeze(self) -> None:
        engine = self._random.choice(self._engines)
        engine.is_frozen = True
        self._after(self._random.uniform(0, 10), lambda: _thaw(engine))

    def _pause(self) -> None:
        self._paused_until = self.now + self._random.uniform(0, MAX_PAUSE_SECONDS)

    def _leave(self) -> None:
        if self._runs:
            self._tell(self._random.choice(self._runs), CallerDisconnected())

    def _stop(self) -> None:
        if self._runs:
            self._tell(self._random.choice(self._runs), DrainTimeoutExpired())

    def _check_end(self) -> None:
        for run in self._runs:
            self._check(run.end is not None, "every_request_ends", run)
            held = any(run.stream_id in engine.streams for engine in self._engines)
            self._check(not held, "everything_released", run)

    def _check(self, holds: bool, name: str, run: _Run) -> None:
        invariants.check(
            holds, name, seed=self.seed, request=run.number, at=f"{self.now:.3f}"
        )


@singledispatch
def _apply(effect: Effect, runs: ModelRuns, run: _Run) -> None:
    raise TypeError(f"not an effect: {effect!r}")


@_apply.register
def _(effect: StartAttempt, runs: ModelRuns, run: _Run) -> None:
    runs._check(runs.now < run.lifecycle.deadline, "no_late_attempt", run)
    run.attempt = effect.attempt
    runs._after(effect.delay_seconds, lambda: runs._open(run, effect))


@_apply.register
def _(effect: CancelAttempt, runs: ModelRuns, run: _Run) -> None:
    runs._release(run)


@_apply.register
def _(effect: DeliverText, runs: ModelRuns, run: _Run) -> None:
    runs._check(runs.now < run.lifecycle.deadline, "no_late_text", run)
    run.given_out += effect.text
    whole = expect_answer(run.prompt, run.max_tokens).text
    runs._check(whole.startswith(run.given_out), "text_is_of_this_answer", run)


@_apply.register
def _(effect: EndRequest, runs: ModelRuns, run: _Run) -> None:
    runs._check(run.end is None, "one_terminal_event", run)
    run.end = effect
    in_time = runs.now <= max(run.lifecycle.deadline, runs._paused_until)
    runs._check(in_time, "ended_in_time", run)
    told_not_run = effect.code.conclusion is Conclusion.NOT_RUN
    runs._check(not (told_not_run and run.has_run), "not_run_is_true", run)
    if effect.code is ResultCode.OK:
        expected = expect_answer(run.prompt, run.max_tokens)
        is_whole = (run.given_out, effect.finish_reason) == (
            expected.text,
            expected.finish_reason,
        )
        runs._check(is_whole, "whole_answer", run)


def _restart(engine: _Engine) -> None:
    engine.is_alive = True


def _thaw(engine: _Engine) -> None:
    engine.is_frozen = False


def run_model_requests(seed: int) -> int:
    """Run one seed and return its events; violations are counted by invariants."""
    return ModelRuns(seed).run()
