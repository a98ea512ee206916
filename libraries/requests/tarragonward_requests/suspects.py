"""Detect requests that crash their targets, from the observations of all hosts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import pairwise
from typing import Any

from . import const as c
from .fingerprints import FINGERPRINT_BYTES

__all__ = ["CrashEvidence", "Suspect", "SuspectEntry", "SuspectTracker", "Verdict"]

MILLISECONDS = 1_000
MAX_INTEGER = 1 << 62
NEVER = float("-inf")
# Marks the number of a target that crashed in an isolated attempt. Hosts whose version
# does not know the mark count such a target like any other.
ISOLATED_MARK = 1 << 40


class Verdict(Enum):
    """How a request may be sent."""

    CLEAR = "clear"
    # Only to one target at a time, the one with the least known work in progress.
    ALONE = "alone"
    # Not now: another host is trying it, or this host lacks its peers' observations.
    LATER = "later"
    REFUSED = "refused"


@dataclass(frozen=True)
class CrashEvidence:
    """The crashes that are known of a request, as numbers of targets.

    Of the known ones, counted are those that decide its verdict. cleared are further
    ones that a complete answer has cleared it of.
    """

    known: int = 0
    counted: int = 0
    cleared: int = 0


@dataclass(frozen=True)
class SuspectEntry:
    """Gossip between hosts about one request; times are in seconds.

    crashes has a number for each target that crashed while running the request; cleared
    is the subset that a complete answer has cleared the request of, and isolated the
    subset that crashed in isolated attempts. idle_seconds is the time since any host
    saw a crash, an answer or a refusal of the request.
    """

    fingerprint: bytes
    body_size: int
    crashes: tuple[int, ...]
    cleared: tuple[int, ...]
    idle_seconds: float
    attempt_seconds: float = 0.0
    isolated: tuple[int, ...] = ()

    def pack(self) -> tuple[Any, ...]:
        """Return the entry in wire format, with times in milliseconds."""
        idle, attempt = (
            _pack_seconds(self.idle_seconds),
            _pack_seconds(self.attempt_seconds),
        )
        targets = self._mark(self.crashes), self._mark(self.cleared)
        return self.fingerprint, self.body_size, *targets, idle, attempt

    @classmethod
    def unpack(cls, item: Any) -> SuspectEntry:
        """Parse the result of pack(); raise ValueError if it is malformed."""
        fingerprint, size, crashes, cleared, idle, attempt = item
        if type(fingerprint) is not bytes or len(fingerprint) != FINGERPRINT_BYTES:
            raise ValueError("fingerprint has the wrong type or length")
        numbers = (size, idle, attempt, *crashes, *cleared)
        if not all(type(n) is int and 0 <= n < MAX_INTEGER for n in numbers):
            raise ValueError("number is not an integer or out of range")
        if len(crashes) > c.MAX_CRASHES_PER_SUSPECT or not set(cleared) <= set(crashes):
            raise ValueError(
                "too many crashes, or cleared targets that are not among them"
            )
        return cls(
            fingerprint,
            size,
            tuple(unmark_target(each) for each in crashes),
            tuple(unmark_target(each) for each in cleared),
            idle / MILLISECONDS,
            min(attempt / MILLISECONDS, c.ISOLATED_ATTEMPT_SECONDS),
            tuple(unmark_target(each) for each in crashes if each & ISOLATED_MARK),
        )

    def _mark(self, targets: tuple[int, ...]) -> list[int]:
        return [mark_target(each, each in self.isolated) for each in targets]


@dataclass
class Suspect:
    """A request under which targets crashed; times in seconds of the tracker's clock.

    Clearing applies to single targets, not to all crashes before a time: ages drift as
    hosts relay them, and the request would be cleared of later crashes.
    """

    body_size: int
    last_activity_at: float
    # Crashed targets in the order in which they became known; True if cleared.
    crashes: dict[int, bool] = field(default_factory=dict)
    # When this host learned of the crash of each target, from itself or a peer.
    learned_at: dict[int, float] = field(default_factory=dict)
    # The crashed targets that ran nothing else that their hosts knew of.
    isolated: set[int] = field(default_factory=set)
    attempt_until: float = NEVER
    # When this host itself last saw a target crash under the request.
    last_local_crash_at: float = NEVER
    # When this host first put the request off after the last crash that it knows of.
    deferred_at: float = NEVER

    @property
    def uncleared_targets(self) -> frozenset[int]:
        """Return the crashed targets that no answer has cleared the request of."""
        return frozenset(t for t, cleared in self.crashes.items() if not cleared)

    @property
    def has_crashed_isolated(self) -> bool:
        """Return whether a target crashed that ran nothing else."""
        return not self.isolated.isdisjoint(self.uncleared_targets)

    @property
    def last_crash_at(self) -> float:
        """Return when this host learned of the last crash that is not cleared."""
        times = (self.learned_at[target] for target in self.uncleared_targets)
        return max(times, default=NEVER)

    @property
    def retry_at(self) -> float:
        """Return when the request is tried again if it is refused.

        A power loss adds many crashes at about the same time, but no failed trials.
        """
        times = sorted(self.learned_at[target] for target in self.uncleared_targets)
        failed_trials = sum(
            later - earlier >= c.MIN_TRIAL_GAP_SECONDS
            for earlier, later in pairwise(times)
        )
        steps = min(failed_trials, c.MAX_REFUSED_TRIAL_STEPS)
        delay = c.REFUSED_TRIAL_SECONDS * c.REFUSED_TRIAL_GROWTH**steps
        return self.last_crash_at + delay

    def record_crash(
        self, target: int, crashed_at: float, is_isolated: bool = False
    ) -> None:
        """Add a crashed target; each target counts once."""
        if is_isolated:
            self.isolated.add(target)
        if target in self.crashes:
            return
        if len(self.crashes) >= c.MAX_CRASHES_PER_SUSPECT:
            evicted = max(self.crashes, key=self._rank_for_eviction)
            del self.crashes[evicted], self.learned_at[evicted]
            self.isolated.discard(evicted)
        self.crashes[target] = False
        self.learned_at[target] = crashed_at
        self.deferred_at = NEVER

    def _rank_for_eviction(self, target: int) -> tuple[bool, bool]:
        """Return a key that is highest for a cleared target, else for a shared one."""
        return self.crashes[target], target not in self.isolated

    def clear(self, targets: Iterable[int]) -> None:
        """Clear the request of the crashes of these targets."""
        self.crashes.update(dict.fromkeys(set(targets) & self.crashes.keys(), True))

    @property
    def expires_at(self) -> float:
        """Return when the record expires without further activity."""
        count = len(self.uncleared_targets)
        if not count:
            return self.last_activity_at + c.CLEARED_RETENTION_SECONDS
        if count < c.REFUSE_AFTER_CRASHES:
            return self.last_activity_at + c.SUSPECT_RETENTION_SECONDS
        return self.last_activity_at + c.REFUSED_RETENTION_SECONDS


class SuspectTracker:
    """Requests under which targets crashed, by fingerprint; times in seconds.

    Every request in progress on a target that crashes becomes a suspect, so a single
    crash is weak evidence. A request with enough crashed targets is refused. Any
    complete answer clears it, as a request that crashes its targets never gets one.
    Entries from peers are merged as a set union, so reordered, lost or duplicated
    messages only delay convergence. Memory is bounded: the suspects with the fewest
    crashes are evicted first, the least recently active of them before the others.
    """

    def __init__(self) -> None:
        self._suspects: dict[bytes, Suspect] = {}
        self._size_counts: Counter[int] = Counter()
        # Suspects with at least REFUSE_AFTER_CRASHES uncleared targets. evaluate() may
        # still not refuse one, as count() leaves out those that a worse one explains.
        self._refused: set[bytes] = set()

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects)

    def may_contain(self, body_size: int) -> bool:
        """Return whether any suspect has a body of this many bytes, to skip hashing."""
        return self._size_counts[body_size] > 0

    def evaluate(
        self,
        fingerprint: bytes,
        now: float,
        is_host_isolated: bool = False,
        explained: frozenset[int] = frozenset(),
        trial_delay: float = 0.0,
    ) -> Verdict:
        """Return how a request may be sent.

        explained are targets whose crashes something else is known to have caused. They
        do not prove that the request is harmless: two requests that crash their targets
        and run on the same ones explain each other's crashes. So a request with enough
        crashes to be refused, some of them explained, is tried alone, first by the host
        with the least trial_delay, and a crash in an isolated attempt has no other
        explanation.

        An isolated host knows only its own crashes. Several isolated hosts would each
        let the request crash three more targets, so there one crash is enough to delay
        its next attempt.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Verdict.CLEAR
        count = self.count(fingerprint, explained)
        if count >= c.REFUSE_AFTER_CRASHES and now < suspect.retry_at:
            return Verdict.REFUSED
        known = len(suspect.uncleared_targets)
        if self.get_wait_seconds(fingerprint, now, is_host_isolated, trial_delay):
            return Verdict.LATER
        if known < c.REFUSE_AFTER_CRASHES and count < c.RUN_ALONE_AFTER_CRASHES:
            return Verdict.CLEAR
        return Verdict.ALONE

    def count(self, fingerprint: bytes, explained: frozenset[int] = frozenset()) -> int:
        """Return how many crashed targets nothing else explains, as a worse suspect.

        Otherwise a request that repeatedly runs beside the one that crashes its targets
        would be refused together with it. All of them count after a crash in an
        isolated attempt.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0
        targets = suspect.uncleared_targets
        if suspect.has_crashed_isolated:
            return len(targets)
        for refused in self._refused:
            others = self._suspects[refused].uncleared_targets
            if len(others) > len(targets):
                explained |= others
        return len(targets - explained)

    def get_evidence(
        self, fingerprint: bytes, explained: frozenset[int] = frozenset()
    ) -> CrashEvidence:
        """Return the crashes that are known of a request; explained as in evaluate."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return CrashEvidence()
        known = len(suspect.uncleared_targets)
        counted = self.count(fingerprint, explained)
        return CrashEvidence(known, counted, len(suspect.crashes) - known)

    def get_refused_crashes(self, excluded: bytes | None) -> list[frozenset[int]]:
        """Return the targets that crashed under each refused request but one."""
        return [
            self._suspects[each].uncleared_targets
            for each in self._refused
            if each != excluded
        ]

    def get_wait_seconds(
        self,
        fingerprint: bytes,
        now: float,
        is_host_isolated: bool = False,
        trial_delay: float = 0.0,
    ) -> float:
        """Return how many seconds a request with the verdict LATER has to wait."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0.0
        known = len(suspect.uncleared_targets)
        until = suspect.attempt_until if known >= c.RUN_ALONE_AFTER_CRASHES else NEVER
        if known >= c.REFUSE_AFTER_CRASHES:
            first = now if suspect.deferred_at == NEVER else suspect.deferred_at
            until = max(until, first + trial_delay)
        if known and is_host_isolated:
            until = max(
                until, suspect.last_local_crash_at + c.ISOLATED_HOST_RETRY_DELAY_SECONDS
            )
        return max(0.0, until - now)

    def record_deferred(self, fingerprint: bytes, now: float) -> None:
        """Record that a request has to wait until it may be tried."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.deferred_at == NEVER:
            suspect.deferred_at = now

    def record_crash(
        self,
        fingerprint: bytes,
        body_size: int,
        target: int,
        now: float,
        is_isolated: bool = False,
    ) -> None:
        """Record that a target crashed while it ran a request, isolated or not."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._add(fingerprint, body_size, now)
        suspect.record_crash(target, now, is_isolated)
        suspect.last_local_crash_at = now
        suspect.last_activity_at = max(now, suspect.last_activity_at)
        self._update_refused(fingerprint)

    def record_answered(self, fingerprint: bytes, now: float) -> bool:
        """Clear a request after a complete answer; return whether it was a suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.uncleared_targets:
            return False
        suspect.clear(suspect.uncleared_targets)
        suspect.last_activity_at = max(now, suspect.last_activity_at)
        suspect.attempt_until = NEVER
        self._update_refused(fingerprint)
        return True

    def record_refused(self, fingerprint: bytes, now: float) -> None:
        """Record a refusal: callers still send the request, so its record is kept."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.last_activity_at = max(now, suspect.last_activity_at)

    def begin_isolated_attempt(self, fingerprint: bytes, now: float) -> None:
        """Record that this host is trying a request alone on a target."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.attempt_until = now + c.ISOLATED_ATTEMPT_SECONDS

    def end_isolated_attempt(self, fingerprint: bytes) -> None:
        """Record that the isolated attempt has ended."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.attempt_until = NEVER

    def is_for_all_hosts(self, fingerprint: bytes) -> bool:
        """Return whether all hosts should know of a request's crashes."""
        suspect = self._suspects.get(fingerprint)
        count = 0 if suspect is None else len(suspect.crashes)
        return count >= c.RUN_ALONE_AFTER_CRASHES

    def is_common(self, fingerprint: bytes) -> bool:
        """Return False: a request has nothing in common with most others."""
        return False

    def has_enough_crashes(self, fingerprint: bytes) -> bool:
        """Return whether a request is refused unless something explains its crashes."""
        return fingerprint in self._refused

    def is_near_verdict(self, fingerprint: bytes) -> bool:
        """Return whether at most one crash more is needed to refuse a request."""
        return self.is_for_all_hosts(fingerprint)

    def unpack_entry(self, item: Any) -> SuspectEntry:
        """Parse a peer's entry; raise ValueError if it is malformed."""
        return SuspectEntry.unpack(item)

    def is_covered_by(self, entry: SuspectEntry) -> bool:
        """Return whether an entry contains every crash that this host knows of."""
        suspect = self._suspects.get(entry.fingerprint)
        return suspect is not None and set(entry.crashes).issuperset(suspect.crashes)

    def build_entry(self, fingerprint: bytes, now: float) -> SuspectEntry | None:
        """Return the gossip entry of a request, None if it is not a suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        return SuspectEntry(
            fingerprint,
            suspect.body_size,
            tuple(suspect.crashes),
            tuple(t for t, cleared in suspect.crashes.items() if cleared),
            now - suspect.last_activity_at,
            max(0.0, suspect.attempt_until - now),
            tuple(suspect.isolated),
        )

    def merge(self, entry: SuspectEntry, now: float, age: float = 0.0) -> bool:
        """Merge a peer's entry that was sent age seconds ago.

        Return whether the merged record has a stricter verdict than either host had.
        """
        suspect = self._suspects.get(entry.fingerprint)
        sent_at = now - age
        if suspect is None:
            suspect = self._add(
                entry.fingerprint, entry.body_size, sent_at - entry.idle_seconds
            )
        before = len(suspect.uncleared_targets)
        for target in entry.crashes:
            suspect.record_crash(target, sent_at, target in entry.isolated)
        suspect.clear(entry.cleared)
        suspect.last_activity_at = max(
            suspect.last_activity_at, sent_at - entry.idle_seconds
        )
        if entry.attempt_seconds > age:
            suspect.attempt_until = max(
                suspect.attempt_until, sent_at + entry.attempt_seconds
            )
        self._update_refused(entry.fingerprint)
        # Only a new verdict is worth relaying: two hosts that keep different subsets of
        # many crashes would otherwise relay them to each other forever.
        reported = len(entry.crashes) - len(entry.cleared)
        return _compute_severity(len(suspect.uncleared_targets)) > max(
            _compute_severity(before), _compute_severity(reported)
        )

    def clear(self, fingerprint: bytes, now: float) -> bool:
        """Clear a request at an operator's command; return whether it was a suspect."""
        return self.record_answered(fingerprint, now)

    def expire(self, now: float) -> None:
        """Remove suspects without recent activity."""
        expired = [f for f, known in self._suspects.items() if known.expires_at <= now]
        for fingerprint in expired:
            self._remove(fingerprint)

    def get(self, fingerprint: bytes) -> Suspect | None:
        """Return the record of a request, None if it is not a suspect."""
        return self._suspects.get(fingerprint)

    def items(self) -> Iterator[tuple[bytes, Suspect]]:
        """Iterate over the suspects by fingerprint."""
        yield from self._suspects.items()

    def _add(self, fingerprint: bytes, body_size: int, now: float) -> Suspect:
        if len(self._suspects) >= c.MAX_SUSPECTS:
            self._remove(min(self._suspects, key=self._compute_retention_rank))
        suspect = self._suspects[fingerprint] = Suspect(body_size, now)
        self._size_counts[body_size] += 1
        return suspect

    def _update_refused(self, fingerprint: bytes) -> None:
        if len(self._suspects[fingerprint].uncleared_targets) >= c.REFUSE_AFTER_CRASHES:
            self._refused.add(fingerprint)
        else:
            self._refused.discard(fingerprint)

    def _compute_retention_rank(self, fingerprint: bytes) -> tuple[int, float]:
        suspect = self._suspects[fingerprint]
        return len(suspect.uncleared_targets), suspect.last_activity_at

    def _remove(self, fingerprint: bytes) -> None:
        self._refused.discard(fingerprint)
        size = self._suspects.pop(fingerprint).body_size
        self._size_counts[size] -= 1
        if not self._size_counts[size]:
            del self._size_counts[size]


def mark_target(target: int, is_isolated: bool) -> int:
    """Return the number of a crashed target as it is sent to other hosts."""
    return target | ISOLATED_MARK if is_isolated else target


def unmark_target(number: int) -> int:
    """Return the number of a crashed target that another host has sent."""
    return number & ~ISOLATED_MARK


def _pack_seconds(seconds: float) -> int:
    return int(max(0.0, seconds) * MILLISECONDS)


def _compute_severity(targets: int) -> int:
    """Return 2 if a request is refused, 1 if it is tried alone, else 0."""
    return (targets >= c.RUN_ALONE_AFTER_CRASHES) + (targets >= c.REFUSE_AFTER_CRASHES)
