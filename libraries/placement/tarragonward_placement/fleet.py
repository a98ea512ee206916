"""Track the usage of engines: this host's own requests and hints from peers."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from . import const as c
from .slowdowns import SlowdownSamples

__all__ = [
    "EngineUsage",
    "FleetUsageTracker",
    "InFlightPrompt",
    "PendingPrefill",
    "parse_digest",
    "parse_summary",
]

MILLISECONDS = 1_000
THOUSAND = 1_000
WEIGHT_PARTS = 10
SLOWDOWN_PARTS = 10


@dataclass(eq=False)
class InFlightPrompt:
    """A prompt that this host has sent: who prefills it and who holds its memory."""

    leader: str
    prefill_ends_at: Mapping[str, float]
    part_seconds: float
    context_tokens: int
    held_tokens: Mapping[str, int]
    pause_aim_seconds: float
    weight: float
    placed_at: float
    aim_at: float
    first_event_at: float | None = None

    def compute_prefill_left(self, engine: str, now: float) -> float:
        """Return the seconds of prefill that the engine still has for this prompt."""
        if self.first_event_at is not None:
            return 0.0
        left = self.prefill_ends_at[engine] - now
        return min(
            max(left, c.MIN_OVERDUE_SHARE * self.part_seconds), self.part_seconds
        )


@dataclass(frozen=True)
class PendingPrefill:
    """A prefill on an engine: when it ends, and when its first event is due."""

    end_seconds: float
    aim_seconds: float
    weight: float

    def advance(self, seconds: float) -> PendingPrefill:
        """Return this prefill as of a later time."""
        return PendingPrefill(
            max(0.0, self.end_seconds - seconds),
            self.aim_seconds - seconds,
            self.weight,
        )


@dataclass
class EngineUsage:
    """The known usage of one engine.

    weights are the weights of its requests, summed by the longest pause between events
    that they tolerate, in milliseconds.
    """

    decoding_requests: int = 0
    prefilling_requests: int = 0
    helper_parts: int = 0
    context_tokens: int = 0
    held_tokens: int = 0
    prefill_seconds: float = 0.0
    weights: dict[int, float] = field(default_factory=dict)
    pending_prefills: list[PendingPrefill] = field(default_factory=list)
    # Duration of the engine's passes, as a multiple of the published one.
    slowdown: float = 1.0

    @property
    def requests(self) -> int:
        """Return the number of occupied slots."""
        return self.decoding_requests + self.prefilling_requests

    def add_weight(self, pause_aim: int, weight: float) -> None:
        """Add the weight that is lost if a pause exceeds this limit in milliseconds."""
        self.weights[pause_aim] = self.weights.get(pause_aim, 0.0) + weight


IDLE_ENGINE = EngineUsage()


@dataclass(frozen=True)
class _PeerDigest:
    """A peer's last digest; reported_at is in this host's clock."""

    reported_at: float
    engines: Mapping[str, EngineUsage]


@dataclass(frozen=True)
class _CellSummary:
    """An engine's usage as its cell reported it; reported_at is in the host's clock."""

    reported_at: float
    usage: EngineUsage


@dataclass(frozen=True)
class _ReportedCount:
    """The requests of other hosts, from an engine's own count."""

    observed_at: float
    others: int


class FleetUsageTracker:
    """The requests in flight by engine; peers' digests are hints and expire.

    While no peer is heard, the count that an engine sends with its answers stands in
    for the requests of other hosts.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _ReportedCount] = {}
        self._full_until: dict[str, float] = {}
        self._slowdowns: dict[str, SlowdownSamples] = {}
        self._own: dict[str, dict[InFlightPrompt, None]] = {}
        # Called when peers should be notified of a prompt at once instead of in the
        # next round; the argument is whether its prefill is long enough to notify other
        # cells.
        self.on_change: list[Callable[[bool], None]] = []
        # Set if rounds are too rare for short prompts, which would have ended by the
        # next one.
        self.announces_every_prompt = False
        # Called with engines that started a long prefill while they serve prompts of
        # this host.
        self.on_long_prefill: list[Callable[[Collection[str]], None]] = []
        self._hints: dict[str, _PeerDigest] = {}
        # Usage of engines of other cells, as reported by their hosts.
        self._summaries: dict[str, _CellSummary] = {}

    def begin(self, prompt: InFlightPrompt) -> None:
        """Track a prompt on all its engines until it ends."""
        for engine in {*prompt.prefill_ends_at, *prompt.held_tokens}:
            self._own.setdefault(engine, {})[prompt] = None
        if (
            self.announces_every_prompt
            or prompt.part_seconds >= c.IMMEDIATE_NOTICE_SECONDS
        ):
            for notify in self.on_change:
                notify(prompt.part_seconds >= c.BLOCKING_PREFILL_SECONDS)
        if prompt.part_seconds >= c.BLOCKING_PREFILL_SECONDS:
            self._notify_long_prefill(prompt.prefill_ends_at)

    def _notify_long_prefill(self, engines: Collection[str]) -> None:
        affected = [engine for engine in engines if engine in self._own]
        for notify in self.on_long_prefill if affected else ():
            notify(affected)

    def end(self, prompt: InFlightPrompt) -> None:
        """Stop tracking a prompt."""
        for engine in {*prompt.prefill_ends_at, *prompt.held_tokens}:
            prompts = self._own.get(engine, {})
            prompts.pop(prompt, None)
            if not prompts:
                self._own.pop(engine, None)

    def has_long_prefill(self, now: float) -> bool:
        """Return whether a prompt of this host still has a long prefill ahead."""
        return any(
            prompt.compute_prefill_left(engine, now) >= c.BLOCKING_PREFILL_SECONDS
            for engine, prompts in self._own.items()
            for prompt in prompts
            if engine in prompt.prefill_ends_at
        )

    def record_request_count(self, engine: str, requests: int, now: float) -> None:
        """Record an engine's own count of its requests."""
        own = sum(prompt.leader == engine for prompt in self._own.get(engine, ()))
        self._counts[engine] = _ReportedCount(now, max(0, requests - own))

    def record_pass(self, engine: str, slowdown: float, now: float) -> None:
        """Record the duration of a pass, as a multiple of the published one."""
        slowdowns = self._slowdowns.setdefault(engine, SlowdownSamples())
        slowdowns.observed_at = now
        slowdowns.values.append(slowdown)

    def mark_full(self, engine: str, now: float) -> None:
        """Treat an engine as having no free memory for a while."""
        self._full_until[engine] = now + c.FULL_ENGINE_SECONDS

    def has_fresh_hints(self, now: float) -> bool:
        """Return whether any peer's digest is fresh."""
        return any(
            now - hint.reported_at <= c.MAX_HINT_AGE_SECONDS
            for hint in self._hints.values()
        )

    def get_usage(self, now: float) -> dict[str, EngineUsage]:
        """Return the known usage of each engine that is in use."""
        known = self._get_direct_usage(now)
        self._add_summaries(known, now)
        return known

    def _get_direct_usage(self, now: float) -> dict[str, EngineUsage]:
        """Return the usage known from this host and its peers, without summaries."""
        known: dict[str, EngineUsage] = {}
        reported: dict[str, list[float]] = {}
        for engine in self._own:
            self._add_own(engine, known.setdefault(engine, EngineUsage()), now)
        for host, hint in list(self._hints.items()):
            age = now - hint.reported_at
            if age > c.MAX_HINT_AGE_SECONDS:
                del self._hints[host]
                continue
            for engine, entry in hint.engines.items():
                _add_usage(known.setdefault(engine, EngineUsage()), entry, age)
                if entry.slowdown > 1:
                    reported.setdefault(engine, []).append(entry.slowdown)
        for engine, until in list(self._full_until.items()):
            if now > until:
                del self._full_until[engine]
                continue
            known.setdefault(engine, EngineUsage()).held_tokens += c.FULL_ENGINE_TOKENS
        self._expire_counts(now)
        if not self._hints:
            self._add_counts(known, now)
        _apply_reported_slowdowns(known, reported)
        for engine, slowdown in self._get_slow_engines(now).items():
            usage = known.setdefault(engine, EngineUsage())
            usage.slowdown = max(usage.slowdown, slowdown)
        return known

    def build_digest(self, now: float) -> dict[str, list[Any]]:
        """Return this host's own requests by engine, for its peers."""
        digest = {}
        slow = self._get_slow_engines(now)
        for engine in {**self._own, **slow}:
            usage = EngineUsage(slowdown=slow.get(engine, 1.0))
            if engine in self._own:
                self._add_own(engine, usage, now)
            digest[engine] = _pack_entry(usage)
        return digest

    def build_summary(self, engines: Collection[str], now: float) -> dict[str, Any]:
        """Return the known usage of some engines, for hosts of other cells.

        Pending prefills are left out, because they are most of the bytes. Usage from
        other summaries is left out, because two hosts that both count an engine as
        theirs would keep repeating the same stale usage to each other as new.
        """
        known = self._get_direct_usage(now)
        return {
            engine: _pack_entry(replace(known[engine], pending_prefills=[]))
            if engine in known
            else []
            for engine in engines
        }

    def apply_summary(self, data: Any, age: float, now: float) -> None:
        """Store what a host of another cell reported of its engines, unless older.

        Raise ValueError, TypeError or AttributeError if it is malformed.
        """
        self.record_summary(parse_summary(data), age, now)

    def record_summary(
        self, engines: Mapping[str, EngineUsage], age: float, now: float
    ) -> None:
        """Store a parsed report of a host of another cell, unless older."""
        summaries = self._summaries
        for engine, usage in engines.items():
            before = summaries.get(engine)
            if before is None or before.reported_at <= now - age:
                summaries[engine] = _CellSummary(now - age, usage)

    def _add_summaries(self, known: dict[str, EngineUsage], now: float) -> None:
        for engine, summary in list(self._summaries.items()):
            age = now - summary.reported_at
            if age > c.MAX_HINT_AGE_SECONDS:
                del self._summaries[engine]
                continue
            reported = EngineUsage(slowdown=summary.usage.slowdown)
            _add_usage(reported, summary.usage, age)
            known[engine] = _merge_max(known.get(engine, IDLE_ENGINE), reported)

    def apply_digest(self, host: str, data: Any, age: float, now: float) -> None:
        """Replace a peer's last digest."""
        try:
            engines = parse_digest(data)
        except (AttributeError, TypeError, ValueError):
            # A malformed digest, possibly of another version, is treated as if not
            # received.
            return
        self.record_digest(host, engines, age, now)

    def record_digest(
        self, host: str, engines: Mapping[str, EngineUsage], age: float, now: float
    ) -> None:
        """Replace a peer's last digest by a parsed one."""
        before = self._hints.get(host)
        self._hints[host] = _PeerDigest(now - age, engines)
        self._notify_long_prefill(_find_new_long_prefills(engines, before))

    def _expire_counts(self, now: float) -> None:
        """Drop expired counts: engines come and go, so they would accumulate."""
        expired_before = now - c.MAX_COUNT_AGE_SECONDS
        for engine, count in list(self._counts.items()):
            if count.observed_at < expired_before:
                del self._counts[engine]

    def _add_counts(self, known: dict[str, EngineUsage], now: float) -> None:
        for engine, count in self._counts.items():
            age = now - count.observed_at
            left = round(count.others * (1 - age / c.MAX_COUNT_AGE_SECONDS))
            if left:
                known.setdefault(engine, EngineUsage()).decoding_requests += left

    def _get_slow_engines(self, now: float) -> dict[str, float]:
        """Return the slowdowns of the engines that this host itself saw to be slow."""
        slow = {}
        for engine, slowdowns in list(self._slowdowns.items()):
            # A slow engine is rarely used, so it is tried again once this expires.
            if now - slowdowns.observed_at > c.MAX_SLOWDOWN_AGE_SECONDS:
                del self._slowdowns[engine]
            elif (slowdown := slowdowns.estimate()) > 1:
                slow[engine] = slowdown
        return slow

    def _add_own(self, engine: str, usage: EngineUsage, now: float) -> None:
        for prompt in self._own[engine]:
            left = prompt.compute_prefill_left(engine, now)
            usage.prefill_seconds += left
            if left:
                usage.pending_prefills.append(
                    PendingPrefill(left, prompt.aim_at - now, prompt.weight)
                )
            usage.held_tokens += prompt.held_tokens.get(engine, 0)
            if engine != prompt.leader:
                usage.helper_parts += prompt.first_event_at is None
                continue
            usage.decoding_requests += prompt.first_event_at is not None
            usage.prefilling_requests += prompt.first_event_at is None
            usage.context_tokens += prompt.context_tokens
            usage.add_weight(
                int(prompt.pause_aim_seconds * MILLISECONDS), prompt.weight
            )


def _find_new_long_prefills(
    engines: Mapping[str, EngineUsage], before: _PeerDigest | None
) -> list[str]:
    """Return the engines with a long prefill that the previous digest did not have."""
    known = before.engines if before is not None else {}
    return [
        name
        for name, usage in engines.items()
        if usage.prefill_seconds - known.get(name, IDLE_ENGINE).prefill_seconds
        >= c.BLOCKING_PREFILL_SECONDS
    ]


def _pack_weight(weight: float) -> int:
    """Return a weight in tenths: an integer takes a third of a float's bytes."""
    return round(weight * WEIGHT_PARTS)


def _unpack_weight(item: Any) -> float:
    return int(item) / WEIGHT_PARTS


def _apply_reported_slowdowns(
    known: dict[str, EngineUsage], reported: Mapping[str, Sequence[float]]
) -> None:
    """Apply slowdowns that enough peers report, at the level that all of them confirm.

    Otherwise each host would have to find out with requests of its own, which would be
    late. A single reporter does not count: the peer itself or its link may be slow.
    """
    for engine, slowdowns in reported.items():
        if len(slowdowns) >= c.MIN_SLOWDOWN_REPORTERS:
            slowdown = sorted(slowdowns, reverse=True)[c.MIN_SLOWDOWN_REPORTERS - 1]
            known[engine].slowdown = max(known[engine].slowdown, slowdown)


def _pack_entry(usage: EngineUsage) -> list[Any]:
    slow = [round(usage.slowdown * SLOWDOWN_PARTS)] if usage.slowdown > 1 else []
    return [
        usage.decoding_requests,
        usage.prefilling_requests,
        usage.helper_parts,
        usage.context_tokens // THOUSAND,
        usage.held_tokens // THOUSAND,
        int(usage.prefill_seconds * MILLISECONDS),
        [[aim, _pack_weight(weight)] for aim, weight in usage.weights.items()],
        [
            [
                int(pending.end_seconds * MILLISECONDS),
                int(pending.aim_seconds * MILLISECONDS),
                _pack_weight(pending.weight),
            ]
            for pending in usage.pending_prefills
        ],
        *slow,
    ]


def _merge_max(one: EngineUsage, other: EngineUsage) -> EngineUsage:
    """Return the field-wise maximum of two reports of an engine's usage."""
    aims = one.weights.keys() | other.weights.keys()
    return EngineUsage(
        max(one.decoding_requests, other.decoding_requests),
        max(one.prefilling_requests, other.prefilling_requests),
        max(one.helper_parts, other.helper_parts),
        max(one.context_tokens, other.context_tokens),
        max(one.held_tokens, other.held_tokens),
        max(one.prefill_seconds, other.prefill_seconds),
        {a: max(one.weights.get(a, 0.0), other.weights.get(a, 0.0)) for a in aims},
        one.pending_prefills or other.pending_prefills,
        max(one.slowdown, other.slowdown),
    )


def parse_digest(data: Any) -> dict[str, EngineUsage]:
    """Return the usage of each engine in a host's digest, to be read only.

    Raise ValueError, TypeError or AttributeError if it is malformed.
    """
    return {str(engine): _parse_entry(entry) for engine, entry in data.items()}


def parse_summary(data: Any) -> dict[str, EngineUsage]:
    """Return the usage of each engine in a cell's summary, to be read only.

    Raise ValueError, TypeError or AttributeError if it is malformed.
    """
    return {
        str(engine): _parse_entry(entry) if entry else IDLE_ENGINE
        for engine, entry in data.items()
    }


def _parse_entry(entry: Sequence[Any]) -> EngineUsage:
    (
        decoding_requests,
        prefilling_requests,
        helper_parts,
        context,
        held,
        prefill_seconds,
        weights,
        pending_prefills,
        *slow,
    ) = entry
    slowdown = int(slow[0]) / SLOWDOWN_PARTS if slow else 1.0
    return EngineUsage(
        int(decoding_requests),
        int(prefilling_requests),
        int(helper_parts),
        int(context) * THOUSAND,
        int(held) * THOUSAND,
        int(prefill_seconds) / MILLISECONDS,
        {int(aim): _unpack_weight(weight) for aim, weight in weights},
        [
            PendingPrefill(
                int(ends) / MILLISECONDS,
                int(aim) / MILLISECONDS,
                _unpack_weight(weight),
            )
            for ends, aim, weight in pending_prefills
        ],
        min(max(slowdown, 1.0), c.MAX_SLOWDOWN),
    )


def _add_usage(total: EngineUsage, added: EngineUsage, age: float) -> None:
    total.decoding_requests += added.decoding_requests
    total.prefilling_requests += added.prefilling_requests
    total.helper_parts += added.helper_parts
    total.context_tokens += added.context_tokens
    total.held_tokens += added.held_tokens
    total.prefill_seconds += max(0.0, added.prefill_seconds - age)
    for aim, weight in added.weights.items():
        total.add_weight(aim, weight)
    total.pending_prefills += [
        pending.advance(age) for pending in added.pending_prefills
    ]
