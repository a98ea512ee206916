"""Define what placement is asked and what it answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonward_core import ResultCode

__all__ = ["EngineView", "Placed", "PlacementRequest", "Refused"]


@dataclass(frozen=True)
class PlacementRequest:
    """A prompt that wants an engine; sizes in tokens, times in seconds.

    prefix_hashes are those of the prompt's leading blocks, the shortest first.
    """

    request_id: str
    account: str
    model: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    remaining_seconds: float
    prefix_hashes: tuple[int, ...] = ()


@dataclass(frozen=True)
class EngineView:
    """What one host knows of one engine: its last report and the report's age.

    The host's own work there, begun since the report, is added by placement itself.
    """

    name: str
    kv_tokens: int
    free_kv_tokens: int
    queued_prefill_tokens: int
    running: int
    report_age_seconds: float


@dataclass(frozen=True)
class Placed:
    """Run on these engines; more than one where one can't hold the prompt."""

    engines: tuple[str, ...]
    predicted_ttft_seconds: float
    engine_priority: int = 0
    chunk_tokens: int = 0


@dataclass(frozen=True)
class Refused:
    """Do not run: why, and when to come back."""

    code: ResultCode
    retry_after_seconds: float
    detail: str = field(default="")
