"""Keep what is known of the work on engines: this host's own, and hints of peers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from . import const as c

__all__ = ["EngineWork", "FleetBook", "PromptWork", "Unread"]

MILLISECONDS = 1_000
THOUSAND = 1_000
WEIGHT_PARTS = 10
PACE_PARTS = 10


@dataclass(eq=False)
class PromptWork:
    """A prompt that this host has sent: who reads it until when, who holds it."""

    leader: str
    reads_until: Mapping[str, float]
    part_seconds: float
    context_tokens: int
    held_tokens: Mapping[str, int]
    pause_aim_seconds: float
    weight: float
    placed_at: float
    aim_at: float
    first_event_at: float | None = None

    def compute_reading_left(self, engine: str, now: float) -> float:
        """Return the seconds that the engine still reads for this prompt."""
        if self.first_event_at is not None:
            return 0.0
        left = self.reads_until[engine] - now
        return min(
            max(left, c.MIN_OVERDUE_SHARE * self.part_seconds), self.part_seconds
        )


@dataclass(frozen=True)
class Unread:
    """A prompt that an engine reads: until when, and when its first event is due."""

    ends_seconds: float
    aim_seconds: float
    weight: float

    def age(self, seconds: float) -> Unread:
        """Return it so many seconds later."""
        return Unread(
            max(0.0, self.ends_seconds - seconds),
            self.aim_seconds - seconds,
            self.weight,
        )


@dataclass
class EngineWork:
    """What is known to lie on one engine; weights are by pause aim in milliseconds."""

    writers: int = 0
    readers: int = 0
    parts: int = 0
    context_tokens: int = 0
    held_tokens: int = 0
    reading_seconds: float = 0.0
    weights: dict[int, float] = field(default_factory=dict)
    unread: list[Unread] = field(default_factory=list)
    # How many times as long as published the engine's passes take.
    pace: float = 1.0

    @property
    def requests(self) -> int:
        """Return how many places are taken."""
        return self.writers + self.readers

    def add_weight(self, pause_aim: int, weight: float) -> None:
        """Count what is lost where a pause is over the aim."""
        self.weights[pause_aim] = self.weights.get(pause_aim, 0.0) + weight


NO_WORK = EngineWork()


@dataclass(frozen=True)
class _Hint:
    """A peer's digest; made_at is by this host's clock."""

    made_at: float
    engines: Mapping[str, EngineWork]


@dataclass(frozen=True)
class _Summary:
    """What another cell told of an engine; made_at is by this host's clock."""

    made_at: float
    work: EngineWork


@dataclass
class _Paces:
    """The paces of an engine's last passes that this host saw."""

    seen_at: float = 0.0
    values: deque[float] = field(
        default_factory=lambda: deque(maxlen=c.SLOWDOWN_SAMPLES)
    )

    def estimate(self) -> float:
        """Return the engine's pace, one where it is not surely slow.

        What an engine reads makes a pass longer, so the shortest ones tell its pace;
        events that were held up on the way come together, so the very shortest not.
        """
        if len(self.values) < c.MIN_SLOWDOWN_SAMPLES:
            return 1.0
        pace = sorted(self.values)[1]
        return pace if pace >= c.MIN_SLOWDOWN else 1.0


@dataclass(frozen=True)
class _Count:
    """What an engine itself counted beyond this host's own requests."""

    seen_at: float
    others: int


class FleetBook:
    """The prompts in flight by engine; peers' digests are hints, and age.

    While no peer is heard, an engine's own count, which comes with its answers, stands
    for what others have there.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Count] = {}
        self._full: dict[str, float] = {}
        self._paces: dict[str, _Paces] = {}
        self._own: dict[str, dict[PromptWork, None]] = {}
        # Called when peers should hear at once of a prompt, and not at their turn.
        # With whether it is read for so long that hosts of other cells should hear.
        self.on_change: list[Callable[[bool], None]] = []
        # Set where rounds are too rare for short prompts: they have ended by the next.
        self.tells_each = False
        # Called with engines on which this host has prompts and that read for long.
        self.on_reading: list[Callable[[Collection[str]], None]] = []
        self._hints: dict[str, _Hint] = {}
        # What hosts of other cells told of all work on an engine of theirs.
        self._summaries: dict[str, _Summary] = {}

    def begin(self, work: PromptWork) -> None:
        """Count a prompt on all its engines until it ends."""
        for engine in {*work.reads_until, *work.held_tokens}:
            self._own.setdefault(engine, {})[work] = None
        if self.tells_each or work.part_seconds >= c.IMMEDIATE_NOTICE_SECONDS:
            for tell in self.on_change:
                tell(work.part_seconds >= c.BLOCKING_PREFILL_SECONDS)
        if work.part_seconds >= c.BLOCKING_PREFILL_SECONDS:
            self._tell_reading(work.reads_until)

    def _tell_reading(self, engines: Collection[str]) -> None:
        held_up = [engine for engine in engines if engine in self._own]
        for tell in self.on_reading if held_up else ():
            tell(held_up)

    def end(self, work: PromptWork) -> None:
        """Forget a prompt."""
        for engine in {*work.reads_until, *work.held_tokens}:
            works = self._own.get(engine, {})
            works.pop(work, None)
            if not works:
                self._own.pop(engine, None)

    def has_long_reading(self, now: float) -> bool:
        """Return whether a prompt of this host is read for long yet."""
        return any(
            work.compute_reading_left(engine, now) >= c.BLOCKING_PREFILL_SECONDS
            for engine, works in self._own.items()
            for work in works
            if engine in work.reads_until
        )

    def note_count(self, engine: str, requests: int, now: float) -> None:
        """Take an engine's own count of the requests that it has."""
        own = sum(work.leader == engine for work in self._own.get(engine, ()))
        self._counts[engine] = _Count(now, max(0, requests - own))

    def note_pass(self, engine: str, pace: float, now: float) -> None:
        """Take a pass that took so many times as long as published."""
        paces = self._paces.setdefault(engine, _Paces())
        paces.seen_at = now
        paces.values.append(pace)

    def note_full(self, engine: str, now: float) -> None:
        """Take it that an engine has no free memory for a while."""
        self._full[engine] = now + c.FULL_ENGINE_SECONDS

    def hears_peers(self, now: float) -> bool:
        """Return whether any peer's digest is fresh."""
        return any(
            now - hint.made_at <= c.MAX_HINT_AGE_SECONDS
            for hint in self._hints.values()
        )

    def get_all(self, now: float) -> dict[str, EngineWork]:
        """Return what is known of each engine that has any work."""
        known = self._get_heard(now)
        self._add_summaries(known, now)
        return known

    def _get_heard(self, now: float) -> dict[str, EngineWork]:
        """Return what this host knows by itself and by those who send prompts."""
        known: dict[str, EngineWork] = {}
        told: dict[str, list[float]] = {}
        for engine in self._own:
            self._add_own(engine, known.setdefault(engine, EngineWork()), now)
        for host, hint in list(self._hints.items()):
            age = now - hint.made_at
            if age > c.MAX_HINT_AGE_SECONDS:
                del self._hints[host]
                continue
            for engine, entry in hint.engines.items():
                _add_hint(known.setdefault(engine, EngineWork()), entry, age)
                if entry.pace > 1:
                    told.setdefault(engine, []).append(entry.pace)
        for engine, until in list(self._full.items()):
            if now > until:
                del self._full[engine]
                continue
            known.setdefault(engine, EngineWork()).held_tokens += c.FULL_ENGINE_TOKENS
        self._forget_counts(now)
        if not self._hints:
            self._add_counts(known, now)
        _add_told_paces(known, told)
        for engine, pace in self._list_slow(now).items():
            work = known.setdefault(engine, EngineWork())
            work.pace = max(work.pace, pace)
        return known

    def build_digest(self, now: float) -> dict[str, list[Any]]:
        """Return this host's own work for the peers, by engine."""
        digest = {}
        slow = self._list_slow(now)
        for engine in {**self._own, **slow}:
            work = EngineWork(pace=slow.get(engine, 1.0))
            if engine in self._own:
                self._add_own(engine, work, now)
            digest[engine] = _pack_entry(work)
        return digest

    def build_summary(self, engines: Collection[str], now: float) -> dict[str, Any]:
        """Return all that is known of the work on some engines, for other cells.

        Who reads until when is left out: it is most of the bytes. So is what other
        summaries told: hosts that both count an engine as theirs would tell each other
        the same work as new for good.
        """
        known = self._get_heard(now)
        return {
            engine: _pack_entry(replace(known[engine], unread=[]))
            if engine in known
            else []
            for engine in engines
        }

    def take_summary(self, data: Any, age: float, now: float) -> None:
        """Take what a host of another cell told of its engines, unless it is older.

        Raise ValueError, TypeError or AttributeError where it is malformed.
        """
        told = {
            str(engine): _Summary(now - age, _parse_entry(entry) if entry else NO_WORK)
            for engine, entry in data.items()
        }
        for engine, summary in told.items():
            before = self._summaries.get(engine)
            if before is None or before.made_at <= summary.made_at:
                self._summaries[engine] = summary

    def _add_summaries(self, known: dict[str, EngineWork], now: float) -> None:
        for engine, summary in list(self._summaries.items()):
            age = now - summary.made_at
            if age > c.MAX_HINT_AGE_SECONDS:
                del self._summaries[engine]
                continue
            told = EngineWork(pace=summary.work.pace)
            _add_hint(told, summary.work, age)
            known[engine] = _unite(known.get(engine, NO_WORK), told)

    def take_digest(self, host: str, data: Any, age: float, now: float) -> None:
        """Take a peer's digest in the place of its last one."""
        try:
            engines = {str(name): _parse_entry(entry) for name, entry in data.items()}
        except (AttributeError, TypeError, ValueError):
            # A peer of another version; without its hint it is as if not heard.
            return
        before = self._hints.get(host)
        self._hints[host] = _Hint(now - age, engines)
        self._tell_reading(_list_new_readings(engines, before))

    def _forget_counts(self, now: float) -> None:
        """Drop counts that are worth nothing: engines come and go for good."""
        oldest = now - c.MAX_COUNT_AGE_SECONDS
        for engine, count in list(self._counts.items()):
            if count.seen_at < oldest:
                del self._counts[engine]

    def _add_counts(self, known: dict[str, EngineWork], now: float) -> None:
        for engine, count in self._counts.items():
            age = now - count.seen_at
            left = round(count.others * (1 - age / c.MAX_COUNT_AGE_SECONDS))
            if left:
                known.setdefault(engine, EngineWork()).writers += left

    def _list_slow(self, now: float) -> dict[str, float]:
        """Return the paces of the engines that this host itself has seen to be slow."""
        slow = {}
        for engine, paces in list(self._paces.items()):
            # A slow engine is hardly used, so it is tried again when this is old.
            if now - paces.seen_at > c.MAX_SLOWDOWN_AGE_SECONDS:
                del self._paces[engine]
            elif (pace := paces.estimate()) > 1:
                slow[engine] = pace
        return slow

    def _add_own(self, engine: str, known: EngineWork, now: float) -> None:
        for work in self._own[engine]:
            left = work.compute_reading_left(engine, now)
            known.reading_seconds += left
            if left:
                known.unread.append(Unread(left, work.aim_at - now, work.weight))
            known.held_tokens += work.held_tokens.get(engine, 0)
            if engine != work.leader:
                known.parts += work.first_event_at is None
                continue
            known.writers += work.first_event_at is not None
            known.readers += work.first_event_at is None
            known.context_tokens += work.context_tokens
            known.add_weight(int(work.pause_aim_seconds * MILLISECONDS), work.weight)


def _list_new_readings(
    engines: Mapping[str, EngineWork], before: _Hint | None
) -> list[str]:
    """Return the engines that read for long and did not so far."""
    known = before.engines if before is not None else {}
    return [
        name
        for name, work in engines.items()
        if work.reading_seconds - known.get(name, NO_WORK).reading_seconds
        >= c.BLOCKING_PREFILL_SECONDS
    ]


def _pack_weight(weight: float) -> int:
    """Return a weight in tenths: a whole number takes a third of a float's bytes."""
    return round(weight * WEIGHT_PARTS)


def _unpack_weight(item: Any) -> float:
    return int(item) / WEIGHT_PARTS


def _add_told_paces(
    known: dict[str, EngineWork], told: Mapping[str, Sequence[float]]
) -> None:
    """Take what several peers tell of slow engines, at the word of the last of them.

    Each host would find out by prompts of its own, which are late there. One peer alone
    may be slow itself, or its link.
    """
    for engine, paces in told.items():
        if len(paces) >= c.MIN_SLOWDOWN_REPORTERS:
            pace = sorted(paces, reverse=True)[c.MIN_SLOWDOWN_REPORTERS - 1]
            known[engine].pace = max(known[engine].pace, pace)


def _pack_entry(work: EngineWork) -> list[Any]:
    slow = [round(work.pace * PACE_PARTS)] if work.pace > 1 else []
    return [
        work.writers,
        work.readers,
        work.parts,
        work.context_tokens // THOUSAND,
        work.held_tokens // THOUSAND,
        int(work.reading_seconds * MILLISECONDS),
        [[aim, _pack_weight(weight)] for aim, weight in work.weights.items()],
        [
            [
                int(unread.ends_seconds * MILLISECONDS),
                int(unread.aim_seconds * MILLISECONDS),
                _pack_weight(unread.weight),
            ]
            for unread in work.unread
        ],
        *slow,
    ]


def _unite(one: EngineWork, other: EngineWork) -> EngineWork:
    """Return the greater of two accounts of the work on an engine."""
    aims = one.weights.keys() | other.weights.keys()
    return EngineWork(
        max(one.writers, other.writers),
        max(one.readers, other.readers),
        max(one.parts, other.parts),
        max(one.context_tokens, other.context_tokens),
        max(one.held_tokens, other.held_tokens),
        max(one.reading_seconds, other.reading_seconds),
        {a: max(one.weights.get(a, 0.0), other.weights.get(a, 0.0)) for a in aims},
        one.unread or other.unread,
        max(one.pace, other.pace),
    )


def _parse_entry(entry: Sequence[Any]) -> EngineWork:
    writers, readers, parts, context, held, reading, weights, unread, *slow = entry
    pace = int(slow[0]) / PACE_PARTS if slow else 1.0
    return EngineWork(
        int(writers),
        int(readers),
        int(parts),
        int(context) * THOUSAND,
        int(held) * THOUSAND,
        int(reading) / MILLISECONDS,
        {int(aim): _unpack_weight(weight) for aim, weight in weights},
        [
            Unread(
                int(ends) / MILLISECONDS,
                int(aim) / MILLISECONDS,
                _unpack_weight(weight),
            )
            for ends, aim, weight in unread
        ],
        min(max(pace, 1.0), c.MAX_SLOWDOWN),
    )


def _add_hint(known: EngineWork, hint: EngineWork, age: float) -> None:
    known.writers += hint.writers
    known.readers += hint.readers
    known.parts += hint.parts
    known.context_tokens += hint.context_tokens
    known.held_tokens += hint.held_tokens
    known.reading_seconds += max(0.0, hint.reading_seconds - age)
    for aim, weight in hint.weights.items():
        known.add_weight(aim, weight)
    known.unread += [unread.age(age) for unread in hint.unread]
