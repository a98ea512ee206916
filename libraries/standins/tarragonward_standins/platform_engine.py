"""Model of a runner's passes as the platform specifies them, without I/O.

A pass is one batched iteration: it prefills chunks of prompts and decodes stride tokens
of each running request.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["PassEngine", "PassSizes", "PassWork", "Reservation"]

URGENCY_DEFAULT = 5
MILLISECONDS = 1_000.0
MAX_RESERVATIONS = 64


@dataclass(frozen=True)
class PassSizes:
    """The engine parameters that the platform publishes, in its units."""

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
        """Return the time to prefill tokens with this many attention pairs."""
        by_tokens = tokens / self.read_per_s * MILLISECONDS
        return by_tokens + pairs / 1e6 * self.pairs_per_m


@dataclass(eq=False)
class PassWork:
    """One request on an engine, or a part of a prompt prefilled for another engine.

    A part uses reserved memory and is never decoded here. pending_parts counts the
    parts of this request that other engines have not prefilled yet.
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
        """Return the prompt tokens that this engine prefills."""
        return self.prompt_tokens if self.part_tokens is None else self.part_tokens

    @property
    def is_split(self) -> bool:
        """Return whether several engines prefill the prompt."""
        return self.local_tokens < self.prompt_tokens

    @property
    def is_prefilled(self) -> bool:
        """Return whether this engine has prefilled its tokens."""
        return self.prefilled_tokens >= self.local_tokens

    @property
    def is_decoding(self) -> bool:
        """Return whether the answer is being decoded."""
        return (
            self.is_prefilled
            and not (self.is_part or self.pending_parts)
            and self.generated_tokens < self.answer_tokens
        )

    @property
    def memory_tokens(self) -> int:
        """Return the memory held outside of reservations."""
        held = self.prefilled_tokens + self.generated_tokens - self.reserved_tokens
        return max(0, held)

    def count_attention_pairs(self, tokens: int) -> float:
        """Return the attention pairs of the next tokens with those before them."""
        if self.is_split:
            return tokens * self.prompt_tokens / 2
        end = self.prefilled_tokens + tokens
        return (end * end - self.prefilled_tokens * self.prefilled_tokens) / 2


@dataclass
class Reservation:
    """Memory reserved under a lease; waiting until enough is free."""

    id: str
    tokens: int
    expires_at: float
    created_at: float
    is_waiting: bool = False
    used_by: str = ""


@dataclass
class PassResult:
    """A pass: its duration, the tokens decoded by request, and the prefilled ones."""

    seconds: float
    decoded: list[tuple[PassWork, int]] = field(default_factory=list)
    prefilled: list[PassWork] = field(default_factory=list)
    preempted: list[PassWork] = field(default_factory=list)


class PassEngine:
    """An engine's queue, running requests, memory, reservations and passes."""

    def __init__(self, sizes: PassSizes, pace: float = 1.0) -> None:
        self.sizes = sizes
        self.pace = pace
        self.waiting: list[PassWork] = []
        self.running: list[PassWork] = []
        self.reservations: dict[str, Reservation] = {}
        self._last_order = 0

    @property
    def held_tokens(self) -> int:
        """Return the memory in use or reserved."""
        return sum(work.memory_tokens for work in self.running) + sum(
            reservation.tokens
            for reservation in self.reservations.values()
            if not reservation.is_waiting
        )

    @property
    def free_tokens(self) -> int:
        """Return the free memory."""
        return self.sizes.memory_tokens - self.held_tokens

    @property
    def has_work(self) -> bool:
        """Return whether there is work for a pass."""
        return bool(self.waiting) or any(self._list_active())

    def add(self, work: PassWork) -> None:
        """Queue a request; a part runs at once and is prefilled first."""
        self._last_order += 1
        work.order = self._last_order
        if work.is_part:
            work.is_running = True
            self.running.append(work)
        else:
            self.waiting.append(work)
            self.waiting.sort(key=lambda w: (w.urgency, w.order))

    def remove(self, work: PassWork) -> None:
        """Remove a request, queued or running."""
        for works in (self.waiting, self.running):
            if work in works:
                works.remove(work)

    def begin_pass(self) -> PassResult:
        """Admit requests and return the pass that starts now.

        Preempted requests return to the queue. The caller passes the result to end_pass
        at the end of the pass.
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
        """Apply the result of a pass; return the requests that are fully prefilled.

        Such a request generates its first token at the end of the pass.
        """
        for work, tokens in result.decoded:
            work.generated_tokens += tokens
        return [work for work in result.prefilled if work.is_prefilled]

    def reserve(
        self, reservation_id: str, tokens: int, hold: float, wait: bool, now: float
    ) -> int:
        """Reserve memory; return the HTTP status of the order."""
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
        """Remove a reservation; the runner ends the requests that use it."""
        self.reservations.pop(reservation_id, None)

    def expire(self, now: float) -> list[Reservation]:
        """Remove expired reservations and grant waiting ones in order."""
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
            # The prompt is prefilled again, and the generated tokens with it.
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
    """Return the sort key for prefill: parts of split prompts first, newest first.

    The platform specifies only that parts go first. That newer parts precede older
    ones, and that the leader's own part counts among them, is how its runners behave.
    """
    if work.is_split:
        return False, 0, -work.order
    return True, work.urgency, work.order
