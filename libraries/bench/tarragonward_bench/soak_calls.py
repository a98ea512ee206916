"""Run non-idempotent calls against an adversarial network and a plain model."""

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
LOST, DOUBLED, LATE = 0.06, 0.1, 0.15
QUICK_SECONDS, LATE_SECONDS = 0.02, 25.0
REFUSED = 0.15


@dataclass
class History:
    """What was run and what callers were told: the plain model of the promises."""

    runs: Counter[tuple[str, bytes]] = field(default_factory=Counter)
    told: list[tuple[str, bytes, Reply]] = field(default_factory=list)

    def check(self) -> None:
        """Assert what was promised to callers."""
        runs_a_key: Counter[str] = Counter()
        for (key, _), count in self.runs.items():
            runs_a_key[key] += count
        doubled = [key for key, count in runs_a_key.items() if count > 1]
        assert not doubled, f"run more than once: {doubled}"
        answers: dict[str, RecordedAnswer] = {}
        for key, body, reply in self.told:
            runs = self.runs[key, body]
            if reply.code.conclusion is Conclusion.NOT_RUN:
                assert runs == 0, f"told {reply.code.name}, but it ran: {key}"
            if reply.code is ResultCode.OK:
                assert runs == 1, f"told OK, but it did not run: {key}"
                first = answers.setdefault(key, reply.answer)
                assert first == reply.answer, f"two answers: {key}"


@dataclass
class _Host:
    """One incarnation of one host; its clock is the machine's plus offset."""

    number: int
    offset: float
    ledger: CallLedger
    is_alive: bool = True
    paused_until: float = 0.0


@dataclass(frozen=True)
class _Copy:
    """One copy of a call, as a caller sent it to some host."""

    key: str
    owner: _Host
    minted_at: int
    body: bytes
    deadline: float


class CallsMachine:
    """Hosts, callers and one target on a fake clock; all chance comes from the seed."""

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
        """Run to the end, check the history, and return the number of events."""
        for number in range(CALLERS):
            self._after(
                self._random.uniform(0, RUN_SECONDS), lambda n=number: self._call(n)
            )
        for _ in range(self._random.randrange(8)):
            self._after(self._random.uniform(0, RUN_SECONDS), self._break_a_host)
        while self._queue:
            self._step()
        self.history.check()
        return self._events

    def _step(self) -> None:
        self._now, _, host, action = heapq.heappop(self._queue)
        if host is not None and not host.is_alive:
            return
        if host is not None and host.paused_until > self._now:
            self._after(host.paused_until - self._now, action, host)
            return
        self._events += 1
        action()

    def _after(
        self, delay: float, action: Callable[[], None], host: _Host | None = None
    ) -> None:
        entry = (self._now + delay, next(self._order), host, action)
        heapq.heappush(self._queue, entry)

    def _pass_network(
        self, action: Callable[[], None], host: _Host | None = None
    ) -> None:
        """Carry a message: it may be lost, doubled, late or out of order."""
        if self._random.random() < LOST:
            return
        for _ in range(2 if self._random.random() < DOUBLED else 1):
            is_late = self._random.random() < LATE
            longest = LATE_SECONDS if is_late else QUICK_SECONDS
            self._after(self._random.uniform(0, longest), action, host)

    def _start_host(self, number: int) -> _Host:
        ledger = CallLedger(RETENTION_SECONDS, max_records=self._max_records)
        return _Host(number, self._random.uniform(0, 1_000), ledger)

    def _break_a_host(self) -> None:
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
        """Let a caller take a key and send copies of its call to several hosts."""
        owner = self._random.choice(self._hosts)
        minted_at = owner.ledger.choose_mint_time(self._now + owner.offset)
        key = f"call-{number}"
        for _ in range(self._random.randint(1, COPIES)):
            body = b"other" if self._random.random() < 0.05 else b"body"
            at = self._random.choice((0.0, 0.1, 2.0, 30.0)) * self._random.random()
            self._after(at, lambda b=body: self._send_copy(key, owner, minted_at, b))

    def _send_copy(self, key: str, owner: _Host, minted_at: int, body: bytes) -> None:
        limit = self._random.choice(TIME_LIMITS_SECONDS)
        copy = _Copy(key, owner, minted_at, body, self._now + limit)
        entry = self._random.choice(self._hosts)
        tell = self._build_teller(copy)
        unknown = Reply(ResultCode.OUTCOME_UNKNOWN)
        self._after(limit, lambda: tell(unknown))
        arrive = lambda: self._arrive(copy, tell)  # noqa: E731
        if entry is owner:
            self._pass_network(arrive, owner)
        else:
            forward = lambda: self._pass_network(arrive, owner)  # noqa: E731
            self._pass_network(forward, entry)

    def _build_teller(self, copy: _Copy) -> Callable[[Reply], None]:
        """Return what tells the caller of a copy, once; it may have left by then."""
        has_left = self._random.random() < 0.2
        told: list[Reply] = []

        def tell(reply: Reply) -> None:
            if not told and not has_left:
                self.history.told.append((copy.key, copy.body, reply))
            told.append(reply)

        return tell

    def _arrive(self, copy: _Copy, tell: Callable[[Reply], None]) -> None:
        """Do at the owner what OwnedCalls.async_run does."""
        owner = copy.owner
        now, deadline = self._now + owner.offset, copy.deadline + owner.offset
        decision = owner.ledger.accept(
            copy.key, copy.body, copy.minted_at, now, deadline
        )
        answer = lambda reply: self._pass_network(lambda: tell(reply))  # noqa: E731
        match decision:
            case Reply():
                answer(decision)
                return
            case Send():
                self._connect(copy, attempts=2)
            case Wait():
                pass
        wait = max(0.0, copy.deadline - self._now)
        self._after(
            self._random.uniform(0, wait),
            lambda: answer(
                owner.ledger.read(copy.key, self._now + owner.offset),
            ),
            owner,
        )

    def _connect(self, copy: _Copy, attempts: int) -> None:
        """Connect to a target, which takes a while or fails, then write."""
        if attempts == 0:
            self._end(copy, None)
            return
        delay = self._random.choice((0.001, 0.5, 3.0)) * self._random.random()
        if self._random.random() < 0.2:
            retry = lambda: self._connect(copy, attempts - 1)  # noqa: E731
            self._after(delay, retry, copy.owner)
        else:
            self._after(delay, lambda: self._write(copy, attempts), copy.owner)

    def _write(self, copy: _Copy, attempts: int) -> None:
        owner = copy.owner
        if not owner.ledger.mark_sent(copy.key, self._now + owner.offset):
            self._end(copy, None)
            return
        assert self._now < copy.deadline, f"sent past its time limit: {copy.key}"
        give_up = lambda: self._end(copy, None)  # noqa: E731
        self._after(SENT_GRACE_SECONDS, give_up, owner)
        # One connection: its bytes may be lost or late, but TCP never doubles them.
        if self._random.random() >= LOST:
            delay = self._random.choice((QUICK_SECONDS, LATE_SECONDS))
            self._after(
                self._random.uniform(0, delay),
                lambda: self._reach_target(copy, attempts),
            )

    def _reach_target(self, copy: _Copy, attempts: int) -> None:
        owner = copy.owner
        if self._random.random() < REFUSED:
            refuse = lambda: self._refuse(copy, attempts)  # noqa: E731
            self._after(self._random.uniform(0, 1), refuse, owner)
            return
        self.history.runs[copy.key, copy.body] += 1
        run = sum(self.history.runs.values())
        answer = RecordedAnswer(200, "text/plain", str(run).encode())
        if self._random.random() >= LOST:
            delay = self._random.choice((QUICK_SECONDS, LATE_SECONDS))
            self._after(
                self._random.uniform(0, delay), lambda: self._end(copy, answer), owner
            )

    def _refuse(self, copy: _Copy, attempts: int) -> None:
        if copy.owner.ledger.is_sent(copy.key):
            copy.owner.ledger.mark_refused(copy.key)
            self._connect(copy, attempts - 1)

    def _end(self, copy: _Copy, answer: RecordedAnswer | None) -> None:
        """End the sending once: with the target's answer, or broken off."""
        ledger, now = copy.owner.ledger, self._now + copy.owner.offset
        if answer is not None and ledger.is_sent(copy.key):
            ledger.record_answer(copy.key, answer, now)
        elif answer is None:
            ledger.record_failure(copy.key, now)


def run_calls_seed(seed: int) -> int:
    """Run one seed; return its number of events, or raise what was violated."""
    return CallsMachine(seed).run()
