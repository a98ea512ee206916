"""Tests of Exchange, with randomised runs against targets that fail in all ways."""

import random
from dataclasses import dataclass, field

import pytest

from tarragonward_core import ResultCode, invariants
from tarragonward_requests import (
    AbortConnection,
    AnswerStarted,
    EventsGiven,
    Exchange,
    ExchangePolicy,
    ForwardAnswer,
    Refuse,
    SendFailed,
    SendFault,
    SendTo,
    TargetAnswered,
    TimeOver,
)
from tarragonward_requests import const as c

SEEDS_PER_RANGE = 500
RANGES = 4
STREAM_LENGTH = 6
DEADLINE = 10.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


@pytest.fixture(autouse=True)
def raise_on_violations():
    invariants.strict = True
    yield
    invariants.strict = False


@dataclass
class FakeTargets:
    """Targets of one request: counts their runs and records what the caller gets."""

    random: random.Random
    policy: ExchangePolicy
    runs: int = 0
    delivered: list = field(default_factory=list)
    has_head: bool = False
    has_failure: bool = False
    is_whole: bool = False

    def execute(self, exchange, effect, now):
        """Execute a send; return the event that ends it, None for a whole stream."""
        draw = self.random.random()
        if draw < 0.1:
            return SendFailed(SendFault.NOT_CONNECTED)
        exchange.record_sent()
        if draw < 0.3:
            return SendFailed(SendFault.NOT_RUN, 0.1, is_helper_fault=draw < 0.2)
        has_run = draw < 0.9
        self.runs += has_run
        if not has_run or draw < 0.5:
            fault = self.random.choice([SendFault.LOST, SendFault.SPOILED])
            return SendFailed(fault)
        if draw < 0.6:
            self.has_failure = True
            return TargetAnswered(is_failure=True)
        if not self.policy.is_stream:
            return TargetAnswered(is_failure=False)
        return self._stream(exchange, effect, now)

    def _stream(self, exchange, effect, now):
        first = (effect.last_event_id or 0) + 1
        stop = self.random.randint(first, STREAM_LENGTH + 1)
        for number in range(first, stop):
            if not exchange.is_streaming:
                assert not self.has_head
                exchange.handle(AnswerStarted(), now, True)
                self.has_head = True
            exchange.handle(EventsGiven(number), now, True)
            self.delivered.append(number)
        if stop <= STREAM_LENGTH or not self.delivered:
            return SendFailed(SendFault.LOST)
        self.is_whole = True
        exchange.has_ended = True
        return None


def run_one(seed):
    rng = random.Random(seed)
    is_stream = rng.random() < 0.5
    may_run_again = rng.random() < 0.5
    policy = ExchangePolicy(
        may_run_again, is_stream, rng.randint(1, 4), DEADLINE, may_resume=may_run_again
    )
    exchange, targets, now = Exchange(policy), FakeTargets(rng, policy), 0.0
    effect = exchange.start()
    while isinstance(effect, SendTo):
        now += rng.choice([0.0, 0.1, 4.0])
        if now >= DEADLINE:
            effect = exchange.handle(TimeOver(), now, True)
            break
        if rng.random() < 0.1:
            event = SendFailed(SendFault.NO_TARGET)
        else:
            event = targets.execute(exchange, effect, now)
        if event is None:
            effect = None
            break
        effect = exchange.handle(event, now, has_budget=rng.random() < 0.8)
    return exchange, targets, effect


def check(exchange, targets, effect):
    policy = exchange.policy
    assert exchange.has_ended
    assert exchange.sends <= policy.max_sends
    if not policy.may_run_again:
        assert targets.runs <= 1
    if isinstance(effect, Refuse):
        assert not targets.has_head
        assert not targets.has_failure
        if effect.code.http_status in NOT_RUN_STATUSES:
            assert targets.runs == 0 or policy.may_run_again
            assert effect.retry_after_seconds > 0
        else:
            assert effect.code in (
                ResultCode.FORWARD_OUTCOME_UNKNOWN,
                ResultCode.FORWARD_TIMEOUT,
            )
    if isinstance(effect, ForwardAnswer):
        assert not targets.has_head
    if isinstance(effect, AbortConnection):
        assert targets.has_head
    assert targets.delivered == list(range(1, len(targets.delivered) + 1))
    if targets.is_whole:
        assert effect is None
        assert len(targets.delivered) == STREAM_LENGTH


@pytest.mark.parametrize("part", range(RANGES))
def test_no_seed_violates_a_guarantee(part):
    """Targets refuse, lose connections, send invalid answers, fail or stop midway.

    In any order: a non-idempotent request runs at most once, "not run" is reported only
    if it did not run, there is one terminal answer, and no event is lost or duplicated.
    """
    for seed in range(part * SEEDS_PER_RANGE, (part + 1) * SEEDS_PER_RANGE):
        try:
            check(*run_one(seed))
        except Exception as err:
            err.add_note(f"seed {seed}")
            raise


def test_nothing_is_sent_after_the_end():
    exchange = Exchange(ExchangePolicy(True, False, 3, DEADLINE))
    exchange.start()
    exchange.record_sent()
    assert isinstance(exchange.handle(TargetAnswered(False), 0.0, True), ForwardAnswer)
    with pytest.raises(Exception, match="nothing_sent_after_the_end"):
        exchange.record_sent()
    with pytest.raises(Exception, match="one_terminal_answer"):
        exchange.handle(TimeOver(), 0.0, True)


def test_a_non_idempotent_request_that_may_have_run_is_not_sent_again():
    """A faulty decision to send it again is stopped before the first byte."""
    exchange = Exchange(ExchangePolicy(False, False, 3, DEADLINE))
    exchange.start()
    exchange.record_sent()
    with pytest.raises(Exception, match="sent_at_most_once"):
        exchange.record_sent()


@pytest.mark.parametrize("fault", list(SendFault))
def test_answer_that_may_not_be_resumed_is_not_continued(fault):
    """A request may be repeated, but another run must not continue its answer."""
    exchange = Exchange(ExchangePolicy(True, True, 3, DEADLINE))
    exchange.start()
    exchange.record_sent()
    exchange.handle(AnswerStarted(), 0.0, has_budget=True)
    exchange.handle(EventsGiven(2), 0.0, has_budget=True)
    for _ in range(2):
        effect = exchange.handle(SendFailed(fault), 0.1, has_budget=True)
        assert isinstance(effect, AbortConnection)
        exchange.has_ended = False


@pytest.mark.parametrize(
    "event",
    [
        *(SendFailed(fault, 0.1) for fault in SendFault),
        TimeOver(),
        TargetAnswered(is_failure=True),
    ],
)
def test_a_targets_failure_is_forwarded_if_the_retry_produces_no_answer(event):
    """The caller would get 502 "may have run" although a target has answered 500.

    A target answers an idempotent request with a failure, the host retries, and there
    is no other target, or the other one refuses, is lost or times out. The first answer
    is held during the retry and forwarded at the end.
    """
    exchange = Exchange(ExchangePolicy(True, False, 2, DEADLINE))
    exchange.start()
    exchange.record_sent()
    effect = exchange.handle(TargetAnswered(is_failure=True), 0.0, True)
    assert effect == SendTo(None, is_retry=True)
    is_sent = not isinstance(event, SendFailed) or event.fault not in (
        SendFault.NO_TARGET,
        SendFault.NOT_CONNECTED,
    )
    if is_sent:
        exchange.record_sent()
    effect = exchange.handle(event, 1.0, has_budget=False)
    assert effect == ForwardAnswer()


def test_a_refusal_caused_by_a_helper_does_not_count_as_a_send():
    """Draining engines refuse one by one to help the leader of a long prompt.

    The leader gets the prompt again, a bounded number of times. After that each refusal
    counts, and no more than the two targets that the route allows are tried.
    """
    policy = ExchangePolicy(True, True, 2, DEADLINE, may_resume=True)
    exchange = Exchange(policy)
    refusal = SendFailed(SendFault.NOT_RUN, is_helper_fault=True)
    effects = []
    effect = exchange.start()
    while isinstance(effect, SendTo):
        exchange.record_sent()
        effect = exchange.handle(refusal, 0.0, has_budget=True)
        effects.append(effect)
    returns = [isinstance(each, SendTo) and each.to_previous_target for each in effects]
    assert returns == [True] * c.MAX_RESENDS_TO_PREVIOUS_TARGET + [False, False]
    assert isinstance(effects[-1], Refuse)
    assert all(each.is_retry for each in effects[:-1])


@pytest.mark.parametrize(("fault", "returns"), [("LOST", False), ("MOVED", True)])
def test_only_a_stream_that_abandoned_a_working_target_returns_when_refused(
    fault, returns
):
    """A stream's engine crashes, and the second one that the route allows refuses.

    There is no target to return to, and a third one must not be tried. A stream that
    abandoned a working engine returns to that one.
    """
    exchange = Exchange(ExchangePolicy(True, True, 2, DEADLINE, may_resume=True))
    exchange.start()
    exchange.record_sent()
    exchange.handle(AnswerStarted(), 0.0, has_budget=True)
    exchange.handle(SendFailed(SendFault[fault]), 0.0, has_budget=True)
    exchange.record_sent()
    effect = exchange.handle(SendFailed(SendFault.NOT_RUN), 0.0, has_budget=True)
    assert isinstance(effect, SendTo if returns else AbortConnection)
    assert not returns or effect.to_previous_target


@pytest.mark.parametrize("fault", [SendFault.LOST, SendFault.NOT_CONNECTED])
def test_a_lost_stream_returns_once_and_is_sent_to_no_third_target(fault):
    """A stream abandons its target for one that crashes, and the first has crashed too.

    The stream returns to the abandoned target, which was still working. If that fails
    as well, the route's two targets are used up, and no third target may be tried.
    """
    exchange = Exchange(ExchangePolicy(True, True, 2, DEADLINE, may_resume=True))
    exchange.start()
    exchange.record_sent()
    exchange.handle(AnswerStarted(), 0.1, has_budget=True)
    exchange.handle(EventsGiven(2), 0.1, has_budget=True)
    exchange.handle(SendFailed(SendFault.MOVED), 0.2, has_budget=True)
    exchange.record_sent()
    back = exchange.handle(SendFailed(SendFault.LOST), 0.3, has_budget=True)
    assert back == SendTo(2, is_retry=True, to_previous_target=True)
    if fault is SendFault.LOST:
        exchange.record_sent()
    assert exchange.handle(SendFailed(fault), 0.4, has_budget=True) == AbortConnection()
