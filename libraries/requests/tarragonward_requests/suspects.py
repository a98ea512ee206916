"""Decide which requests crash the targets that run them, by what all hosts saw."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from . import const as c
from .fingerprints import FINGERPRINT_BYTES

__all__ = ["Suspect", "SuspectEntry", "SuspectTracker", "Verdict"]

MILLISECONDS = 1_000
MAX_INTEGER = 1 << 62
NEVER = float("-inf")


class Verdict(Enum):
    """What may be done with a request."""

    CLEAR = "clear"
    # Sent to one target at a time, where nothing else is in progress.
    ALONE = "alone"
    # Another host tries it just now, or may know more of it.
    LATER = "later"
    REFUSED = "refused"


@dataclass(frozen=True)
class SuspectEntry:
    """What one host tells another of a request; times are in seconds.

    crashes has a number for each target that crashed while running the request; cleared
    is the subset that a complete answer has cleared the request of. idle_seconds is the
    time since any host saw a crash, an answer or a refusal of the request.
    """

    fingerprint: bytes
    body_size: int
    crashes: tuple[int, ...]
    cleared: tuple[int, ...]
    idle_seconds: float
    attempt_seconds: float = 0.0

    def pack(self) -> tuple[Any, ...]:
        """Return the entry as it travels."""
        idle, attempt = (
            _pack_seconds(self.idle_seconds),
            _pack_seconds(self.attempt_seconds),
        )
        targets = list(self.crashes), list(self.cleared)
        return self.fingerprint, self.body_size, *targets, idle, attempt

    @classmethod
    def unpack(cls, item: Any) -> SuspectEntry:
        """Return the entry that pack() gave; raise ValueError if it is not one."""
        fingerprint, size, crashes, cleared, idle, attempt = item
        if type(fingerprint) is not bytes or len(fingerprint) != FINGERPRINT_BYTES:
            raise ValueError("not a fingerprint")
        numbers = (size, idle, attempt, *crashes, *cleared)
        if not all(type(n) is int and 0 <= n < MAX_INTEGER for n in numbers):
            raise ValueError("a number is not one")
        if len(crashes) > c.MAX_CRASHES_PER_SUSPECT or not set(cleared) <= set(crashes):
            raise ValueError("not the targets that ended")
        return cls(
            fingerprint,
            size,
            tuple(crashes),
            tuple(cleared),
            idle / MILLISECONDS,
            min(attempt / MILLISECONDS, c.ISOLATED_ATTEMPT_SECONDS),
        )


@dataclass
class Suspect:
    """A request under which targets ended; times are the ledger's, in seconds.

    What it was cleared of is kept by target, not by time: ages that hosts tell each
    other again and again drift, and a request would be cleared of later crashes.
    """

    body_size: int
    last_activity_at: float
    # In the order in which they became known; the values say which were cleared.
    crashes: dict[int, bool] = field(default_factory=dict)
    attempt_until: float = NEVER
    # When this host itself last saw a target end under it.
    last_local_crash_at: float = NEVER

    @property
    def uncleared_targets(self) -> frozenset[int]:
        """Return the targets that ended under it and that no answer cleared it of."""
        return frozenset(t for t, cleared in self.crashes.items() if not cleared)

    def record_crash(self, target: int) -> None:
        """Count a target that ended, once."""
        if target in self.crashes:
            return
        if len(self.crashes) >= c.MAX_CRASHES_PER_SUSPECT:
            oldest = max(self.crashes, key=self.crashes.__getitem__)
            del self.crashes[oldest]
        self.crashes[target] = False

    def clear(self, targets: Iterable[int]) -> None:
        """Clear it of these targets."""
        self.crashes.update(dict.fromkeys(set(targets) & self.crashes.keys(), True))

    @property
    def expires_at(self) -> float:
        """Return when it is forgotten, unless it is seen again."""
        count = len(self.uncleared_targets)
        if not count:
            return self.last_activity_at + c.CLEARED_RETENTION_SECONDS
        if count < c.REFUSE_AFTER_CRASHES:
            return self.last_activity_at + c.SUSPECT_RETENTION_SECONDS
        return self.last_activity_at + c.REFUSED_RETENTION_SECONDS


class SuspectTracker:
    """The requests under which targets ended, by fingerprint; times in seconds.

    All that is in progress at a target that ends is suspected, so one crash says
    little. A request that ends target after target is refused after the third; any
    whole answer acquits it, as a request that crashes what runs it never has one.
    What hosts tell each other is united, so that order, loss and doubling of messages
    change nothing but the time until all know. Memory is bounded: what has the fewest
    crashes, and of that the oldest, is forgotten first.
    """

    def __init__(self) -> None:
        self._suspects: dict[bytes, Suspect] = {}
        self._size_counts: Counter[int] = Counter()
        # Those that enough targets have ended under to be refused.
        self._refused: set[bytes] = set()

    def __len__(self) -> int:
        """Return how many requests are known."""
        return len(self._suspects)

    def may_contain(self, body_size: int) -> bool:
        """Return whether a request with a body of so many bytes may be known."""
        return self._size_counts[body_size] > 0

    def evaluate(
        self, fingerprint: bytes, now: float, is_host_isolated: bool = False
    ) -> Verdict:
        """Return what may be done with a request.

        A host that is isolated counts for itself alone. Where several of a fleet are,
        each of them would let a request end three more targets, so one crash is enough
        to make it rest there.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Verdict.CLEAR
        count = self.count(fingerprint)
        if count >= c.REFUSE_AFTER_CRASHES:
            return Verdict.REFUSED
        if (
            count
            and is_host_isolated
            and now < suspect.last_local_crash_at + c.ISOLATED_HOST_RETRY_DELAY_SECONDS
        ):
            return Verdict.LATER
        if count < c.RUN_ALONE_AFTER_CRASHES:
            return Verdict.CLEAR
        return Verdict.LATER if now < suspect.attempt_until else Verdict.ALONE

    def count(self, fingerprint: bytes) -> int:
        """Return how many targets a request has ended, others' victims left out.

        Symptom, were those counted: what was beside the request that crashes targets,
        and came again beside it, is refused with it.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0
        targets = suspect.uncleared_targets
        explained: set[int] = set()
        for refused in self._refused:
            others = self._suspects[refused].uncleared_targets
            if len(others) > len(targets):
                explained |= others
        return len(targets - explained)

    def get_wait_seconds(
        self, fingerprint: bytes, now: float, is_host_isolated: bool = False
    ) -> float:
        """Return for how long a request that is judged LATER has to wait."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0.0
        until = suspect.attempt_until
        if is_host_isolated:
            until = max(
                until, suspect.last_local_crash_at + c.ISOLATED_HOST_RETRY_DELAY_SECONDS
            )
        return max(0.0, until - now)

    def record_crash(
        self, fingerprint: bytes, body_size: int, target: int, now: float
    ) -> None:
        """Note that a target ended under a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._add(fingerprint, body_size, now)
        suspect.record_crash(target)
        suspect.last_local_crash_at = now
        suspect.last_activity_at = max(now, suspect.last_activity_at)
        self._update_refused(fingerprint)

    def record_answered(self, fingerprint: bytes, now: float) -> bool:
        """Acquit a request that had a whole answer; return whether it was suspected."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.uncleared_targets:
            return False
        suspect.clear(suspect.uncleared_targets)
        suspect.last_activity_at = max(now, suspect.last_activity_at)
        suspect.attempt_until = NEVER
        self._update_refused(fingerprint)
        return True

    def record_refused(self, fingerprint: bytes, now: float) -> None:
        """Note that a request was refused: it is asked still, so not forgotten."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.last_activity_at = max(now, suspect.last_activity_at)

    def begin_isolated_attempt(self, fingerprint: bytes, now: float) -> None:
        """Note that this host tries a request now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.attempt_until = now + c.ISOLATED_ATTEMPT_SECONDS

    def end_isolated_attempt(self, fingerprint: bytes) -> None:
        """Note that the trial is over."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.attempt_until = NEVER

    def build_entry(self, fingerprint: bytes, now: float) -> SuspectEntry | None:
        """Return what is known of a request, as it is told to other hosts."""
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
        )

    def merge(self, entry: SuspectEntry, now: float, age: float = 0.0) -> bool:
        """Take in what another host told, so many seconds ago.

        Return whether both together know enough for a verdict that neither had.
        """
        suspect = self._suspects.get(entry.fingerprint)
        at = now - age
        if suspect is None:
            suspect = self._add(
                entry.fingerprint, entry.body_size, at - entry.idle_seconds
            )
        before = len(suspect.uncleared_targets)
        for target in entry.crashes:
            suspect.record_crash(target)
        suspect.clear(entry.cleared)
        suspect.last_activity_at = max(
            suspect.last_activity_at, at - entry.idle_seconds
        )
        if entry.attempt_seconds > age:
            suspect.attempt_until = max(
                suspect.attempt_until, at + entry.attempt_seconds
            )
        self._update_refused(entry.fingerprint)
        # Only a new verdict: two hosts that keep different ones of many targets would
        # tell each other, and all others, for good.
        told = len(entry.crashes) - len(entry.cleared)
        return _compute_severity(len(suspect.uncleared_targets)) > max(
            _compute_severity(before), _compute_severity(told)
        )

    def clear(self, fingerprint: bytes, now: float) -> bool:
        """Forget, at an operator's word, all crashes so far; return whether it did."""
        return self.record_answered(fingerprint, now)

    def expire(self, now: float) -> None:
        """Forget what was not seen for long."""
        expired = [f for f, known in self._suspects.items() if known.expires_at <= now]
        for fingerprint in expired:
            self._remove(fingerprint)

    def get(self, fingerprint: bytes) -> Suspect | None:
        """Return what is known of a request, None for nothing."""
        return self._suspects.get(fingerprint)

    def items(self) -> Iterator[tuple[bytes, Suspect]]:
        """Give what is known, by fingerprint."""
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


def _pack_seconds(seconds: float) -> int:
    return int(max(0.0, seconds) * MILLISECONDS)


def _compute_severity(targets: int) -> int:
    """Return 1 where a request is tried alone, 2 where it is refused, else 0."""
    return (targets >= c.RUN_ALONE_AFTER_CRASHES) + (targets >= c.REFUSE_AFTER_CRASHES)
