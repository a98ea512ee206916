"""Detect prompt segments that crash targets, from the observations of all hosts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import Any

from . import const as c
from .segment_entries import NEVER, SegmentCrash, SegmentEntry, SuspectSegment
from .segment_verdicts import (
    PromptContext,
    SegmentVerdict,
    compute_severity,
    get_crash_limit,
    judge_prompt,
)
from .segments import AnsweredSegments, RecentPrompts

__all__ = ["SegmentTracker"]

CLEAR = SegmentVerdict()


class SegmentTracker:
    """Segments of prompts under which targets crashed; times in seconds.

    A target that crashes makes suspects of all shared segments of the prompts that were
    in progress there. Three things tell the cause from what was beside it:

    - A complete answer that began after a crash clears each of its segments of that
      crash, as a segment that crashes its targets never gets one.
    - A segment that was answered before, or that most prompts hold, needs more crashes.
    - A crash that a refused segment explains does not count against the segments of
      prompts without that one.

    Entries from peers are merged as a set union, so reordered, lost or duplicated
    messages only delay convergence. Memory is bounded: the suspects with the fewest
    crashes are evicted first, the least recently active of them before the others.
    """

    def __init__(self) -> None:
        self._suspects: dict[bytes, SuspectSegment] = {}
        self._answered = AnsweredSegments()
        self._recent = RecentPrompts()
        # Suspects with enough uncleared crashes to be refused if nothing explains them.
        self._blamed: set[bytes] = set()

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects)

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the fingerprints of the suspects."""
        yield from self._suspects

    def evaluate(self, prompt: PromptContext) -> SegmentVerdict:
        """Return how a prompt may be sent."""
        if self._suspects.keys().isdisjoint(prompt.segments):
            return CLEAR
        for segment in prompt.segments:
            suspect = self._suspects.get(segment)
            if suspect is not None:
                suspect.is_common = self._recent.is_common(segment)
        return judge_prompt(prompt, self._suspects, self._blamed)

    def record_prompt(self, segments: Sequence[bytes]) -> None:
        """Record a prompt that is not refused for any of its segments."""
        self._recent.record(segments)

    def get_explained_targets(self, segments: Iterable[bytes]) -> frozenset[int]:
        """Return the targets that crashed by a segment that a prompt lacks."""
        blamed = (self._suspects[each] for each in self._blamed - set(segments))
        return frozenset(
            target
            for suspect in blamed
            if not suspect.is_established
            for target in suspect.uncleared
        )

    def record_crash(
        self,
        segments: Iterable[bytes],
        account: int,
        target: int,
        sent_at: float,
        now: float,
    ) -> tuple[bytes, ...]:
        """Record that a target crashed while it ran a prompt; return the suspects.

        sent_at is when the prompt was sent to the target. Of a prompt with many
        segments those are recorded that were answered longest ago, or never.
        """
        recorded = sorted(segments, key=lambda each: self._answered.get(each) or NEVER)
        del recorded[c.MAX_SUSPECT_SEGMENTS_PER_PROMPT :]
        for segment in recorded:
            suspect = self._suspects.get(segment) or self._add(segment, now)
            suspect.record_crash(target, SegmentCrash(sent_at, now, account))
            suspect.last_local_crash_at = now
            suspect.last_activity_at = max(now, suspect.last_activity_at)
            self._update_blamed(segment)
        return tuple(recorded)

    def record_answered(
        self, segments: Sequence[bytes], began_at: float, now: float
    ) -> tuple[bytes, ...]:
        """Record a complete answer that began at a time; return what it has changed."""
        self._answered.record(segments, now)
        changed = []
        for segment in segments:
            suspect = self._suspects.get(segment)
            if suspect is None:
                continue
            was_established = suspect.is_established
            suspect.answered_at = now
            if self._clear(segment, began_at, now) or not was_established:
                self._update_blamed(segment)
                changed.append(segment)
        return tuple(changed)

    def record_steady_stream(
        self, segments: Sequence[bytes], began_at: float, now: float
    ) -> tuple[bytes, ...]:
        """Record a stream that goes on long after it began; return what is cleared.

        A segment that was never answered is cleared by complete answers only: it may
        crash its targets later in the answer.
        """
        return tuple(
            segment
            for segment in segments
            if segment in self._suspects
            and self._suspects[segment].is_established
            and self._clear(segment, began_at, now)
        )

    def record_refused(self, segments: Iterable[bytes], now: float) -> None:
        """Record a refusal: callers still send the segment, so its record is kept."""
        for segment in segments:
            suspect = self._suspects.get(segment)
            if suspect is not None:
                suspect.last_activity_at = max(now, suspect.last_activity_at)

    def begin_isolated_attempt(self, segment: bytes, now: float) -> None:
        """Record that this host is trying a prompt with a segment alone on a target."""
        suspect = self._suspects.get(segment)
        if suspect is not None:
            until = now + c.ISOLATED_ATTEMPT_SECONDS
            suspect.record_attempt(until, suspect.crashes)

    def end_isolated_attempt(self, segment: bytes) -> None:
        """Record that the isolated attempt has ended."""
        suspect = self._suspects.get(segment)
        if suspect is not None:
            suspect.attempt_until = NEVER

    def clear(self, segment: bytes, now: float) -> bool:
        """Clear a segment at an operator's command; return whether it was a suspect."""
        return segment in self._suspects and self._clear(segment, now, now)

    def count(self, segment: bytes) -> int:
        """Return how many crashes a segment has not been cleared of."""
        suspect = self._suspects.get(segment)
        return 0 if suspect is None else len(suspect.uncleared)

    def get(self, segment: bytes) -> SuspectSegment | None:
        """Return the record of a segment, None if it is not a suspect."""
        return self._suspects.get(segment)

    def get_answered_at(self, segment: bytes) -> float | None:
        """Return when this host last had a complete answer, None if never."""
        return self._answered.get(segment)

    def items(self) -> Iterator[tuple[bytes, SuspectSegment]]:
        """Iterate over the suspects by fingerprint."""
        yield from self._suspects.items()

    def is_for_all_hosts(self, segment: bytes) -> bool:
        """Return whether all hosts should know of a segment's crashes."""
        suspect = self._suspects.get(segment)
        return suspect is not None and suspect.is_public

    def is_common(self, segment: bytes) -> bool:
        """Return whether most of the prompts of this host hold a suspect segment."""
        suspect = self._suspects.get(segment)
        return suspect is not None and suspect.is_common

    def has_enough_crashes(self, segment: bytes) -> bool:
        """Return whether a segment is refused unless something explains its crashes."""
        return segment in self._blamed

    def is_near_verdict(self, segment: bytes) -> bool:
        """Return whether at most one crash more is needed to refuse a segment."""
        suspect = self._suspects.get(segment)
        return suspect is not None and compute_severity(suspect) > 0

    def unpack_entry(self, item: Any) -> SegmentEntry:
        """Parse a peer's entry; raise ValueError if it is malformed."""
        return SegmentEntry.unpack(item)

    def build_entry(self, segment: bytes, now: float) -> SegmentEntry | None:
        """Return the gossip entry of a segment, None if it is not a suspect."""
        suspect = self._suspects.get(segment)
        if suspect is None:
            return None
        crashes = {
            target: SegmentCrash(
                now - each.sent_at, now - each.crashed_at, each.account, each.is_cleared
            )
            for target, each in suspect.crashes.items()
        }
        answered_at = suspect.answered_at
        return SegmentEntry(
            segment,
            crashes,
            now - suspect.last_activity_at,
            max(0.0, suspect.compute_attempt_end() - now),
            None if answered_at == NEVER else now - answered_at,
        )

    def merge(self, entry: SegmentEntry, now: float, age: float = 0.0) -> bool:
        """Merge a peer's entry that was sent age seconds ago.

        Return whether other hosts should learn of the result: it is stricter than what
        either host had, or this host knows of an answer that the peer does not.
        """
        sent_at = now - age
        segment = entry.fingerprint
        suspect = self._suspects.get(segment) or self._add(
            segment, sent_at - entry.idle_seconds
        )
        before = compute_severity(suspect)
        reported = self._apply_entry(SuspectSegment(0.0), entry, sent_at)
        self._apply_entry(suspect, entry, sent_at)
        self._update_blamed(segment)
        if suspect.uncleared and suspect.was_answered and not reported.was_answered:
            return True
        # Only a new verdict is worth relaying: two hosts that keep different subsets of
        # many crashes would otherwise relay them to each other forever.
        return compute_severity(suspect) > max(before, compute_severity(reported))

    def is_covered_by(self, entry: SegmentEntry) -> bool:
        """Return whether an entry contains all that this host knows of a segment."""
        suspect = self._suspects.get(entry.fingerprint)
        return suspect is not None and all(
            target in entry.crashes
            and (entry.crashes[target].is_cleared or not crash.is_cleared)
            for target, crash in suspect.crashes.items()
        )

    def expire(self, now: float) -> None:
        """Remove suspects without recent activity."""
        expired = [s for s, known in self._suspects.items() if known.expires_at <= now]
        for segment in expired:
            self._remove(segment)

    @staticmethod
    def _apply_entry(
        suspect: SuspectSegment, entry: SegmentEntry, sent_at: float
    ) -> SuspectSegment:
        for target, each in entry.crashes.items():
            crash = SegmentCrash(
                sent_at - each.sent_at,
                sent_at - each.crashed_at,
                each.account,
                each.is_cleared,
            )
            suspect.record_crash(target, crash)
        suspect.last_activity_at = max(
            suspect.last_activity_at, sent_at - entry.idle_seconds
        )
        if entry.attempt_seconds:
            until = sent_at + entry.attempt_seconds
            suspect.record_attempt(until, entry.crashes)
        if entry.answered_seconds is not None:
            answered_at = sent_at - entry.answered_seconds
            suspect.answered_at = max(suspect.answered_at, answered_at)
        return suspect

    def _clear(self, segment: bytes, until: float, now: float) -> bool:
        suspect = self._suspects[segment]
        if not suspect.clear_until(until):
            return False
        suspect.last_activity_at = max(now, suspect.last_activity_at)
        suspect.attempt_until = NEVER
        self._update_blamed(segment)
        return True

    def _add(self, segment: bytes, now: float) -> SuspectSegment:
        if len(self._suspects) >= c.MAX_SUSPECT_SEGMENTS:
            self._remove(min(self._suspects, key=self._compute_retention_rank))
        answered_at = self._answered.get(segment)
        suspect = SuspectSegment(now, is_common=self._recent.is_common(segment))
        suspect.answered_at = NEVER if answered_at is None else answered_at
        self._suspects[segment] = suspect
        return suspect

    def _update_blamed(self, segment: bytes) -> None:
        suspect = self._suspects[segment]
        suspect.is_public |= compute_severity(suspect) > 0
        if suspect.count_crashes() >= get_crash_limit(suspect):
            self._blamed.add(segment)
        else:
            self._blamed.discard(segment)

    def _compute_retention_rank(self, segment: bytes) -> tuple[int, float]:
        suspect = self._suspects[segment]
        return len(suspect.uncleared), suspect.last_activity_at

    def _remove(self, segment: bytes) -> None:
        self._blamed.discard(segment)
        del self._suspects[segment]
