"""Model a runner's passes as the platform publishes them, without I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["PassEngine", "PassSizes", "PassWork", "Ticket"]

URGENCY_DEFAULT = 5
MILLISECONDS = 1_000.0
MAX_TICKETS = 64


@dataclass(frozen=True)
class PassSizes:
    """The published constants, in the units of the page."""

    slots: int = 8
    memory_tokens: int = 450_000
    stride: int = 46
    chunk: int = 2_048
    step_ms: float = 0.925
    per_seq_ms: float = 0.00966
    context_per_k: float = 0.00254
    read_per_s: float = 256_000.0
    pairs_per_m: float = 0.0917
    hop_ms: float = 0.1

    def compute_read_ms(self, tokens: int, pairs: float) -> float:
        """Return how long so many tokens with so many pairs take to read."""
        by_tokens = tokens / self.read_per_s * MILLISECONDS
        return by_tokens + pairs / 1e6 * self.pairs_per_m


@dataclass(eq=False)
class PassWork:
    """One request on an engine, or a part of one that is read for another engine.

    A part holds tickets' memory and never writes here; waits_for counts the parts that
    other engines still read for a request.
    """

    id: str
    prompt_tokens: int
    answer_tokens: int
    urgency: int = URGENCY_DEFAULT
    order: int = 0
    part_tokens: int | None = None
    is_part: bool = False
    read: int = 0
    written: int = 0
    waits_for: int = 0
    is_running: bool = False
    hop_ms: float = 0.0
    ticket_tokens: int = 0

    @property
    def own_tokens(self) -> int:
        """Return the prompt tokens that this engine reads."""
        return self.prompt_tokens if self.part_tokens is None else self.part_tokens

    @property
    def is_joint(self) -> bool:
        """Return whether several engines read the prompt."""
        return self.own_tokens < self.prompt_tokens

    @property
    def is_read(self) -> bool:
        """Return whether this engine has read its tokens."""
        return self.read >= self.own_tokens

    @property
    def is_writing(self) -> bool:
        """Return whether the answer is being written."""
        return (
            self.is_read
            and not (self.is_part or self.waits_for)
            and self.written < self.answer_tokens
        )

    @property
    def memory_tokens(self) -> int:
        """Return the memory held besides tickets."""
        held = self.read + self.written - self.ticket_tokens
        return max(0, held)

    def count_pairs(self, tokens: int) -> float:
        """Return the pairs of the next tokens with those before them."""
        if self.is_joint:
            return tokens * self.prompt_tokens / 2
        end = self.read + tokens
        return (end * end - self.read * self.read) / 2


@dataclass
class Ticket:
    """Memory set aside under a lease; waiting while it is not free."""

    id: str
    tokens: int
    expires_at: float
    created_at: float
    is_waiting: bool = False
    used_by: str = ""


@dataclass
class PassResult:
    """A pass: how long it takes, who writes how many tokens, which parts are read."""

    seconds: float
    written: list[tuple[PassWork, int]] = field(default_factory=list)
    read: list[PassWork] = field(default_factory=list)
    preempted: list[PassWork] = field(default_factory=list)


class PassEngine:
    """Waiting and running requests, memory, tickets and the passes that serve them."""

    def __init__(self, sizes: PassSizes, pace: float = 1.0) -> None:
        self.sizes = sizes
        self.pace = pace
        self.waiting: list[PassWork] = []
        self.running: list[PassWork] = []
        self.tickets: dict[str, Ticket] = {}
        self._orders = 0

    @property
    def held_tokens(self) -> int:
        """Return the memory that cannot yield."""
        return sum(work.memory_tokens for work in self.running) + sum(
            ticket.tokens for ticket in self.tickets.values() if not ticket.is_waiting
        )

    @property
    def free_tokens(self) -> int:
        """Return the memory that nothing holds."""
        return self.sizes.memory_tokens - self.held_tokens

    @property
    def has_work(self) -> bool:
        """Return whether a pass would do anything."""
        return bool(self.waiting) or any(self._list_active())

    def add(self, work: PassWork) -> None:
        """Queue a request; a part is read at once, ahead of other reads."""
        self._orders += 1
        work.order = self._orders
        if work.is_part:
            work.is_running = True
            self.running.append(work)
        else:
            self.waiting.append(work)
            self.waiting.sort(key=lambda w: (w.urgency, w.order))

    def remove(self, work: PassWork) -> None:
        """Drop a request wherever it stands."""
        for works in (self.waiting, self.running):
            if work in works:
                works.remove(work)

    def begin_pass(self) -> PassResult:
        """Admit what fits, and return the pass that begins now.

        Preempted requests are back in the queue; the caller of this applies the
        result at the pass's end, by end_pass.
        """
        result = PassResult(0.0)
        self._preempt(result)
        self._admit()
        writers = [work for work in self.running if work.is_writing]
        steps = self.sizes.stride if writers else 1
        step_ms = self.sizes.step_ms + sum(map(self._compute_writer_ms, writers))
        step_ms += sum(map(self._compute_holder_ms, self.running))
        read_ms = self._plan_reads(steps, result)
        result.seconds = (steps * step_ms + read_ms) * self.pace / MILLISECONDS
        for work in writers:
            tokens = min(steps, work.answer_tokens - work.written)
            result.written.append((work, tokens))
        return result

    def end_pass(self, result: PassResult) -> list[PassWork]:
        """Take in what a pass did; return the requests that are read through now.

        A request whose prompt is read writes its first token at the pass's end.
        """
        for work, tokens in result.written:
            work.written += tokens
        return [work for work in result.read if work.is_read]

    def reserve(
        self, ticket_id: str, tokens: int, hold: float, wait: bool, now: float
    ) -> int:
        """Set memory aside; return the status of the order."""
        self.expire(now)
        known = self.tickets.get(ticket_id)
        if known is not None:
            known.expires_at = now + hold
            return 202 if known.is_waiting else 200
        if tokens > self.sizes.memory_tokens:
            return 400
        fits = tokens <= self.free_tokens and not self._has_waiting_ticket()
        if len(self.tickets) >= MAX_TICKETS or not (fits or wait):
            return 409
        ticket = Ticket(ticket_id, tokens, now + hold, now, is_waiting=not fits)
        self.tickets[ticket_id] = ticket
        return 200 if fits else 202

    def release(self, ticket_id: str) -> None:
        """End a reservation; requests that use it are cut off by their runner."""
        self.tickets.pop(ticket_id, None)

    def expire(self, now: float) -> list[Ticket]:
        """Drop the reservations whose lease is over, and grant those that wait."""
        gone = [t for t in self.tickets.values() if t.expires_at <= now]
        for ticket in gone:
            del self.tickets[ticket.id]
        for ticket in self.tickets.values():
            if ticket.is_waiting:
                if ticket.tokens > self.free_tokens:
                    break
                ticket.is_waiting = False
        return gone

    def _has_waiting_ticket(self) -> bool:
        return any(ticket.is_waiting for ticket in self.tickets.values())

    def _list_active(self) -> Iterator[PassWork]:
        return (w for w in self.running if not w.is_read or w.is_writing)

    def _admit(self) -> None:
        while self.waiting and not self._has_waiting_ticket():
            own = sum(not work.is_part for work in self.running)
            work = self.waiting[0]
            wanted = work.own_tokens - work.ticket_tokens
            promised = sum(w.own_tokens - w.read for w in self.running if not w.is_part)
            if own >= self.sizes.slots or wanted > self.free_tokens - promised:
                return
            work.is_running = True
            self.running.append(self.waiting.pop(0))

    def _preempt(self, result: PassResult) -> None:
        while self.free_tokens < 0:
            own = [work for work in self.running if not work.is_part]
            if len(own) <= 1:
                return
            newest = max(own, key=lambda work: work.order)
            self.running.remove(newest)
            # What was written is read again together with the prompt.
            newest.read, newest.is_running = 0, False
            self.waiting.insert(0, newest)
            result.preempted.append(newest)

    def _compute_writer_ms(self, work: PassWork) -> float:
        context = (work.own_tokens + work.written) / 1_000
        return self.sizes.per_seq_ms + context * self.sizes.context_per_k + work.hop_ms

    def _compute_holder_ms(self, work: PassWork) -> float:
        if not (work.is_part and work.is_read):
            return 0.0
        return work.own_tokens / 1_000 * self.sizes.context_per_k

    def _plan_reads(self, steps: int, result: PassResult) -> float:
        left = self.sizes.chunk * steps
        total = 0.0
        unread = [work for work in self.running if not work.is_read]
        for work in sorted(unread, key=_get_turn):
            if left <= 0:
                break
            tokens = min(left, work.own_tokens - work.read)
            total += self.sizes.compute_read_ms(tokens, work.count_pairs(tokens))
            work.read += tokens
            left -= tokens
            result.read.append(work)
        return total


def _get_turn(work: PassWork) -> tuple[bool, int, int]:
    """Return the place of a read: shares of joint prompts first, the newest of them.

    The page says that parts go ahead of other reads. That the newest goes ahead of
    older ones, and the first engine's own share with them, is as the runners did it.
    """
    if work.is_joint:
        return False, 0, -work.order
    return True, work.urgency, work.order
