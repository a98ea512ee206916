"""Track the requests that crash targets, and decide how such suspects are sent."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import cached_property
from typing import Any

from tarragonward_core import log_event
from tarragonward_membership import RegisteredTarget, hash_name
from tarragonward_requests import (
    AnsweredSegments,
    SuspectTracker,
    Verdict,
    fingerprint_request,
    fingerprint_segments,
    parse_segments,
)
from tarragonward_routes import Account
from tarragonward_wire import HttpRequest

from .clock import read_clock
from .probes import TargetProber
from .state import GatewayState

__all__ = ["RequestIdentity", "SuspectMonitor"]

HOST = "host"
MAX_LOGGED_SEGMENTS = 8
NEVER = "never"
SEPARATOR = ","


class RequestIdentity:
    """Identifies a request and its repeats; hashed only when the hash is needed."""

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
        """The request's fingerprint."""
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


class SuspectMonitor:
    """Records crashes in this host's tracker.

    on_change is called with the fingerprint of a suspect that other hosts should learn
    of.
    """

    def __init__(self, state: GatewayState, probes: TargetProber) -> None:
        self.tracker = SuspectTracker()
        self.answered_segments = AnsweredSegments()
        # Whether this host receives nothing from any other host.
        self.is_isolated: Callable[[], bool] = lambda: False
        self.on_change: list[Callable[[bytes], None]] = []
        self._state = state
        self._probes = probes

    def evaluate(self, identity: RequestIdentity) -> Verdict:
        """Return whether and how a request may be sent."""
        if not self.tracker.may_contain(identity.body_size):
            return Verdict.CLEAR
        fingerprint = identity.fingerprint
        return self.tracker.evaluate(fingerprint, read_clock(), self.is_isolated())

    def get_wait_seconds(self, identity: RequestIdentity) -> float:
        """Return how long a request with the verdict LATER has to wait."""
        fingerprint, is_isolated = identity.fingerprint, self.is_isolated()
        return self.tracker.get_wait_seconds(fingerprint, read_clock(), is_isolated)

    async def async_record_lost(
        self, identity: RequestIdentity, target: RegisteredTarget, has_events: bool
    ) -> None:
        """Record a crash if the target that lost the connection has ended.

        has_events: whether any event of its answer has arrived.
        """
        # A target that accepts a new connection has not crashed. Counting it would turn
        # all requests on an unreliable link into suspects.
        if not await self._probes.async_has_ended(target):
            return
        fingerprint, now = identity.fingerprint, read_clock()
        number = hash_name(target.id)
        self.tracker.record_crash(fingerprint, identity.body_size, number, now)
        self._state.metrics.count("requests_lost_in_crashes")
        log_event(
            "crash_noted",
            target=target.id,
            fingerprint=fingerprint.hex(),
            targets=self.tracker.count(fingerprint),
            has_events=has_events,
            segments=self._describe_segments(identity.segments, now),
        )
        self._notify(fingerprint)

    def _describe_segments(self, segments: tuple[bytes, ...], now: float) -> str:
        """Return the segments with the seconds since each was last answered."""
        described = []
        for segment in segments[:MAX_LOGGED_SEGMENTS]:
            answered_at = self.answered_segments.get(segment)
            age = NEVER if answered_at is None else f"{now - answered_at:.1f}"
            described.append(f"{segment.hex()}:{age}")
        return SEPARATOR.join(described)

    def record_answered(self, identity: RequestIdentity) -> None:
        """Record that a target answered a request completely."""
        self.answered_segments.record(identity.segments, read_clock())
        if not self.tracker.may_contain(identity.body_size):
            return
        fingerprint = identity.fingerprint
        if self.tracker.record_answered(fingerprint, read_clock()):
            log_event("suspect_acquitted", fingerprint=fingerprint.hex())
            self._notify(fingerprint)

    def record_refused(self, identity: RequestIdentity) -> None:
        """Record that a request was refused because it crashed targets."""
        self._state.metrics.count("requests_blamed")
        self.tracker.record_refused(identity.fingerprint, read_clock())

    @contextmanager
    def isolated_attempt(self, identity: RequestIdentity) -> Iterator[None]:
        """Announce to the other hosts that this one is trying a suspect request."""
        fingerprint = identity.fingerprint
        self.tracker.begin_isolated_attempt(fingerprint, read_clock())
        self._notify(fingerprint)
        try:
            yield
        finally:
            self.tracker.end_isolated_attempt(fingerprint)

    def clear(self, fingerprint: bytes) -> bool:
        """Clear a suspect at all hosts, as an operator asks; return if it existed."""
        has_cleared = self.tracker.clear(fingerprint, read_clock())
        if has_cleared:
            log_event("suspect_lifted", fingerprint=fingerprint.hex())
            self._notify(fingerprint)
        return has_cleared

    def describe(self) -> list[dict[str, Any]]:
        """Return the suspects for operators, those with the most crashes first."""
        now = read_clock()
        known = [
            {
                "fingerprint": fingerprint.hex(),
                "body_bytes": suspect.body_size,
                "targets_ended": len(suspect.uncleared_targets),
                "verdict": self.tracker.evaluate(fingerprint, now).value,
                "idle_seconds": round(now - suspect.last_activity_at, 1),
            }
            for fingerprint, suspect in self.tracker.items()
        ]
        return sorted(known, key=lambda one: -one["targets_ended"])

    def _notify(self, fingerprint: bytes) -> None:
        for notify in self.on_change:
            notify(fingerprint)
