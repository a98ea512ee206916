"""Note which requests targets end under, and say what may be done with them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import cached_property
from typing import Any

from tarragonward_core import log_event
from tarragonward_membership import RegisteredTarget, hash_name
from tarragonward_requests import SuspectTracker, Verdict, fingerprint_request
from tarragonward_routes import Account
from tarragonward_wire import HttpRequest

from .clock import read_clock
from .probes import TargetProber
from .state import GatewayState

__all__ = ["RequestIdentity", "SuspectMonitor"]

HOST = "host"


class RequestIdentity:
    """What a request shares with its repeats; hashed only where it is needed."""

    def __init__(self, request: HttpRequest, account: Account | None) -> None:
        self._request = request
        self._account = account.name if account is not None else ""
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


class SuspectMonitor:
    """The ledger of one host; on_news is called with what other hosts should hear."""

    def __init__(self, state: GatewayState, probes: TargetProber) -> None:
        self.ledger = SuspectTracker()
        # Whether this host hears none of the others.
        self.is_isolated: Callable[[], bool] = lambda: False
        self.on_change: list[Callable[[bytes], None]] = []
        self._state = state
        self._probes = probes

    def judge(self, identity: RequestIdentity) -> Verdict:
        """Return what may be done with a request."""
        if not self.ledger.may_contain(identity.body_size):
            return Verdict.CLEAR
        fingerprint = identity.fingerprint
        return self.ledger.evaluate(fingerprint, read_clock(), self.is_isolated())

    def get_wait_seconds(self, identity: RequestIdentity) -> float:
        """Return for how long a request that is judged LATER has to wait."""
        fingerprint, is_isolated = identity.fingerprint, self.is_isolated()
        return self.ledger.get_wait_seconds(fingerprint, read_clock(), is_isolated)

    async def async_record_lost(
        self, identity: RequestIdentity, target: RegisteredTarget
    ) -> None:
        """Note that a request's connection was lost, if the target has ended."""
        # One that only closed the connection takes the next: it says nothing of the
        # request, and a link that loses connections would make suspects of all.
        if not await self._probes.async_has_ended(target):
            return
        fingerprint, now = identity.fingerprint, read_clock()
        number = hash_name(target.id)
        self.ledger.record_crash(fingerprint, identity.body_size, number, now)
        self._state.metrics.count("requests_lost_in_crashes")
        log_event(
            "crash_noted",
            target=target.id,
            fingerprint=fingerprint.hex(),
            targets=self.ledger.count(fingerprint),
        )
        self._tell(fingerprint)

    def note_answered(self, identity: RequestIdentity) -> None:
        """Note a whole answer of a target."""
        if not self.ledger.may_contain(identity.body_size):
            return
        fingerprint = identity.fingerprint
        if self.ledger.record_answered(fingerprint, read_clock()):
            log_event("suspect_acquitted", fingerprint=fingerprint.hex())
            self._tell(fingerprint)

    def note_refused(self, identity: RequestIdentity) -> None:
        """Note that a request was refused for what it has done."""
        self._state.metrics.count("requests_blamed")
        self.ledger.record_refused(identity.fingerprint, read_clock())

    @contextmanager
    def isolated_attempt(self, identity: RequestIdentity) -> Iterator[None]:
        """Let the other hosts know that this one tries a request."""
        fingerprint = identity.fingerprint
        self.ledger.begin_isolated_attempt(fingerprint, read_clock())
        self._tell(fingerprint)
        try:
            yield
        finally:
            self.ledger.end_isolated_attempt(fingerprint)

    def lift(self, fingerprint: bytes) -> bool:
        """Forget, at an operator's word, what a request has done; tell all hosts."""
        has_lifted = self.ledger.clear(fingerprint, read_clock())
        if has_lifted:
            log_event("suspect_lifted", fingerprint=fingerprint.hex())
            self._tell(fingerprint)
        return has_lifted

    def describe(self) -> list[dict[str, Any]]:
        """Return the suspects as operators see them, the worst first."""
        now = read_clock()
        known = [
            {
                "fingerprint": fingerprint.hex(),
                "body_bytes": suspect.body_size,
                "targets_ended": len(suspect.uncleared_targets),
                "verdict": self.ledger.evaluate(fingerprint, now).value,
                "idle_seconds": round(now - suspect.last_activity_at, 1),
            }
            for fingerprint, suspect in self.ledger.items()
        ]
        return sorted(known, key=lambda one: -one["targets_ended"])

    def _tell(self, fingerprint: bytes) -> None:
        for notify in self.on_change:
            notify(fingerprint)
