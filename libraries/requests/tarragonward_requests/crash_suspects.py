"""Decide how requests are sent that may crash their targets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .segment_suspects import SegmentTracker
from .segment_verdicts import STRICTNESS, PromptContext
from .suspects import CrashEvidence, SuspectTracker, Verdict

__all__ = [
    "ClearedSuspects",
    "CrashSuspects",
    "SendVerdict",
    "SuspectIdentity",
    "Withholding",
]


class SuspectIdentity(Protocol):
    """What tells a request from others, and what it shares with them.

    body_size is in bytes; account is a hash of the client account; segments are the
    fingerprints of the prompt segments that other requests share.
    """

    @property
    def body_size(self) -> int:
        """The size of the body."""

    @property
    def fingerprint(self) -> bytes:
        """The fingerprint that the request's repeats have, too; may take a while."""

    @property
    def segments(self) -> tuple[bytes, ...]:
        """The fingerprints of the shared segments."""

    @property
    def account(self) -> int:
        """A hash of the client account."""


@dataclass(frozen=True)
class SendVerdict:
    """How a request may be sent; segments are those of its prompt that are the cause.

    wait_seconds is how long a request with the verdict LATER has to wait.
    """

    verdict: Verdict = Verdict.CLEAR
    wait_seconds: float = 0.0
    segments: tuple[bytes, ...] = ()


@dataclass(frozen=True)
class ClearedSuspects:
    """What an answer has cleared: the request itself, and segments of its prompt."""

    is_request: bool = False
    segments: tuple[bytes, ...] = ()


@dataclass(frozen=True)
class Withholding:
    """Why a request is not sent: its crashes, or those of a segment of its prompt.

    last_crash_seconds is the time since the last of these crashes that this host knows.
    """

    evidence: CrashEvidence
    last_crash_seconds: float


CLEAR = SendVerdict()


class CrashSuspects:
    """The requests, and the segments of prompts, under which targets crashed.

    Times are in seconds of one clock.
    """

    def __init__(self) -> None:
        self.requests = SuspectTracker()
        self.segments = SegmentTracker()

    def evaluate(
        self,
        identity: SuspectIdentity,
        now: float,
        is_host_isolated: bool = False,
        get_trial_delay: Callable[[bytes], float] = lambda segment: 0.0,
    ) -> SendVerdict:
        """Return the stricter verdict on a request and on the segments of its prompt.

        get_trial_delay is as in PromptContext.
        """
        by_request = self._evaluate_request(
            identity, now, is_host_isolated, get_trial_delay
        )
        if not len(self.segments):
            return by_request
        is_known = self.requests.may_contain(identity.body_size)
        own = identity.fingerprint if is_known else None
        found = self.segments.evaluate(
            PromptContext(
                identity.segments,
                identity.account,
                now,
                is_host_isolated,
                self.requests.get_refused_crashes(own),
                get_trial_delay,
            )
        )
        if STRICTNESS.index(by_request.verdict) > STRICTNESS.index(found.verdict):
            return by_request
        return SendVerdict(found.verdict, found.wait_seconds, found.segments)

    def get_evidence(self, identity: SuspectIdentity) -> CrashEvidence:
        """Return the crashes that are known of a request."""
        if not self.requests.may_contain(identity.body_size):
            return CrashEvidence()
        explained = self.segments.get_explained_targets(identity.segments)
        return self.requests.get_evidence(identity.fingerprint, explained)

    def describe_withholding(
        self, identity: SuspectIdentity, verdict: SendVerdict, now: float
    ) -> Withholding:
        """Return what a verdict against a request rests on."""
        if not verdict.segments:
            suspect = self.requests.get(identity.fingerprint)
            last = suspect.last_crash_at if suspect is not None else now
            return Withholding(self.get_evidence(identity), now - last)
        known = [self.segments.get(each) for each in verdict.segments]
        worst = max(filter(None, known), key=lambda each: len(each.uncleared))
        last = max(crash.crashed_at for crash in worst.uncleared.values())
        evidence = CrashEvidence(len(worst.uncleared), worst.count_crashes())
        return Withholding(evidence, now - last)

    def record_crash(
        self,
        identity: SuspectIdentity,
        target: int,
        sent_at: float,
        now: float,
        verdict: SendVerdict = CLEAR,
    ) -> tuple[bytes, ...]:
        """Record that a target crashed during a request; return the segments.

        sent_at is when the request was sent to the target, by this verdict.
        """
        is_isolated = verdict.verdict is Verdict.ALONE
        self.requests.record_crash(
            identity.fingerprint, identity.body_size, target, now, is_isolated
        )
        return self.segments.record_crash(
            identity.segments, identity.account, target, sent_at, now
        )

    def record_deferred(
        self, identity: SuspectIdentity, verdict: SendVerdict, now: float
    ) -> None:
        """Record that a request has to wait until it may be tried."""
        if verdict.verdict is Verdict.LATER:
            self.requests.record_deferred(identity.fingerprint, now)

    def record_answered(
        self, identity: SuspectIdentity, began_at: float | None, now: float
    ) -> ClearedSuspects:
        """Record a complete answer, and return what it has cleared.

        began_at is when the answer to a prompt began, or when the prompt was sent; None
        if the target refused it or had nothing left to answer.
        """
        segments: tuple[bytes, ...] = ()
        if began_at is not None:
            segments = self.segments.record_answered(identity.segments, began_at, now)
        is_request = self.requests.may_contain(identity.body_size) and (
            self.requests.record_answered(identity.fingerprint, now)
        )
        return ClearedSuspects(is_request, segments)

    def record_steady_stream(
        self, identity: SuspectIdentity, began_at: float, now: float
    ) -> tuple[bytes, ...]:
        """Record a stream that goes on long after it began; return what is cleared."""
        if not len(self.segments):
            return ()
        return self.segments.record_steady_stream(identity.segments, began_at, now)

    def record_refused(
        self, identity: SuspectIdentity, verdict: SendVerdict, now: float
    ) -> None:
        """Record that a request was refused, so that its record is kept."""
        if verdict.segments:
            self.segments.record_refused(verdict.segments, now)
        else:
            self.requests.record_refused(identity.fingerprint, now)

    def begin_isolated_attempt(
        self, identity: SuspectIdentity, verdict: SendVerdict, now: float
    ) -> None:
        """Record that this host is trying a suspect request alone on a target."""
        for segment in verdict.segments:
            self.segments.begin_isolated_attempt(segment, now)
        self.requests.begin_isolated_attempt(identity.fingerprint, now)

    def end_isolated_attempt(
        self, identity: SuspectIdentity, verdict: SendVerdict
    ) -> None:
        """Record that the isolated attempt has ended."""
        for segment in verdict.segments:
            self.segments.end_isolated_attempt(segment)
        self.requests.end_isolated_attempt(identity.fingerprint)

    def expire(self, now: float) -> None:
        """Remove suspects without recent activity."""
        self.requests.expire(now)
        self.segments.expire(now)

    def _evaluate_request(
        self,
        identity: SuspectIdentity,
        now: float,
        is_host_isolated: bool,
        get_trial_delay: Callable[[bytes], float],
    ) -> SendVerdict:
        if not self.requests.may_contain(identity.body_size):
            return CLEAR
        fingerprint = identity.fingerprint
        if self.requests.get(fingerprint) is None:
            return CLEAR
        explained = self.segments.get_explained_targets(identity.segments)
        delay = get_trial_delay(fingerprint)
        verdict = self.requests.evaluate(
            fingerprint, now, is_host_isolated, explained, delay
        )
        wait = self.requests.get_wait_seconds(fingerprint, now, is_host_isolated, delay)
        return SendVerdict(verdict, wait)
