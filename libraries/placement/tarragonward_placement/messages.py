"""Define the input and output types of placement."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from tarragonward_core import ResultCode

from . import const as c

__all__ = [
    "EngineView",
    "FleetView",
    "Placed",
    "PlacementPolicy",
    "PlacementRequest",
    "Refused",
]


@dataclass(frozen=True)
class PlacementRequest:
    """A prompt to be placed on an engine; sizes in tokens, times in seconds.

    prefix_hashes identify the leading blocks of the prompt, the shortest prefix first.
    Among the requests of one account, lower priority numbers go first.
    """

    request_id: str
    account: str
    model: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    remaining_seconds: float
    prefix_hashes: tuple[int, ...] = ()

    @property
    def kv_tokens(self) -> int:
        """Return the KV cache tokens that the prompt and its answer need."""
        return self.prompt_tokens + self.max_tokens

    @property
    def is_long(self) -> bool:
        """Return whether the prompt is limited to the pool for long prompts."""
        return self.prompt_tokens > c.LONG_PROMPT_TOKENS


@dataclass(frozen=True)
class EngineView:
    """A host's view of one engine: the engine's last report and the report's age.

    Placement itself adds the work that this host has sent since the report.
    queued_long_tokens is the share of queued_prefill_tokens that belongs to long
    prompts.
    """

    name: str
    kv_tokens: int
    free_kv_tokens: int
    queued_prefill_tokens: int
    running: int
    report_age_seconds: float
    queued_long_tokens: int = 0
    prefill_tokens_per_second: float = c.DEFAULT_PREFILL_TOKENS_PER_SECOND
    seconds_per_token: float = c.DEFAULT_SECONDS_PER_TOKEN


@dataclass(frozen=True)
class FleetView:
    """A host's view of the other hosts; it is a hint and may be out of date.

    other_demand is the other hosts' demand in tokens per second by client account; it
    is None if no other host is heard, which leaves only an even split.
    published_kv_tokens are the memory sizes of all engines of the model, including
    those that are excluded or leaving; it is empty if placement is given all engines.
    """

    live_hosts: int = 1
    weights: Mapping[str, float] = field(default_factory=dict)
    other_demand: Mapping[str, float] | None = None
    published_kv_tokens: tuple[int, ...] = ()


@dataclass(frozen=True)
class PlacementPolicy:
    """Which parts of the placement policy are enabled; measurements disable some."""

    uses_prediction: bool = True
    uses_sampling: bool = True
    uses_long_pool: bool = True
    uses_chunks: bool = True
    uses_affinity: bool = True
    uses_admission: bool = True
    uses_limits: bool = True


@dataclass(frozen=True)
class Placed:
    """The engines that run a prompt; several if one cannot hold it.

    The first engine is the leader, which computes. parts are the KV cache tokens on
    each engine of a group.
    """

    engines: tuple[str, ...]
    predicted_ttft_seconds: float
    engine_priority: int = 0
    chunk_tokens: int = 0
    parts: tuple[int, ...] = ()


@dataclass(frozen=True)
class Refused:
    """A rejected prompt: the reason, and when the client may retry."""

    code: ResultCode
    retry_after_seconds: float
    detail: str = field(default="")
