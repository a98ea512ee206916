"""Choose the engines of a prompt, or refuse it at once."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tarragonward_core import ResultCode

from .const import DEFAULT_PREFILL_TOKENS_PER_SECOND, DEFAULT_RETRY_AFTER_SECONDS
from .messages import EngineView, Placed, PlacementRequest, Refused

__all__ = ["Placement"]


@dataclass(frozen=True)
class _InFlight:
    engines: tuple[str, ...]
    account: str
    tokens: int


class Placement:
    """Place prompts of one model on engines, knowing this host's own work in flight."""

    def __init__(self) -> None:
        self._in_flight: dict[str, _InFlight] = {}

    @property
    def in_flight(self) -> int:
        """Return how many prompts are placed and not released."""
        return len(self._in_flight)

    def place(
        self, request: PlacementRequest, engines: Iterable[EngineView], now: float
    ) -> Placed | Refused:
        """Return where the prompt goes; it counts as in flight until release()."""
        candidates = list(engines)
        if not candidates:
            return Refused(ResultCode.NO_TARGET, DEFAULT_RETRY_AFTER_SECONDS)
        best = min(candidates, key=lambda view: (self._count_own(view.name), view.name))
        self._in_flight[request.request_id] = _InFlight(
            (best.name,), request.account, request.prompt_tokens
        )
        predicted = request.prompt_tokens / DEFAULT_PREFILL_TOKENS_PER_SECOND
        return Placed((best.name,), predicted)

    def release(self, request_id: str) -> None:
        """Forget a prompt that has ended or left its engines."""
        self._in_flight.pop(request_id, None)

    def _count_own(self, engine: str) -> int:
        return sum(engine in work.engines for work in self._in_flight.values())
