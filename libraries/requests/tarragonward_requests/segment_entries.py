"""Records of prompt segments under which targets crashed, and their wire format."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field, replace
from itertools import pairwise
from typing import Any

from . import const as c
from .fingerprints import FINGERPRINT_BYTES

__all__ = ["SegmentCrash", "SegmentEntry", "SuspectSegment"]

MILLISECONDS = 1_000
MAX_INTEGER = 1 << 62
NEVER = float("-inf")
# Stands for a segment that was never answered.
NO_ANSWER = -1


@dataclass(frozen=True)
class SegmentCrash:
    """The crash of one target while it ran a prompt with a segment.

    sent_at and crashed_at are in seconds of the host's clock, account is a hash of the
    client account that sent the prompt, and is_cleared tells whether a later answer has
    cleared the segment.
    """

    sent_at: float
    crashed_at: float
    account: int
    is_cleared: bool = False


@dataclass(frozen=True)
class SegmentEntry:
    """Gossip between hosts about one segment; all times are ages in seconds.

    crashes has the crashes by target, with ages for times. idle_seconds is the
    time since any host saw a crash, an answer or a refusal, attempt_seconds how much
    longer an isolated attempt may take, and answered_seconds the time since a prompt
    with the segment was answered, None if no host knows of an answer.
    """

    fingerprint: bytes
    crashes: dict[int, SegmentCrash]
    idle_seconds: float
    attempt_seconds: float = 0.0
    answered_seconds: float | None = None

    def pack(self) -> tuple[Any, ...]:
        """Return the entry in wire format, with times in milliseconds."""
        crashes = [
            (
                target,
                _pack_seconds(each.crashed_at),
                _pack_seconds(each.sent_at - each.crashed_at),
                each.account,
                each.is_cleared,
            )
            for target, each in self.crashes.items()
        ]
        answered = self.answered_seconds
        return (
            self.fingerprint,
            crashes,
            _pack_seconds(self.idle_seconds),
            _pack_seconds(self.attempt_seconds),
            NO_ANSWER if answered is None else _pack_seconds(answered),
        )

    @classmethod
    def unpack(cls, item: Any) -> SegmentEntry:
        """Parse the result of pack(); raise ValueError if it is malformed."""
        fingerprint, crashes, idle, attempt, answered = item
        if type(fingerprint) is not bytes or len(fingerprint) != FINGERPRINT_BYTES:
            raise ValueError("fingerprint has the wrong type or length")
        if len(crashes) > c.MAX_CRASHES_PER_SEGMENT:
            raise ValueError("too many crashes")
        by_target = {}
        for target, age, taken, account, is_cleared in crashes:
            _check_numbers(target, age, taken, account)
            crashed = age / MILLISECONDS
            sent = crashed + taken / MILLISECONDS
            by_target[target] = SegmentCrash(sent, crashed, account, bool(is_cleared))
        _check_numbers(idle, attempt, answered + 1)
        return cls(
            fingerprint,
            by_target,
            idle / MILLISECONDS,
            min(attempt / MILLISECONDS, c.ISOLATED_ATTEMPT_SECONDS),
            None if answered == NO_ANSWER else answered / MILLISECONDS,
        )


@dataclass
class SuspectSegment:
    """A segment of prompts under which targets crashed; times in seconds of a clock."""

    last_activity_at: float
    # By target, in the order in which they became known.
    crashes: dict[int, SegmentCrash] = field(default_factory=dict)
    attempt_until: float = NEVER
    # The crashes that were known to the host that tries when its attempt began.
    known_at_attempt: frozenset[int] = frozenset()
    # When this host itself last saw a target crash under such a prompt.
    last_local_crash_at: float = NEVER
    # When any host last had a complete answer to such a prompt.
    answered_at: float = NEVER
    # Whether most of the prompts that this host has had of late hold it.
    is_common: bool = False
    # Whether all hosts should know of it; it stays so, as they should know of its end.
    is_public: bool = False

    @property
    def uncleared(self) -> dict[int, SegmentCrash]:
        """Return the crashes, by target, that no answer has cleared it of."""
        return {t: crash for t, crash in self.crashes.items() if not crash.is_cleared}

    @property
    def is_established(self) -> bool:
        """Return whether it is more likely beside the cause than the cause.

        It is held by most prompts, or was answered shortly before its crashes or since.
        """
        return self.is_common or self.was_answered

    @property
    def was_answered(self) -> bool:
        """Return whether it was answered shortly before its crashes or since."""
        times = [crash.crashed_at for crash in self.uncleared.values()]
        first = min(times, default=self.last_activity_at)
        return self.answered_at > first - c.ANSWERED_HISTORY_SECONDS

    def compute_attempt_end(self) -> float:
        """Return until when other hosts wait for an isolated attempt, in seconds.

        A new crash under a prompt that was sent since the attempt began is its result.
        """
        began_at = self.attempt_until - c.ISOLATED_ATTEMPT_SECONDS
        # The message that told of its begin may have taken longer than that of its end.
        began_at -= c.MAX_MESSAGE_DELAY_SECONDS
        has_crashed = any(
            crash.sent_at >= began_at and target not in self.known_at_attempt
            for target, crash in self.crashes.items()
        )
        return NEVER if has_crashed else self.attempt_until

    def record_attempt(self, until: float, known_crashes: Collection[int]) -> None:
        """Record that a host tries it alone until a time, at which crashes it knew."""
        if until > self.attempt_until:
            self.attempt_until = until
            self.known_at_attempt = frozenset(known_crashes)

    @property
    def expires_at(self) -> float:
        """Return when the record expires without further activity."""
        count = self.count_crashes()
        if not count:
            return self.last_activity_at + c.CLEARED_RETENTION_SECONDS
        if count < c.REFUSE_AFTER_CRASHES:
            return self.last_activity_at + c.SUSPECT_RETENTION_SECONDS
        return self.last_activity_at + c.REFUSED_RETENTION_SECONDS

    def record_crash(self, target: int, crash: SegmentCrash) -> None:
        """Add the crash of a target; each target counts once."""
        known = self.crashes.get(target)
        if known is not None:
            self.crashes[target] = SegmentCrash(
                min(known.sent_at, crash.sent_at),
                min(known.crashed_at, crash.crashed_at),
                known.account,
                known.is_cleared or crash.is_cleared,
            )
            return
        if len(self.crashes) >= c.MAX_CRASHES_PER_SEGMENT:
            del self.crashes[self._choose_evicted()]
        self.crashes[target] = crash

    def _choose_evicted(self) -> int:
        """Return the oldest cleared crash, else the one that adds least to the count.

        Of crashes that came together one is enough: if the oldest were evicted, a
        segment that crashes many targets would count fewer than those beside it.
        """
        for target, crash in self.crashes.items():
            if crash.is_cleared:
                return target
        ordered = sorted(self.crashes, key=lambda t: self.crashes[t].crashed_at)
        times = [self.crashes[target].crashed_at for target in ordered]
        gaps = [later - earlier for earlier, later in pairwise(times)]
        return ordered[1 + gaps.index(min(gaps))]

    def clear_until(self, time: float) -> bool:
        """Clear the segment of the crashes up to a time; return if there were any."""
        has_cleared = False
        for target, crash in self.uncleared.items():
            if crash.crashed_at <= time:
                self.crashes[target] = replace(crash, is_cleared=True)
                has_cleared = True
        return has_cleared

    def count_failed_trials(self) -> int:
        """Return how many crashes came under prompts sent long after the one before."""
        crashes = sorted(
            (crash.crashed_at, crash.sent_at) for crash in self.uncleared.values()
        )
        return sum(
            sent_at >= before + c.ANSWERED_SEGMENT_TRIAL_SECONDS
            for (before, _), (_, sent_at) in pairwise(crashes)
        )

    def count_crashes(self, targets: Collection[int] | None = None) -> int:
        """Return how many uncleared crashes, of these targets, came apart.

        Targets that crash at about the same time, as in a power loss, count as one,
        unless the prompt was sent to one after the other had crashed.
        """
        count, last = 0, NEVER
        crashes = (
            (crash.crashed_at, crash.sent_at)
            for target, crash in self.uncleared.items()
            if targets is None or target in targets
        )
        for crashed_at, sent_at in sorted(crashes):
            if sent_at >= last or crashed_at > last + c.MASS_CRASH_SECONDS:
                count, last = count + 1, crashed_at
        return count


def _check_numbers(*numbers: Any) -> None:
    if not all(type(number) is int and 0 <= number < MAX_INTEGER for number in numbers):
        raise ValueError("number is not an integer or out of range")


def _pack_seconds(seconds: float) -> int:
    return int(max(0.0, seconds) * MILLISECONDS)
