"""Model a runner's passes as the platform publishes them, without I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["PassEngine", "PassSizes", "PassWork", "Reservation"]

URGENCY_DEFAULT = 5
MILLISECONDS = 1_000.0
MAX_RESERVATIONS = 64


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

    def compute_prefill_ms(self, tokens: int, pairs: float) -> float:
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
    prefilled_tokens: int = 0
    generated_tokens: int = 0
    pending_parts: int = 0
    is_running: bool = False
    hop_ms: float = 0.0
    reserved_tokens: int = 0

    @property
    def local_tokens(self) -> int:
        """Return the prompt tokens that this engine reads."""
        return self.prompt_tokens if self.part_tokens is None else self.part_tokens

    @property
    def is_split(self) -> bool:
        """Return whether several engines read the prompt."""
        return self.local_tokens < self.prompt_tokens

    @property
    def is_prefilled(self) -> bool:
        """Return whether this engine has read its tokens."""
        return self.prefilled_tokens >= self.local_tokens

    @property
    def is_decoding(self) -> bool:
        """Return whether the answer is being written."""
        return (
            self.is_prefilled
            and not (self.is_part or self.pending_parts)
            and self.generated_tokens < self.answer_tokens
        )

    @property
    def memory_tokens(self) -> int:
        """Return the memory held besides tickets."""
        held = self.prefilled_tokens + self.generated_tokens - self.reserved_tokens
        return max(0, held)

    def count_attention_pairs(self, tokens: int) -> float:
        """Return the pairs of the next tokens with those before them."""
        if self.is_split:
            return tokens * self.prompt_tokens / 2
        end = self.prefilled_tokens + tokens
        return (end * end - self.prefilled_tokens * self.prefilled_tokens) / 2


@dataclass
class Reservation:
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
    decoded: list[tuple[PassWork, int]] = field(default_factory=list)
    prefilled: list[PassWork] = field(default_factory=list)
    preempted: list[PassWork] = field(default_factory=list)


class PassEngine:
    """Waiting and running requests, memory, tickets and the passes that serve them."""

    def __init__(self, sizes: PassSizes, pace: float = 1.0) -> None:
        self.sizes = sizes
        self.pace = pace
        self.waiting: list[PassWork] = []
        self.running: list[PassWork] = []
        self.reservations: dict[str, Reservation] = {}
        self._last_order = 0

    @property
    def held_tokens(self) -> int:
        """Return the memory that cannot yield."""
        return sum(work.memory_tokens for work in self.running) + sum(
            reservation.tokens
            for reservation in self.reservations.values()
            if not reservation.is_waiting
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
        self._last_order += 1
        work.order = self._last_order
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
        decoding = [work for work in self.running if work.is_decoding]
        steps = self.sizes.stride if decoding else 1
        step_ms = self.sizes.step_ms + sum(map(self._compute_decode_ms, decoding))
        step_ms += sum(map(self._compute_held_part_ms, self.running))
        prefill_ms = self._plan_prefill(steps, result)
        result.seconds = (steps * step_ms + prefill_ms) * self.pace / MILLISECONDS
        for work in decoding:
            tokens = min(steps, work.answer_tokens - work.generated_tokens)
            result.decoded.append((work, tokens))
        return result

    def end_pass(self, result: PassResult) -> list[PassWork]:
        """Take in what a pass did; return the requests that are read through now.

        A request whose prompt is read writes its first token at the pass's end.
        """
        for work, tokens in result.decoded:
            work.generated_tokens += tokens
        return [work for work in result.prefilled if work.is_prefilled]

    def reserve(
        self, reservation_id: str, tokens: int, hold: float, wait: bool, now: float
    ) -> int:
        """Set memory aside; return the status of the order."""
        self.expire(now)
        existing = self.reservations.get(reservation_id)
        if existing is not None:
            existing.expires_at = now + hold
            return 202 if existing.is_waiting else 200
        if tokens > self.sizes.memory_tokens:
            return 400
        fits = tokens <= self.free_tokens and not self._has_waiting_reservation()
        if len(self.reservations) >= MAX_RESERVATIONS or not (fits or wait):
            return 409
        reservation = Reservation(
            reservation_id, tokens, now + hold, now, is_waiting=not fits
        )
        self.reservations[reservation_id] = reservation
        return 200 if fits else 202

    def release(self, reservation_id: str) -> None:
        """End a reservation; requests that use it are cut off by their runner."""
        self.reservations.pop(reservation_id, None)

    def expire(self, now: float) -> list[Reservation]:
        """Drop the reservations whose lease is over, and grant those that wait."""
        expired = [t for t in self.reservations.values() if t.expires_at <= now]
        for reservation in expired:
            del self.reservations[reservation.id]
        for reservation in self.reservations.values():
            if reservation.is_waiting:
                if reservation.tokens > self.free_tokens:
                    break
                reservation.is_waiting = False
        return expired

    def _has_waiting_reservation(self) -> bool:
        return any(reservation.is_waiting for reservation in self.reservations.values())

    def _list_active(self) -> Iterator[PassWork]:
        return (w for w in self.running if not w.is_prefilled or w.is_decoding)

    def _admit(self) -> None:
        while self.waiting and not self._has_waiting_reservation():
            own = sum(not work.is_part for work in self.running)
            work = self.waiting[0]
            needed = work.local_tokens - work.reserved_tokens
            pending_prefill = sum(
                w.local_tokens - w.prefilled_tokens
                for w in self.running
                if not w.is_part
            )
            if own >= self.sizes.slots or needed > self.free_tokens - pending_prefill:
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
            newest.prefilled_tokens, newest.is_running = 0, False
            self.waiting.insert(0, newest)
            result.preempted.append(newest)

    def _compute_decode_ms(self, work: PassWork) -> float:
        context = (work.local_tokens + work.generated_tokens) / 1_000
        return self.sizes.per_seq_ms + context * self.sizes.context_per_k + work.hop_ms

    def _compute_held_part_ms(self, work: PassWork) -> float:
        if not (work.is_part and work.is_prefilled):
            return 0.0
        return work.local_tokens / 1_000 * self.sizes.context_per_k

    def _plan_prefill(self, steps: int, result: PassResult) -> float:
        left = self.sizes.chunk * steps
        total = 0.0
        uncached = [work for work in self.running if not work.is_prefilled]
        for work in sorted(uncached, key=_get_prefill_order):
            if left <= 0:
                break
            tokens = min(left, work.local_tokens - work.prefilled_tokens)
            total += self.sizes.compute_prefill_ms(
                tokens, work.count_attention_pairs(tokens)
            )
            work.prefilled_tokens += tokens
            left -= tokens
            result.prefilled.append(work)
        return total


def _get_prefill_order(work: PassWork) -> tuple[bool, int, int]:
    """Return the place of a read: shares of joint prompts first, the newest of them.

    The page says that parts go ahead of other reads. That the newest goes ahead of
    older ones, and the first engine's own share with them, is as the runners did it.
    """
    if work.is_split:
        return False, 0, -work.order
    return True, work.urgency, work.order
