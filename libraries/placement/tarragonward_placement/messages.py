"""Define what placement is asked and what it answers."""

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
    """A prompt that wants an engine; sizes in tokens, times in seconds.

    prefix_hashes are those of the prompt's leading blocks, the shortest first. The
    lower priority number goes first among the requests of one account.
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
        """Return the KV memory that the prompt and its answer need."""
        return self.prompt_tokens + self.max_tokens

    @property
    def is_long(self) -> bool:
        """Return whether the prompt belongs to the long lane."""
        return self.prompt_tokens > c.LONG_PROMPT_TOKENS


@dataclass(frozen=True)
class EngineView:
    """What one host knows of one engine: its last report and the report's age.

    The host's own work there, begun since the report, is added by placement itself.
    queued_long_tokens is the part of queued_prefill_tokens that long prompts make.
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
    """What a host knows of the others; all of it a hint.

    other_demand is the other hosts' tokens per second by client account; None where
    the host hears of no other, so that only an even split is left.
    published_kv_tokens are the memories of all the model's engines, also of those that
    are excluded or leaving; empty where placement is shown all of them.
    """

    live_hosts: int = 1
    weights: Mapping[str, float] = field(default_factory=dict)
    other_demand: Mapping[str, float] | None = None
    published_kv_tokens: tuple[int, ...] = ()


@dataclass(frozen=True)
class PlacementPolicy:
    """Which parts of the policy are in use; the measurement switches them off."""

    uses_prediction: bool = True
    uses_sampling: bool = True
    uses_long_pool: bool = True
    uses_chunks: bool = True
    uses_affinity: bool = True
    uses_admission: bool = True
    uses_limits: bool = True


@dataclass(frozen=True)
class Placed:
    """Run on these engines; more than one where one can't hold the prompt.

    The first engine leads: it computes. parts are the KV tokens on each of a group.
    """

    engines: tuple[str, ...]
    predicted_ttft_seconds: float
    engine_priority: int = 0
    chunk_tokens: int = 0
    parts: tuple[int, ...] = ()


@dataclass(frozen=True)
class Refused:
    """Do not run: why, and when to come back."""

    code: ResultCode
    retry_after_seconds: float
    detail: str = field(default="")
