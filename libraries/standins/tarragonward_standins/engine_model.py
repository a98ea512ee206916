"""Model an engine's batching, memory and step time, without I/O."""

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
    """The assumed sizes and speeds of an engine; see docs/DECISIONS.md.

    Sizes are in tokens, times in seconds; time_scale multiplies every step.
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
        """Return the sizes of a settings file; raise TypeError on an unknown key."""
        return cls(**tomllib.loads(path.read_text()))

    def scale(self, factor: float) -> EngineSizes:
        """Return the sizes of an engine whose steps all take factor times as long."""
        return replace(self, time_scale=self.time_scale * factor)


@dataclass
class EngineWork:
    """One prompt on the engine; lower priority numbers go first.

    chunk_tokens bounds what one step reads of the prompt, 0 for the engine's own
    bound. A work on a reservation holds that memory and none besides.
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
        """Return the KV memory that the work holds besides reservations, in tokens."""
        return 0 if self.reservation_id else self.prompt_tokens + self.max_tokens

    @property
    def unread_tokens(self) -> int:
        """Return the prompt tokens that are still to be read."""
        return 0 if self.has_finished else self.prompt_tokens - self.prefilled


@dataclass(frozen=True)
class KvExport:
    """A work's KV cache and place, to go on with it on another engine."""

    work: EngineWork


@dataclass(frozen=True)
class StepResult:
    """One step: how long it takes and which work gets a token at its end."""

    seconds: float
    tokens_for: tuple[str, ...] = field(default=())
    first_tokens_for: tuple[str, ...] = field(default=())
    finished: tuple[str, ...] = field(default=())


class EngineModel:
    """Continuous batching with chunked prefill, priorities and bounded memory."""

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
        """Return the KV memory that no work or reservation holds, in tokens."""
        return self.sizes.kv_tokens - self._held_tokens

    @property
    def queued_prefill_tokens(self) -> int:
        """Return the prompt tokens that are still to be read."""
        return sum(work.unread_tokens for _, _, work in self._prefilling)

    @property
    def running(self) -> int:
        """Return how many prompts are on the engine."""
        return len(self._work)

    def get_queued_by_priority(self) -> dict[int, int]:
        """Return the prompt tokens still to be read, by engine priority."""
        queued: dict[int, int] = {}
        for priority, _, work in self._prefilling:
            queued[priority] = queued.get(priority, 0) + work.unread_tokens
        return queued

    def submit(self, work: EngineWork) -> bool:
        """Take the work, or refuse it for want of memory or of its reservation."""
        lacks_reservation = (
            work.reservation_id and work.reservation_id not in self._reservations
        )
        if lacks_reservation or work.work_id in self._work:
            return False
        if work.kv_tokens > self.free_kv_tokens:
            return False
        cached = self.cache.count_cached_tokens(work.prefix_hashes)
        work.prefilled = max(work.prefilled, min(cached, work.prompt_tokens - 1))
        self._take(work)
        return True

    def _take(self, work: EngineWork) -> None:
        self._order += 1
        work.order = self._order
        self._work[work.work_id] = work
        self._hold(work.kv_tokens)
        if work.prefilled < work.prompt_tokens:
            insort(self._prefilling, (work.priority, work.order, work))
        elif not work.has_finished:
            self._start_decoding(work)

    def finish(self, work_id: str) -> None:
        """Compute no more of a work; it keeps its memory until it is removed."""
        work = self._work[work_id]
        if not work.has_finished:
            self._stop(work)
            work.has_finished = True

    def remove(self, work_id: str) -> bool:
        """Free what the work holds; return whether it was there."""
        work = self._work.pop(work_id, None)
        if work is None:
            return False
        if not work.has_finished:
            self._stop(work)
        self._hold(-work.kv_tokens)
        if work.prefilled >= work.prompt_tokens:
            self.cache.add(work.prefix_hashes, self.free_kv_tokens)
        return True

    def export_kv(self, work_id: str) -> KvExport:
        """Return a work's KV cache and remove the work; raise KeyError without it."""
        work = self._work[work_id]
        self.remove(work_id)
        return KvExport(replace(work, reservation_id=""))

    def import_kv(self, exported: KvExport) -> bool:
        """Go on with an exported work, or refuse it for want of memory."""
        work = replace(exported.work)
        if work.work_id in self._work or work.kv_tokens > self.free_kv_tokens:
            return False
        self._take(work)
        return True

    def reserve(self, reservation_id: str, tokens: int) -> bool:
        """Reserve KV memory, or refuse; repeating a reservation changes nothing."""
        if reservation_id in self._reservations:
            return True
        if tokens > self.free_kv_tokens:
            return False
        self._reservations[reservation_id] = tokens
        self._hold(tokens)
        return True

    def release(self, reservation_id: str) -> bool:
        """Free a reservation; return whether it was there."""
        tokens = self._reservations.pop(reservation_id, None)
        if tokens is None:
            return False
        self._hold(-tokens)
        return True

    def get_cache_events(self, after: int) -> Iterable[CacheEvent]:
        """Return the cache events still kept after a sequence number."""
        return self.cache.get_events(after)

    def step(self) -> StepResult | None:
        """Run one step, or return None where there is nothing to do."""
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
        read, read_seconds, first = self._prefill()
        seconds = (seconds + read_seconds) * sizes.time_scale
        self._measure(seconds, read)
        for work in first:
            self._start_decoding(work)
        first_ids = tuple(work.work_id for work in first)
        ids = (*decoded, *first_ids)
        return StepResult(seconds, ids, first_ids, self._finish_full(ids))

    def _prefill(self) -> tuple[int, float, list[EngineWork]]:
        sizes = self.sizes
        left = sizes.chunk_tokens
        room = sizes.max_batch - len(self._decoding)
        seconds = 0.0
        first: list[EngineWork] = []
        for _, _, work in self._prefilling[: max(room, 0)]:
            unread = work.prompt_tokens - work.prefilled
            taken = min(left, work.chunk_tokens or left, unread)
            seconds += taken * (
                sizes.step_seconds_per_prefill_token
                + work.prefilled * sizes.step_seconds_per_prefill_context
            )
            work.prefilled += taken
            left -= taken
            if work.prefilled >= work.prompt_tokens:
                work.generated += 1
                first.append(work)
            if not left:
                break
        if first:
            self._prefilling = [
                item
                for item in self._prefilling
                if item[2].prefilled < item[2].prompt_tokens
            ]
        return sizes.chunk_tokens - left, seconds, first

    def _measure(self, seconds: float, read_tokens: int) -> None:
        weight = c.MEASURE_WEIGHT
        self.seconds_per_token += weight * (seconds - self.seconds_per_token)
        if read_tokens:
            # A step that reads few tokens tells of the step, not of the rate.
            weight *= read_tokens / self.sizes.chunk_tokens
            rate = read_tokens / seconds
            self.prefill_tokens_per_second += weight * (
                rate - self.prefill_tokens_per_second
            )

    def _finish_full(self, ids: tuple[str, ...]) -> tuple[str, ...]:
        full = tuple(
            i for i in ids if self._work[i].generated >= self._work[i].max_tokens
        )
        for work_id in full:
            self.finish(work_id)
        return full

    def _start_decoding(self, work: EngineWork) -> None:
        self._decoding[work.work_id] = work
        self._decode_context_tokens += work.prompt_tokens + work.generated

    def _stop(self, work: EngineWork) -> None:
        if self._decoding.pop(work.work_id, None) is not None:
            self._decode_context_tokens -= work.prompt_tokens + work.generated
            return
        self._prefilling = [item for item in self._prefilling if item[2] is not work]

    def _hold(self, tokens: int) -> None:
        self._held_tokens += tokens
        self.cache.shrink(self.free_kv_tokens)
