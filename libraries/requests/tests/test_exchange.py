"""Randomised runs of one forwarded request, with targets that fail in all ways."""

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

SEEDS_A_RANGE = 500
RANGES = 4
STREAM_LENGTH = 6
DEADLINE = 10.0
PROMISES = (408, 421, 429, 503)


@pytest.fixture(autouse=True)
def strict_invariants():
    invariants.strict = True
    yield
    invariants.strict = False


@dataclass
class World:
    """The targets of one request: what they ran, and what the caller was given."""

    random: random.Random
    policy: ExchangePolicy
    runs: int = 0
    given: list = field(default_factory=list)
    has_head: bool = False
    has_failure: bool = False
    is_whole: bool = False

    def play(self, exchange, effect, now):
        """Carry a send out; return the event that ends it, None for a whole stream."""
        fate = self.random.random()
        if fate < 0.1:
            return SendFailed(SendFault.NOT_CONNECTED)
        exchange.record_sent()
        if fate < 0.3:
            return SendFailed(SendFault.NOT_RUN, 0.1, is_helper_fault=fate < 0.2)
        has_run = fate < 0.9
        self.runs += has_run
        if not has_run or fate < 0.5:
            fault = self.random.choice([SendFault.LOST, SendFault.SPOILED])
            return SendFailed(fault)
        if fate < 0.6:
            self.has_failure = True
            return TargetAnswered(is_failure=True)
        if not self.policy.is_stream:
            return TargetAnswered(is_failure=False)
        return self._stream(exchange, effect, now)

    def _stream(self, exchange, effect, now):
        first = (effect.last_id or 0) + 1
        stop = self.random.randint(first, STREAM_LENGTH + 1)
        for number in range(first, stop):
            if not exchange.is_started:
                assert not self.has_head
                exchange.handle(AnswerStarted(), now, True)
                self.has_head = True
            exchange.handle(EventsGiven(number), now, True)
            self.given.append(number)
        if stop <= STREAM_LENGTH or not self.given:
            return SendFailed(SendFault.LOST)
        self.is_whole = True
        exchange.has_ended = True
        return None


def run_one(seed):
    rng = random.Random(seed)
    is_stream = rng.random() < 0.5
    policy = ExchangePolicy(rng.random() < 0.5, is_stream, rng.randint(1, 4), DEADLINE)
    exchange, world, now = Exchange(policy), World(rng, policy), 0.0
    effect = exchange.start()
    while isinstance(effect, SendTo):
        now += rng.choice([0.0, 0.1, 4.0])
        if now >= DEADLINE:
            effect = exchange.handle(TimeOver(), now, True)
            break
        if rng.random() < 0.1:
            event = SendFailed(SendFault.NO_TARGET)
        else:
            event = world.play(exchange, effect, now)
        if event is None:
            effect = None
            break
        effect = exchange.handle(event, now, has_budget=rng.random() < 0.8)
    return exchange, world, effect


def check(exchange, world, effect):
    policy = exchange.policy
    assert exchange.has_ended
    assert exchange.sends <= policy.attempts
    if not policy.may_run_again:
        assert world.runs <= 1
    if isinstance(effect, Refuse):
        assert not world.has_head
        assert not world.has_failure
        if effect.code.http_status in PROMISES:
            assert world.runs == 0 or policy.may_run_again
            assert effect.retry_after_seconds > 0
        else:
            assert effect.code in (
                ResultCode.FORWARD_OUTCOME_UNKNOWN,
                ResultCode.FORWARD_TIMEOUT,
            )
    if isinstance(effect, ForwardAnswer):
        assert not world.has_head
    if isinstance(effect, AbortConnection):
        assert world.has_head
    assert world.given == list(range(1, len(world.given) + 1))
    if world.is_whole:
        assert effect is None
        assert len(world.given) == STREAM_LENGTH


@pytest.mark.parametrize("part", range(RANGES))
def test_no_seed_breaks_a_promise(part):
    """A request meets targets that refuse, lose, spoil, fail and stop within a stream.

    Whatever the order: what may run once runs once, "not run" is said only of what did
    not run, there is one terminal answer, and no event is missing or given twice.
    """
    for seed in range(part * SEEDS_A_RANGE, (part + 1) * SEEDS_A_RANGE):
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


def test_a_second_send_of_what_may_have_run_is_stopped():
    """A decision that sends a booking again in error is stopped at its first byte."""
    exchange = Exchange(ExchangePolicy(False, False, 3, DEADLINE))
    exchange.start()
    exchange.record_sent()
    with pytest.raises(Exception, match="sent_at_most_once"):
        exchange.record_sent()


@pytest.mark.parametrize(
    "event",
    [
        *(SendFailed(fault, 0.1) for fault in SendFault),
        TimeOver(),
        TargetAnswered(is_failure=True),
    ],
)
def test_a_targets_own_failure_is_given_where_its_repeat_brings_no_answer(event):
    """The caller got 502 "may have run" where a target had answered 500 itself.

    A target fails a request that may run again, the host decides to repeat it, and no
    other target is left, or it refuses, is lost or is out of time. The first answer is
    whole and true: it is held while the request is repeated, and given at the end.
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


def test_a_refusal_for_another_ones_fault_is_no_send_of_the_route():
    """Engines that leave refuse to help the leader of a long prompt, one by one.

    The leader gets the prompt again, a bounded number of times; after that each
    refusal counts, and the two targets that the route allows are the most there are.
    """
    policy = ExchangePolicy(True, True, attempts=2, deadline=DEADLINE)
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
def test_only_a_stream_that_left_its_target_goes_back_when_it_is_refused(
    fault, returns
):
    """A stream's engine dies, and the second one that the route allows refuses.

    There is nowhere to go back to: sent on, it would reach a third target. One that
    left an engine at work has that one.
    """
    exchange = Exchange(ExchangePolicy(True, True, attempts=2, deadline=DEADLINE))
    exchange.start()
    exchange.record_sent()
    exchange.handle(AnswerStarted(), 0.0, has_budget=True)
    exchange.handle(SendFailed(SendFault[fault]), 0.0, has_budget=True)
    exchange.record_sent()
    effect = exchange.handle(SendFailed(SendFault.NOT_RUN), 0.0, has_budget=True)
    assert isinstance(effect, SendTo if returns else AbortConnection)
    assert not returns or effect.to_previous_target


@pytest.mark.parametrize("fault", [SendFault.LOST, SendFault.NOT_CONNECTED])
def test_a_stream_that_is_lost_goes_back_once_and_to_no_third_target(fault):
    """A stream left its target for one that crashed; what it left has crashed too.

    It goes back to the one that it left, as that was at work. Where that brings nothing
    the route's two targets are used up, and a third one would run it beyond what the
    operator allows.
    """
    exchange = Exchange(ExchangePolicy(True, True, attempts=2, deadline=DEADLINE))
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
