"""Simulate non-idempotent calls on a faulty network and check the outcomes."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonward_core import Conclusion, ResultCode
from tarragonward_requests import CallLedger, RecordedAnswer, Reply, Send, Wait

__all__ = ["CallsMachine", "History", "run_calls_seed"]

CALLERS = 24
HOSTS = 3
COPIES = 6
RETENTION_SECONDS = 40.0
MAX_RECORDS = (1, 3, 100)
RUN_SECONDS = 60.0
TIME_LIMITS_SECONDS = (0.05, 0.5, 5.0, 20.0)
SENT_GRACE_SECONDS = 3.0
MAX_PAUSE_SECONDS = 30.0
LOSS_PROBABILITY, DUPLICATION_PROBABILITY, DELAY_PROBABILITY = 0.06, 0.1, 0.15
MAX_NORMAL_DELAY_SECONDS, MAX_LONG_DELAY_SECONDS = 0.02, 25.0
REFUSAL_PROBABILITY = 0.15


@dataclass
class History:
    """Record of the runs at the target and of the replies to callers."""

    runs: Counter[tuple[str, bytes]] = field(default_factory=Counter)
    replies: list[tuple[str, bytes, Reply]] = field(default_factory=list)

    def check(self) -> None:
        """Assert the guarantees given to callers."""
        runs_by_key: Counter[str] = Counter()
        for (key, _), count in self.runs.items():
            runs_by_key[key] += count
        duplicate_runs = [key for key, count in runs_by_key.items() if count > 1]
        assert not duplicate_runs, f"calls ran more than once: {duplicate_runs}"
        answers: dict[str, RecordedAnswer] = {}
        for key, body, reply in self.replies:
            runs = self.runs[key, body]
            if reply.code.conclusion is Conclusion.NOT_RUN:
                assert runs == 0, f"reply {reply.code.name}, but the call ran: {key}"
            if reply.code is ResultCode.OK:
                assert runs == 1, f"reply OK, but the call did not run: {key}"
                first = answers.setdefault(key, reply.answer)
                assert first == reply.answer, f"different answers to one call: {key}"


@dataclass
class _Host:
    """Incarnation of a host; its clock is the simulated time plus offset."""

    number: int
    offset: float
    ledger: CallLedger
    is_alive: bool = True
    paused_until: float = 0.0


@dataclass(frozen=True)
class _Copy:
    """Copy of a call, as sent by its caller to one of the hosts."""

    key: str
    owner: _Host
    minted_at: int
    body: bytes
    deadline: float


class CallsMachine:
    """Simulation of hosts, callers and one target, determined by its seed."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._now = 0.0
        self._events = 0
        self._order = itertools.count()
        self._queue: list[tuple[float, int, _Host | None, Callable[[], None]]] = []
        self.history = History()
        self._max_records = self._random.choice(MAX_RECORDS)
        self._hosts = [self._start_host(number) for number in range(HOSTS)]

    def run(self) -> int:
        """Run the simulation, check the history and return the number of events."""
        for number in range(CALLERS):
            self._schedule(
                self._random.uniform(0, RUN_SECONDS), lambda n=number: self._call(n)
            )
        for _ in range(self._random.randrange(8)):
            self._schedule(
                self._random.uniform(0, RUN_SECONDS), self._inject_host_fault
            )
        while self._queue:
            self._step()
        self.history.check()
        return self._events

    def _step(self) -> None:
        self._now, _, host, action = heapq.heappop(self._queue)
        if host is not None and not host.is_alive:
            return
        if host is not None and host.paused_until > self._now:
            self._schedule(host.paused_until - self._now, action, host)
            return
        self._events += 1
        action()

    def _schedule(
        self, delay: float, action: Callable[[], None], host: _Host | None = None
    ) -> None:
        entry = (self._now + delay, next(self._order), host, action)
        heapq.heappush(self._queue, entry)

    def _send_over_network(
        self, action: Callable[[], None], host: _Host | None = None
    ) -> None:
        """Send a message that may be lost, duplicated, delayed or reordered."""
        if self._random.random() < LOSS_PROBABILITY:
            return
        for _ in range(2 if self._random.random() < DUPLICATION_PROBABILITY else 1):
            is_late = self._random.random() < DELAY_PROBABILITY
            max_delay = MAX_LONG_DELAY_SECONDS if is_late else MAX_NORMAL_DELAY_SECONDS
            self._schedule(self._random.uniform(0, max_delay), action, host)

    def _start_host(self, number: int) -> _Host:
        ledger = CallLedger(RETENTION_SECONDS, max_records=self._max_records)
        return _Host(number, self._random.uniform(0, 1_000), ledger)

    def _inject_host_fault(self) -> None:
        host = self._random.choice(self._hosts)
        match self._random.randrange(5):
            case 0:
                host.is_alive = False
                self._hosts[host.number] = self._start_host(host.number)
            case 1:
                host.ledger.close()
            case _:
                pause = self._random.uniform(0, MAX_PAUSE_SECONDS)
                host.paused_until = self._now + pause

    def _call(self, number: int) -> None:
        """Get a key for a call and schedule copies of the call to several hosts."""
        owner = self._random.choice(self._hosts)
        minted_at = owner.ledger.choose_mint_time(self._now + owner.offset)
        key = f"call-{number}"
        for _ in range(self._random.randint(1, COPIES)):
            body = b"other" if self._random.random() < 0.05 else b"body"
            at = self._random.choice((0.0, 0.1, 2.0, 30.0)) * self._random.random()
            self._schedule(at, lambda b=body: self._send_copy(key, owner, minted_at, b))

    def _send_copy(self, key: str, owner: _Host, minted_at: int, body: bytes) -> None:
        limit = self._random.choice(TIME_LIMITS_SECONDS)
        copy = _Copy(key, owner, minted_at, body, self._now + limit)
        entry = self._random.choice(self._hosts)
        record_reply = self._build_recorder(copy)
        unknown = Reply(ResultCode.OUTCOME_UNKNOWN)
        self._schedule(limit, lambda: record_reply(unknown))
        receive = lambda: self._receive(copy, record_reply)  # noqa: E731
        if entry is owner:
            self._send_over_network(receive, owner)
        else:
            forward = lambda: self._send_over_network(receive, owner)  # noqa: E731
            self._send_over_network(forward, entry)

    def _build_recorder(self, copy: _Copy) -> Callable[[Reply], None]:
        """Return a function that records the first reply to a copy.

        It records nothing if the caller has disconnected.
        """
        has_disconnected = self._random.random() < 0.2
        replies: list[Reply] = []

        def record_reply(reply: Reply) -> None:
            if not replies and not has_disconnected:
                self.history.replies.append((copy.key, copy.body, reply))
            replies.append(reply)

        return record_reply

    def _receive(self, copy: _Copy, record_reply: Callable[[Reply], None]) -> None:
        """Do what OwnedCalls.async_run does at the owner."""
        owner = copy.owner
        now, deadline = self._now + owner.offset, copy.deadline + owner.offset
        decision = owner.ledger.accept(
            copy.key, copy.body, copy.minted_at, now, deadline
        )
        answer = lambda reply: self._send_over_network(lambda: record_reply(reply))  # noqa: E731
        match decision:
            case Reply():
                answer(decision)
                return
            case Send():
                self._connect(copy, attempts=2)
            case Wait():
                pass
        wait = max(0.0, copy.deadline - self._now)
        self._schedule(
            self._random.uniform(0, wait),
            lambda: answer(
                owner.ledger.read(copy.key, self._now + owner.offset),
            ),
            owner,
        )

    def _connect(self, copy: _Copy, attempts: int) -> None:
        """Connect to the target, with a delay or failure, then send the call."""
        if attempts == 0:
            self._end_attempt(copy, None)
            return
        delay = self._random.choice((0.001, 0.5, 3.0)) * self._random.random()
        if self._random.random() < 0.2:
            retry = lambda: self._connect(copy, attempts - 1)  # noqa: E731
            self._schedule(delay, retry, copy.owner)
        else:
            self._schedule(delay, lambda: self._send_call(copy, attempts), copy.owner)

    def _send_call(self, copy: _Copy, attempts: int) -> None:
        owner = copy.owner
        if not owner.ledger.mark_sent(copy.key, self._now + owner.offset):
            self._end_attempt(copy, None)
            return
        assert self._now < copy.deadline, f"call sent after its deadline: {copy.key}"
        time_out = lambda: self._end_attempt(copy, None)  # noqa: E731
        self._schedule(SENT_GRACE_SECONDS, time_out, owner)
        # Bytes on a TCP connection may be lost with it or delayed, but not duplicated.
        if self._random.random() >= LOSS_PROBABILITY:
            delay = self._random.choice(
                (MAX_NORMAL_DELAY_SECONDS, MAX_LONG_DELAY_SECONDS)
            )
            self._schedule(
                self._random.uniform(0, delay),
                lambda: self._reach_target(copy, attempts),
            )

    def _reach_target(self, copy: _Copy, attempts: int) -> None:
        owner = copy.owner
        if self._random.random() < REFUSAL_PROBABILITY:
            refuse = lambda: self._refuse(copy, attempts)  # noqa: E731
            self._schedule(self._random.uniform(0, 1), refuse, owner)
            return
        self.history.runs[copy.key, copy.body] += 1
        run = sum(self.history.runs.values())
        answer = RecordedAnswer(200, "text/plain", str(run).encode())
        if self._random.random() >= LOSS_PROBABILITY:
            delay = self._random.choice(
                (MAX_NORMAL_DELAY_SECONDS, MAX_LONG_DELAY_SECONDS)
            )
            self._schedule(
                self._random.uniform(0, delay),
                lambda: self._end_attempt(copy, answer),
                owner,
            )

    def _refuse(self, copy: _Copy, attempts: int) -> None:
        if copy.owner.ledger.is_sent(copy.key):
            copy.owner.ledger.mark_refused(copy.key)
            self._connect(copy, attempts - 1)

    def _end_attempt(self, copy: _Copy, answer: RecordedAnswer | None) -> None:
        """End the attempt with the target's answer, or as failed if there is none."""
        ledger, now = copy.owner.ledger, self._now + copy.owner.offset
        if answer is not None and ledger.is_sent(copy.key):
            ledger.record_answer(copy.key, answer, now)
        elif answer is None:
            ledger.record_failure(copy.key, now)


def run_calls_seed(seed: int) -> int:
    """Run one seed; return its number of events, or raise AssertionError."""
    return CallsMachine(seed).run()
