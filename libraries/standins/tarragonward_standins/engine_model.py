"""Model an engine's batching, memory and step time, without I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from . import const as c

__all__ = ["EngineModel", "EngineSizes", "EngineWork", "StepResult"]


@dataclass(frozen=True)
class EngineSizes:
    """The assumed sizes and speeds of an engine; see docs/DECISIONS.md."""

    kv_tokens: int = c.DEFAULT_KV_TOKENS
    chunk_tokens: int = c.DEFAULT_CHUNK_TOKENS
    max_batch: int = c.DEFAULT_MAX_BATCH
    step_base_seconds: float = c.DEFAULT_STEP_BASE_SECONDS
    step_seconds_per_prefill_token: float = c.DEFAULT_STEP_SECONDS_PER_PREFILL_TOKEN
    step_seconds_per_sequence: float = c.DEFAULT_STEP_SECONDS_PER_SEQUENCE


@dataclass
class EngineWork:
    """One prompt on the engine; lower priority numbers go first."""

    work_id: str
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    prefilled: int = 0
    generated: int = 0

    @property
    def kv_tokens(self) -> int:
        """Return the KV memory that the work holds, in tokens."""
        return self.prompt_tokens + self.max_tokens


@dataclass(frozen=True)
class StepResult:
    """One step: how long it takes and which work gets a token at its end."""

    seconds: float
    tokens_for: tuple[str, ...] = field(default=())


class EngineModel:
    """Continuous batching with chunked prefill, priorities and bounded memory."""

    def __init__(self, sizes: EngineSizes) -> None:
        self.sizes = sizes
        self._work: dict[str, EngineWork] = {}
        self._reservations: dict[str, int] = {}

    @property
    def free_kv_tokens(self) -> int:
        """Return the KV memory that nothing holds, in tokens."""
        held = sum(work.kv_tokens for work in self._work.values())
        return self.sizes.kv_tokens - held - sum(self._reservations.values())

    @property
    def queued_prefill_tokens(self) -> int:
        """Return the prompt tokens that are still to be read."""
        return sum(w.prompt_tokens - w.prefilled for w in self._work.values())

    @property
    def running(self) -> int:
        """Return how many prompts are on the engine."""
        return len(self._work)

    def submit(self, work: EngineWork) -> bool:
        """Take the work, or refuse it for want of memory."""
        if work.kv_tokens > self.free_kv_tokens or work.work_id in self._work:
            return False
        self._work[work.work_id] = work
        return True

    def remove(self, work_id: str) -> bool:
        """Free what the work holds; return whether it was there."""
        return self._work.pop(work_id, None) is not None

    def reserve(self, reservation_id: str, tokens: int) -> bool:
        """Reserve KV memory, or refuse; repeating a reservation changes nothing."""
        if reservation_id in self._reservations:
            return True
        if tokens > self.free_kv_tokens:
            return False
        self._reservations[reservation_id] = tokens
        return True

    def release(self, reservation_id: str) -> bool:
        """Free a reservation; return whether it was there."""
        return self._reservations.pop(reservation_id, None) is not None

    def step(self, is_done: Callable[[str], bool]) -> StepResult | None:
        """Run one step, or return None where there is nothing to do.

        is_done tells whether work waits for nothing more but its reader.
        """
        active = [w for w in self._work.values() if not is_done(w.work_id)]
        if not active:
            return None
        active.sort(key=lambda work: work.priority)
        batch = active[: self.sizes.max_batch]
        decoding = [w for w in batch if w.prefilled >= w.prompt_tokens]
        prefilled, first_tokens = self._prefill(batch)
        sizes = self.sizes
        seconds = (
            sizes.step_base_seconds
            + prefilled * sizes.step_seconds_per_prefill_token
            + len(decoding) * sizes.step_seconds_per_sequence
        )
        for work in decoding:
            work.generated += 1
        ids = [work.work_id for work in decoding]
        return StepResult(seconds, (*ids, *first_tokens))

    def _prefill(self, batch: list[EngineWork]) -> tuple[int, list[str]]:
        left = self.sizes.chunk_tokens
        first_tokens = []
        for work in batch:
            if left and work.prefilled < work.prompt_tokens:
                taken = min(left, work.prompt_tokens - work.prefilled)
                work.prefilled += taken
                left -= taken
                if work.prefilled >= work.prompt_tokens:
                    work.generated += 1
                    first_tokens.append(work.work_id)
        return self.sizes.chunk_tokens - left, first_tokens
