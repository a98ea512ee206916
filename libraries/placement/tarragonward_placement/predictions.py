"""Predict the time to first token from own work in flight and aged reports."""

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
    """The host's own prompts on engines, found by request and by engine."""

    def __init__(self) -> None:
        self._work: dict[str, InFlightRequest] = {}
        self._by_engine: dict[str, dict[str, InFlightRequest]] = {}

    def __len__(self) -> int:
        return len(self._work)

    def add(self, work: InFlightRequest) -> None:
        """Count a prompt until it is removed."""
        self._work[work.request_id] = work
        for engine in work.parts:
            self._by_engine.setdefault(engine, {})[work.request_id] = work

    def remove(self, request_id: str) -> None:
        """Forget a prompt; do nothing where it is not known."""
        work = self._work.pop(request_id, None)
        if work is None:
            return
        for engine in work.parts:
            self._by_engine[engine].pop(request_id)
            if not self._by_engine[engine]:
                del self._by_engine[engine]

    def get(self, request_id: str) -> InFlightRequest | None:
        """Return a prompt in flight."""
        return self._work.get(request_id)

    def iterate_engine(self, engine: str) -> Iterator[InFlightRequest]:
        """Give the prompts on an engine."""
        yield from self._by_engine.get(engine, {}).values()

    def count_held_by_account(self) -> dict[str, float]:
        """Return the KV tokens that long prompts hold through this host."""
        held: dict[str, float] = {}
        for work in self._work.values():
            if work.length_class >= c.FIRST_LONG_CLASS:
                tokens = sum(work.parts.values())
                held[work.account] = held.get(work.account, 0.0) + tokens
        return held

    def count_queued_tokens(self, view: EngineView, priority: int, now: float) -> float:
        """Return the prompt tokens that a new prompt of this priority waits for.

        A report tells of the time before it was made: what this host placed since is
        added, as hosts that all trust the same old report send all their work to the
        engine that looked idle.
        """
        reported = view.queued_prefill_tokens
        if priority < c.FIRST_LONG_PRIORITY:
            reported -= view.queued_long_tokens
        read = view.report_age_seconds * view.prefill_tokens_per_second
        own = sum(
            work.uncached_tokens
            for work in self._iterate_unreported(view, now)
            if work.leader == view.name
            and not work.has_first_token
            and work.engine_priority <= priority
        )
        return max(0.0, reported - read) + own

    def has_lower_priority_work(
        self, view: EngineView, priority: int, now: float
    ) -> bool:
        """Return whether the engine reads prompts that go after this priority."""
        if view.queued_long_tokens > 0 and priority < c.FIRST_LONG_PRIORITY:
            return True
        return any(
            work.engine_priority > priority and not work.has_first_token
            for work in self._iterate_unreported(view, now)
            if work.leader == view.name
        )

    def count_free_kv(self, view: EngineView, now: float) -> int:
        """Return the KV memory that is free for all that this host knows."""
        unreported = self._iterate_unreported(view, now)
        return view.free_kv_tokens - sum(work.parts[view.name] for work in unreported)

    def _iterate_unreported(
        self, view: EngineView, now: float
    ) -> Iterator[InFlightRequest]:
        made_at = now - view.report_age_seconds - c.REPORT_LAG_ALLOWANCE_SECONDS
        for work in self.iterate_engine(view.name):
            if work.placed_at >= made_at:
                yield work


class TtftCorrections:
    """The measured over the predicted time to first token, by length class.

    Prefill slows down with the length of the context, which a rate in tokens does
    not show; the ratio of what came to what was predicted does.
    """

    def __init__(self) -> None:
        self._ratios = [1.0] * len(c.LENGTH_CLASSES)

    def get(self, length_class: int) -> float:
        """Return the factor for predictions of this class."""
        return self._ratios[length_class]

    def observe(self, work: InFlightRequest, now: float) -> None:
        """Learn from a first token that has come."""
        measured = now - work.placed_at
        ratio = measured / max(work.predicted_ttft_seconds, 1e-3)
        ratio *= self._ratios[work.length_class]
        ratio = min(max(ratio, c.MIN_CORRECTION), c.MAX_CORRECTION)
        known = self._ratios[work.length_class]
        self._ratios[work.length_class] = known + c.CORRECTION_SMOOTHING * (
            ratio - known
        )


class TokenInterval:
    """The seconds between an answer's tokens, as this host's answers came."""

    def __init__(self) -> None:
        self.seconds_per_token = c.DEFAULT_SECONDS_PER_TOKEN

    def observe(self, seconds: float, tokens: int) -> None:
        """Learn from tokens that came in so many seconds."""
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
    """Return the seconds until the first token, with waiting tokens before it.

    A step that runs already must end first, whoever it is for; a prompt that goes
    after this one is read in such steps, and in what its last step leaves.
    """
    tokens = waiting + max(request.prompt_tokens - cached, 1)
    if has_lower_priority_work:
        tokens += c.LOWER_PRIORITY_DELAY_TOKENS
    return tokens / view.prefill_tokens_per_second + view.seconds_per_token
