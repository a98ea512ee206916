"""Predict the time to first token from own requests in flight and aged reports."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from . import const as c
from .messages import EngineView, PlacementRequest

__all__ = [
    "TtftCorrections",
    "InFlightRequest",
    "InFlightIndex",
    "TokenInterval",
    "predict_ttft",
]


@dataclass
class InFlightRequest:
    """One placed prompt: where its memory is and what was predicted for it."""

    request_id: str
    account: str
    parts: dict[str, int]
    leader: str
    uncached_tokens: int
    engine_priority: int
    placed_at: float
    predicted_ttft_seconds: float
    length_class: int = 0
    has_first_token: bool = False
    first_token_at: float = 0.0


class InFlightIndex:
    """The host's own prompts on engines, indexed by request and by engine."""

    def __init__(self) -> None:
        self._requests: dict[str, InFlightRequest] = {}
        self._by_engine: dict[str, dict[str, InFlightRequest]] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: InFlightRequest) -> None:
        """Track a prompt until it is removed."""
        self._requests[request.request_id] = request
        for engine in request.parts:
            self._by_engine.setdefault(engine, {})[request.request_id] = request

    def remove(self, request_id: str) -> None:
        """Stop tracking a prompt; do nothing if it is unknown."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return
        for engine in request.parts:
            self._by_engine[engine].pop(request_id)
            if not self._by_engine[engine]:
                del self._by_engine[engine]

    def get(self, request_id: str) -> InFlightRequest | None:
        """Return a prompt in flight, or None."""
        return self._requests.get(request_id)

    def iterate_engine(self, engine: str) -> Iterator[InFlightRequest]:
        """Yield the prompts on an engine."""
        yield from self._by_engine.get(engine, {}).values()

    def count_held_by_account(self) -> dict[str, float]:
        """Return the KV cache tokens that long prompts hold through this host."""
        held: dict[str, float] = {}
        for request in self._requests.values():
            if request.length_class >= c.FIRST_LONG_CLASS:
                tokens = sum(request.parts.values())
                held[request.account] = held.get(request.account, 0.0) + tokens
        return held

    def count_queued_tokens(self, view: EngineView, priority: int, now: float) -> float:
        """Return the prompt tokens queued ahead of a new prompt of this priority.

        A report describes the past, so the prompts that this host has placed since are
        added. Otherwise all hosts would trust the same old report and send their
        requests to the engine that looked idle.
        """
        reported = view.queued_prefill_tokens
        if priority < c.FIRST_LONG_PRIORITY:
            reported -= view.queued_long_tokens
        prefilled_tokens = view.report_age_seconds * view.prefill_tokens_per_second
        own = sum(
            request.uncached_tokens
            for request in self._iterate_unreported(view, now)
            if request.leader == view.name
            and not request.has_first_token
            and request.engine_priority <= priority
        )
        return max(0.0, reported - prefilled_tokens) + own

    def has_lower_priority_work(
        self, view: EngineView, priority: int, now: float
    ) -> bool:
        """Return whether the engine prefills prompts of a lower priority."""
        if view.queued_long_tokens > 0 and priority < c.FIRST_LONG_PRIORITY:
            return True
        return any(
            request.engine_priority > priority and not request.has_first_token
            for request in self._iterate_unreported(view, now)
            if request.leader == view.name
        )

    def count_free_kv(self, view: EngineView, now: float) -> int:
        """Return the free KV cache tokens, as far as this host knows."""
        unreported = self._iterate_unreported(view, now)
        return view.free_kv_tokens - sum(
            request.parts[view.name] for request in unreported
        )

    def _iterate_unreported(
        self, view: EngineView, now: float
    ) -> Iterator[InFlightRequest]:
        reported_at = now - view.report_age_seconds - c.REPORT_LAG_ALLOWANCE_SECONDS
        for request in self.iterate_engine(view.name):
            if request.placed_at >= reported_at:
                yield request


class TtftCorrections:
    """The ratio of measured to predicted time to first token, by length class.

    Prefill slows down as the context grows, which a rate in tokens does not model; this
    ratio corrects for it.
    """

    def __init__(self) -> None:
        self._ratios = [1.0] * len(c.LENGTH_CLASSES)

    def get(self, length_class: int) -> float:
        """Return the factor for predictions of this class."""
        return self._ratios[length_class]

    def observe(self, request: InFlightRequest, now: float) -> None:
        """Update the ratio with the first token of a prompt."""
        measured = now - request.placed_at
        ratio = measured / max(request.predicted_ttft_seconds, 1e-3)
        ratio *= self._ratios[request.length_class]
        ratio = min(max(ratio, c.MIN_CORRECTION), c.MAX_CORRECTION)
        known = self._ratios[request.length_class]
        self._ratios[request.length_class] = known + c.CORRECTION_SMOOTHING * (
            ratio - known
        )


class TokenInterval:
    """The average interval between tokens of the answers that this host received."""

    def __init__(self) -> None:
        self.seconds_per_token = c.DEFAULT_SECONDS_PER_TOKEN

    def observe(self, seconds: float, tokens: int) -> None:
        """Update the average with tokens that arrived within the given time."""
        if tokens < c.MIN_INTERVAL_TOKENS:
            return
        change = seconds / tokens - self.seconds_per_token
        self.seconds_per_token += c.TOKEN_INTERVAL_SMOOTHING * change


def predict_ttft(
    request: PlacementRequest,
    view: EngineView,
    waiting: float,
    cached: int,
    has_lower_priority_work: bool,
) -> float:
    """Return the seconds to the first token, with waiting tokens queued ahead.

    A running step must end first, whatever it computes. Lower-priority prompts are
    prefilled in such steps, and in the capacity that higher priorities leave in a step.
    """
    tokens = waiting + max(request.prompt_tokens - cached, 1)
    if has_lower_priority_work:
        tokens += c.LOWER_PRIORITY_DELAY_TOKENS
    return tokens / view.prefill_tokens_per_second + view.seconds_per_token
