"""Model of an engine's batching, memory and step time, without I/O."""

from __future__ import annotations

import tomllib
from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path

from . import const as c
from .prefix_cache import CacheEvent, PrefixCache

__all__ = ["EngineModel", "EngineSizes", "EngineWork", "KvExport", "StepResult"]


@dataclass(frozen=True)
class EngineSizes:
    """Sizes and speeds of an engine; see docs/DECISIONS.md.

    Sizes are in tokens, times in seconds; time_scale multiplies every step time.
    """

    kv_tokens: int = c.DEFAULT_KV_TOKENS
    chunk_tokens: int = c.DEFAULT_CHUNK_TOKENS
    max_batch: int = c.DEFAULT_MAX_BATCH
    block_tokens: int = c.DEFAULT_BLOCK_TOKENS
    step_base_seconds: float = c.DEFAULT_STEP_BASE_SECONDS
    step_seconds_per_prefill_token: float = c.DEFAULT_STEP_SECONDS_PER_PREFILL_TOKEN
    step_seconds_per_prefill_context: float = c.DEFAULT_STEP_SECONDS_PER_PREFILL_CONTEXT
    step_seconds_per_sequence: float = c.DEFAULT_STEP_SECONDS_PER_SEQUENCE
    step_seconds_per_context_token: float = c.DEFAULT_STEP_SECONDS_PER_CONTEXT_TOKEN
    weight_load_seconds: float = c.DEFAULT_WEIGHT_LOAD_SECONDS
    time_scale: float = 1.0

    @classmethod
    def load(cls, path: Path) -> EngineSizes:
        """Load the sizes from a TOML file; raise TypeError on an unknown key."""
        return cls(**tomllib.loads(path.read_text()))

    def scale(self, factor: float) -> EngineSizes:
        """Return the sizes of an engine whose steps all take factor times as long."""
        return replace(self, time_scale=self.time_scale * factor)


@dataclass
class EngineWork:
    """One request on the engine; lower priority numbers are prefilled first.

    chunk_tokens limits the prompt tokens prefilled per step; 0 means the engine's own
    limit. A request with a reservation uses that memory and allocates none itself.
    """

    work_id: str
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    chunk_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    reservation_id: str = ""
    prefilled: int = 0
    generated: int = 0
    has_finished: bool = False
    order: int = 0

    @property
    def kv_tokens(self) -> int:
        """Return the KV memory held outside of reservations, in tokens."""
        return 0 if self.reservation_id else self.prompt_tokens + self.max_tokens

    @property
    def uncached_tokens(self) -> int:
        """Return the prompt tokens not yet prefilled."""
        return 0 if self.has_finished else self.prompt_tokens - self.prefilled


@dataclass(frozen=True)
class KvExport:
    """A request's KV cache and progress, for import into another engine."""

    work: EngineWork


@dataclass(frozen=True)
class StepResult:
    """One step: its duration and the requests that get a token at its end."""

    seconds: float
    tokens_for: tuple[str, ...] = field(default=())
    first_tokens_for: tuple[str, ...] = field(default=())
    finished: tuple[str, ...] = field(default=())


class EngineModel:
    """Continuous batching with chunked prefill, priorities and limited memory."""

    def __init__(self, sizes: EngineSizes) -> None:
        self.sizes = sizes
        self.cache = PrefixCache(sizes.block_tokens)
        self.prefill_tokens_per_second = 1 / sizes.step_seconds_per_prefill_token
        self.prefill_tokens_per_second /= sizes.time_scale
        self.seconds_per_token = sizes.step_base_seconds * sizes.time_scale
        self._work: dict[str, EngineWork] = {}
        self._prefilling: list[tuple[int, int, EngineWork]] = []
        self._decoding: dict[str, EngineWork] = {}
        self._reservations: dict[str, int] = {}
        self._held_tokens = 0
        self._decode_context_tokens = 0
        self._order = 0

    @property
    def free_kv_tokens(self) -> int:
        """Return the KV memory free of requests and reservations, in tokens."""
        return self.sizes.kv_tokens - self._held_tokens

    @property
    def queued_prefill_tokens(self) -> int:
        """Return the prompt tokens not yet prefilled, over all requests."""
        return sum(work.uncached_tokens for _, _, work in self._prefilling)

    @property
    def running(self) -> int:
        """Return the number of requests on the engine."""
        return len(self._work)

    def get_queued_by_priority(self) -> dict[int, int]:
        """Return the prompt tokens not yet prefilled, by engine priority."""
        queued: dict[int, int] = {}
        for priority, _, work in self._prefilling:
            queued[priority] = queued.get(priority, 0) + work.uncached_tokens
        return queued

    def submit(self, work: EngineWork) -> bool:
        """Admit a request; return False if its memory or its reservation is missing."""
        lacks_reservation = (
            work.reservation_id and work.reservation_id not in self._reservations
        )
        if lacks_reservation or work.work_id in self._work:
            return False
        if work.kv_tokens > self.free_kv_tokens:
            return False
        cached = self.cache.count_cached_tokens(work.prefix_hashes)
        work.prefilled = max(work.prefilled, min(cached, work.prompt_tokens - 1))
        self._admit(work)
        return True

    def _admit(self, work: EngineWork) -> None:
        self._order += 1
        work.order = self._order
        self._work[work.work_id] = work
        self._adjust_held_tokens(work.kv_tokens)
        if work.prefilled < work.prompt_tokens:
            insort(self._prefilling, (work.priority, work.order, work))
        elif not work.has_finished:
            self._start_decoding(work)

    def finish(self, work_id: str) -> None:
        """Stop computing a request; it holds its memory until it is removed."""
        work = self._work[work_id]
        if not work.has_finished:
            self._stop(work)
            work.has_finished = True

    def remove(self, work_id: str) -> bool:
        """Remove a request and free its memory; return whether it existed."""
        work = self._work.pop(work_id, None)
        if work is None:
            return False
        if not work.has_finished:
            self._stop(work)
        self._adjust_held_tokens(-work.kv_tokens)
        if work.prefilled >= work.prompt_tokens:
            self.cache.add(work.prefix_hashes, self.free_kv_tokens)
        return True

    def export_kv(self, work_id: str) -> KvExport:
        """Remove a request and return its KV cache; raise KeyError if it is unknown."""
        work = self._work[work_id]
        self.remove(work_id)
        return KvExport(replace(work, reservation_id=""))

    def import_kv(self, exported: KvExport) -> bool:
        """Continue an exported request; return False if memory is short."""
        work = replace(exported.work)
        if work.work_id in self._work or work.kv_tokens > self.free_kv_tokens:
            return False
        self._admit(work)
        return True

    def reserve(self, reservation_id: str, tokens: int) -> bool:
        """Reserve KV memory; idempotent. Return False if memory is short."""
        if reservation_id in self._reservations:
            return True
        if tokens > self.free_kv_tokens:
            return False
        self._reservations[reservation_id] = tokens
        self._adjust_held_tokens(tokens)
        return True

    def release(self, reservation_id: str) -> bool:
        """Free a reservation; return whether it existed."""
        tokens = self._reservations.pop(reservation_id, None)
        if tokens is None:
            return False
        self._adjust_held_tokens(-tokens)
        return True

    def get_cache_events(self, after: int) -> Iterable[CacheEvent]:
        """Return the retained cache events after a sequence number."""
        return self.cache.get_events(after)

    def step(self) -> StepResult | None:
        """Run one step; return None if there is nothing to do."""
        if not self._prefilling and not self._decoding:
            return None
        sizes = self.sizes
        decoded = list(self._decoding)
        seconds = (
            sizes.step_base_seconds
            + len(decoded) * sizes.step_seconds_per_sequence
            + self._decode_context_tokens * sizes.step_seconds_per_context_token
        )
        for work in self._decoding.values():
            work.generated += 1
        self._decode_context_tokens += len(decoded)
        prefilled, prefill_seconds, first = self._prefill()
        seconds = (seconds + prefill_seconds) * sizes.time_scale
        self._update_rates(seconds, prefilled)
        for work in first:
            self._start_decoding(work)
        first_ids = tuple(work.work_id for work in first)
        ids = (*decoded, *first_ids)
        return StepResult(seconds, ids, first_ids, self._finish_completed(ids))

    def _prefill(self) -> tuple[int, float, list[EngineWork]]:
        sizes = self.sizes
        budget = sizes.chunk_tokens
        free_slots = sizes.max_batch - len(self._decoding)
        seconds = 0.0
        first: list[EngineWork] = []
        for _, _, work in self._prefilling[: max(free_slots, 0)]:
            uncached = work.prompt_tokens - work.prefilled
            chunk = min(budget, work.chunk_tokens or budget, uncached)
            seconds += chunk * (
                sizes.step_seconds_per_prefill_token
                + work.prefilled * sizes.step_seconds_per_prefill_context
            )
            work.prefilled += chunk
            budget -= chunk
            if work.prefilled >= work.prompt_tokens:
                work.generated += 1
                first.append(work)
            if not budget:
                break
        if first:
            self._prefilling = [
                item
                for item in self._prefilling
                if item[2].prefilled < item[2].prompt_tokens
            ]
        return sizes.chunk_tokens - budget, seconds, first

    def _update_rates(self, seconds: float, prefilled_tokens: int) -> None:
        weight = c.RATE_SMOOTHING_FACTOR
        self.seconds_per_token += weight * (seconds - self.seconds_per_token)
        if prefilled_tokens:
            # A step with few prefill tokens is mostly fixed cost, so it counts less.
            weight *= prefilled_tokens / self.sizes.chunk_tokens
            rate = prefilled_tokens / seconds
            self.prefill_tokens_per_second += weight * (
                rate - self.prefill_tokens_per_second
            )

    def _finish_completed(self, ids: tuple[str, ...]) -> tuple[str, ...]:
        completed = tuple(
            i for i in ids if self._work[i].generated >= self._work[i].max_tokens
        )
        for work_id in completed:
            self.finish(work_id)
        return completed

    def _start_decoding(self, work: EngineWork) -> None:
        self._decoding[work.work_id] = work
        self._decode_context_tokens += work.prompt_tokens + work.generated

    def _stop(self, work: EngineWork) -> None:
        if self._decoding.pop(work.work_id, None) is not None:
            self._decode_context_tokens -= work.prompt_tokens + work.generated
            return
        self._prefilling = [item for item in self._prefilling if item[2] is not work]

    def _adjust_held_tokens(self, tokens: int) -> None:
        self._held_tokens += tokens
        self.cache.shrink(self.free_kv_tokens)
