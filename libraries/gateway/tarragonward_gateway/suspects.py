"""Track what crashes targets, and decide how such requests are sent."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from functools import cached_property
from typing import Any, Protocol

from tarragonward_core import log_event
from tarragonward_membership import hash_name
from tarragonward_requests import (
    CrashSuspects,
    PromptContext,
    SegmentTracker,
    SendVerdict,
    SuspectTracker,
    Verdict,
    fingerprint_request,
    fingerprint_segments,
    parse_segments,
)
from tarragonward_routes import Account
from tarragonward_wire import HttpRequest

from .choices import SendChoice
from .clock import read_clock
from .probes import TargetProber
from .state import GatewayState

__all__ = ["UNKNOWN", "RequestIdentity", "SuspectMonitor"]

HOST = "host"
MAX_LOGGED_SEGMENTS = 8
NEVER = "never"
# What a lost connection was caused by.
CRASH = "crash"
LINK_FAULT = "link_fault"
TARGET_CONNECTED = "target_connected"
UNKNOWN = "unknown"
SEPARATOR = ","


class ChangeListener(Protocol):
    """Called with a suspect that other hosts should learn of, soon if it is urgent."""

    def __call__(self, fingerprint: bytes, is_urgent: bool = True) -> None:
        """Handle the change."""


class RequestIdentity:
    """Identifies a request and what it shares with others, as far as it is needed."""

    def __init__(
        self,
        request: HttpRequest,
        account: Account | None,
        service: str = "",
        segment_ids: str = "",
    ) -> None:
        self._request = request
        self._account = account.name if account is not None else ""
        self._service = service
        self._segment_ids = segment_ids
        self.body_size = len(request.body)

    @cached_property
    def fingerprint(self) -> bytes:
        """The fingerprint that the request's repeats have, too."""
        request = self._request
        return fingerprint_request(
            self._account,
            request.method,
            request.headers.get(HOST, ""),
            request.target,
            request.body,
        )

    @cached_property
    def segments(self) -> tuple[bytes, ...]:
        """The fingerprints of the prompt segments that other requests share."""
        ids = parse_segments(self._segment_ids)
        return fingerprint_segments(self._service, ids)

    @property
    def account(self) -> int:
        """A hash of the client account."""
        return hash_name(self._account)


class SuspectMonitor:
    """Records crashes in this host's trackers of requests and of prompt segments.

    on_change and on_segment_change are called with the suspects that other hosts should
    learn of.
    """

    def __init__(self, state: GatewayState, probes: TargetProber) -> None:
        self.suspects = CrashSuspects()
        # Whether this host receives nothing from any other host.
        self.is_isolated: Callable[[], bool] = lambda: False
        # By how many seconds this host's trials of a segment follow those of others.
        self.get_trial_delay: Callable[[bytes], float] = lambda segment: 0.0
        self.on_change: list[ChangeListener] = []
        self.on_segment_change: list[ChangeListener] = []
        self._state = state
        self._probes = probes

    @property
    def tracker(self) -> SuspectTracker:
        """Return the requests under which targets crashed."""
        return self.suspects.requests

    @property
    def segments(self) -> SegmentTracker:
        """Return the prompt segments under which targets crashed."""
        return self.suspects.segments

    def record_admitted(self, identity: RequestIdentity) -> None:
        """Record a request that is not refused for what it may do to targets."""
        self.suspects.segments.record_prompt(identity.segments)

    def evaluate(self, identity: RequestIdentity) -> SendVerdict:
        """Return whether and how a request may be sent."""
        return self.suspects.evaluate(
            identity, read_clock(), self.is_isolated(), self.get_trial_delay
        )

    def describe_send(
        self, identity: RequestIdentity, verdict: SendVerdict
    ) -> dict[str, Any]:
        """Return what is known of a request that is sent, for logs; empty if nothing.

        A send of a request under which targets have crashed is counted.
        """
        evidence = self.suspects.get_evidence(identity)
        if not evidence.known:
            return {}
        self._state.metrics.count("suspect_sends", verdict.verdict.value)
        return {
            "fingerprint": identity.fingerprint.hex(),
            "suspicion": verdict.verdict.value,
            "crashes_known": evidence.known,
            "crashes_counted": evidence.counted,
            "crashes_cleared": evidence.cleared,
        }

    async def async_record_lost(
        self,
        identity: RequestIdentity,
        choice: SendChoice,
        verdict: SendVerdict,
        is_link_fault: bool,
    ) -> str:
        """Record a crash if the target that lost the connection has ended.

        verdict is the one by which the request was sent. Return the cause of the loss.
        """
        cause = LINK_FAULT
        if not is_link_fault:
            cause = await self._async_find_cause(identity, choice, verdict)
        self._state.metrics.count("lost_connections", cause)
        return cause

    async def _async_find_cause(
        self, identity: RequestIdentity, choice: SendChoice, verdict: SendVerdict
    ) -> str:
        target = choice.target
        # A target that accepts a new connection has not crashed. Counting it would turn
        # all requests on an unreliable link into suspects.
        if not await self._probes.async_has_ended(target):
            return TARGET_CONNECTED
        fingerprint, now = identity.fingerprint, read_clock()
        described = self._describe_segments(identity.segments, now)
        sent_at = now if choice.sent_at is None else choice.sent_at
        number = hash_name(target.id)
        segments = self.suspects.record_crash(identity, number, sent_at, now, verdict)
        self._state.metrics.count("requests_lost_in_crashes")
        log_event(
            "crash_noted",
            target=target.id,
            fingerprint=fingerprint.hex(),
            targets=self.tracker.count(fingerprint),
            known=self.tracker.get_evidence(fingerprint).known,
            has_events=choice.answer_began_at is not None,
            segments=described,
        )
        _notify(self.on_change, [fingerprint])
        _notify(self.on_segment_change, segments)
        return CRASH

    def record_answered(
        self, identity: RequestIdentity, began_at: float | None, status: int
    ) -> None:
        """Record that a target answered a request completely, with a status.

        began_at is when the answer to a prompt began, or when the prompt was sent; None
        if the target refused it or had nothing left to answer.
        """
        cleared = self.suspects.record_answered(identity, began_at, read_clock())
        self._report_cleared(cleared.segments)
        if cleared.is_request:
            log_event(
                "suspect_acquitted",
                fingerprint=identity.fingerprint.hex(),
                status=status,
                has_begun=began_at is not None,
            )
            _notify(self.on_change, [identity.fingerprint])

    def record_steady_stream(self, identity: RequestIdentity, began_at: float) -> None:
        """Record a stream that has gone on for a while since its first event."""
        self._report_cleared(
            self.suspects.record_steady_stream(identity, began_at, read_clock())
        )

    def record_refused(self, identity: RequestIdentity, verdict: SendVerdict) -> None:
        """Record that a request was refused because it crashed targets."""
        self._state.metrics.count("requests_blamed")
        if verdict.segments:
            self._state.metrics.count("prompts_refused_by_segment")
        self._log_withheld(identity, verdict)
        self.suspects.record_refused(identity, verdict, read_clock())

    def record_deferred(self, identity: RequestIdentity, verdict: SendVerdict) -> None:
        """Record that a request has to wait until it may be tried."""
        self._log_withheld(identity, verdict)
        self.suspects.record_deferred(identity, verdict, read_clock())

    def _log_withheld(self, identity: RequestIdentity, verdict: SendVerdict) -> None:
        """Log why a request is not sent, since when and until when."""
        now = read_clock()
        withholding = self.suspects.describe_withholding(identity, verdict, now)
        self._state.metrics.count("requests_withheld", verdict.verdict.value)
        log_event(
            "request_withheld",
            fingerprint=identity.fingerprint.hex(),
            verdict=verdict.verdict.value,
            segments=SEPARATOR.join(each.hex() for each in verdict.segments),
            crashes_known=withholding.evidence.known,
            crashes_counted=withholding.evidence.counted,
            last_crash_seconds=withholding.last_crash_seconds,
            wait_seconds=verdict.wait_seconds,
        )

    def has_become_suspect(
        self, identity: RequestIdentity, verdict: SendVerdict
    ) -> bool:
        """Return whether a request may no longer be sent by an earlier verdict."""
        # This host's own isolated attempt is what makes all others wait.
        is_isolated = verdict.verdict is Verdict.ALONE
        return not is_isolated and self.evaluate(identity).verdict is not Verdict.CLEAR

    @contextmanager
    def isolated_attempt(
        self, identity: RequestIdentity, verdict: SendVerdict
    ) -> Iterator[None]:
        """Announce to the other hosts that this one is trying a suspect request."""
        self.suspects.begin_isolated_attempt(identity, verdict, read_clock())
        _notify(self.on_segment_change, verdict.segments)
        _notify(self.on_change, [identity.fingerprint])
        try:
            yield
        finally:
            self.suspects.end_isolated_attempt(identity, verdict)

    def clear(self, fingerprint: bytes) -> bool:
        """Clear a suspect at all hosts, as an operator asks; return if it existed."""
        now = read_clock()
        is_request = self.tracker.clear(fingerprint, now)
        is_segment = self.segments.clear(fingerprint, now)
        if is_request:
            _notify(self.on_change, [fingerprint])
        if is_segment:
            _notify(self.on_segment_change, [fingerprint])
        if is_request or is_segment:
            log_event("suspect_lifted", fingerprint=fingerprint.hex())
        return is_request or is_segment

    def describe(self) -> list[dict[str, Any]]:
        """Return the suspects for operators, those with the most crashes first."""
        now = read_clock()
        known = [
            {
                "kind": "request",
                "fingerprint": fingerprint.hex(),
                "body_bytes": suspect.body_size,
                "targets_ended": len(suspect.uncleared_targets),
                "verdict": self.tracker.evaluate(fingerprint, now).value,
                "idle_seconds": round(now - suspect.last_activity_at, 1),
            }
            for fingerprint, suspect in self.tracker.items()
        ]
        known += [self._describe_segment(segment, now) for segment in self.segments]
        return sorted(known, key=lambda one: -one["targets_ended"])

    def _describe_segment(self, segment: bytes, now: float) -> dict[str, Any]:
        suspect = self.segments.get(segment)
        assert suspect is not None
        accounts = [crash.account for crash in suspect.uncleared.values()]
        account = accounts[0] if accounts else 0
        verdict = self.segments.evaluate(PromptContext((segment,), account, now))
        answered_at = self.segments.get_answered_at(segment)
        return {
            "kind": "segment",
            "fingerprint": segment.hex(),
            "targets_ended": len(suspect.uncleared),
            "accounts": len(set(accounts)),
            "verdict": verdict.verdict.value,
            "idle_seconds": round(now - suspect.last_activity_at, 1),
            "answered_seconds": (
                None if answered_at is None else round(now - answered_at, 1)
            ),
        }

    def _describe_segments(self, segments: tuple[bytes, ...], now: float) -> str:
        """Return the segments with the seconds since each was last answered."""
        described = []
        for segment in segments[:MAX_LOGGED_SEGMENTS]:
            answered_at = self.segments.get_answered_at(segment)
            age = NEVER if answered_at is None else f"{now - answered_at:.1f}"
            described.append(f"{segment.hex()}:{age}")
        return SEPARATOR.join(described)

    def _report_cleared(self, segments: Iterable[bytes]) -> None:
        for segment in segments:
            log_event("segment_cleared", segment=segment.hex())
            # Many hosts have such an answer at about the same time.
            _notify(self.on_segment_change, [segment], is_urgent=False)


def _notify(
    listeners: Iterable[ChangeListener],
    fingerprints: Iterable[bytes],
    is_urgent: bool = True,
) -> None:
    for fingerprint in fingerprints:
        for notify in listeners:
            notify(fingerprint, is_urgent)
