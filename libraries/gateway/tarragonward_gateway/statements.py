"""Act on what targets state about themselves in the heads of their answers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import fields

from tarragonward_core import log_event
from tarragonward_membership import RegisteredTarget, hash_name
from tarragonward_placement import FleetUsageTracker

from . import const as c
from .clock import read_clock
from .headers import parse_cooldown_seconds, parse_count, parse_load, parse_rate
from .heads import is_from_other_boot, is_not_run
from .sending import SendLimits
from .state import GatewayState

__all__ = ["TargetStatements"]

LEAVING = "1"
STATUS_UNAVAILABLE = 503
MILLISECONDS = 1_000


class TargetStatements:
    """Reads each header by which targets state their load or ask for fewer requests.

    All answers are read here, to requests and to orders, so that a statement counts
    whatever the host had asked for. Headers that no code reads are reported: a platform
    may add one, and hosts would ignore it without a trace in logs or metrics.
    """

    def __init__(
        self,
        state: GatewayState,
        usage: FleetUsageTracker,
        limits: SendLimits,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._usage = usage
        self._limits = limits.advertised
        self._cold = limits.cold
        self._cooldowns = limits.cooldowns
        self._clock = clock
        names = state.headers
        self._known = {getattr(names, field.name) for field in fields(names)}
        self._known.update((c.HEADER_RETRY_AFTER, *c.STANDARD_ANSWER_HEADERS))
        self._reported: set[str] = set()
        # When a target last stated that no request waits there.
        self._idle_at: OrderedDict[str, float] = OrderedDict()
        self.on_limit: list[Callable[[int], None]] = []
        # Called with the target's id and the end of the cooldown on read_clock().
        self.on_cooldown: list[Callable[[str, float], None]] = []

    def record_answer(
        self, target: RegisteredTarget, status: int, headers: Mapping[str, str]
    ) -> None:
        """Record what the answer to a request states; header names in lower case."""
        self.record(target, status, headers)
        names = self._state.headers
        # A refusal may omit the limit, or come from another boot at the same address.
        if is_not_run(names, status, headers):
            return
        self._cooldowns.record_accepted(target.id, read_clock())
        if names.limit not in headers:
            self.record_limit(target, None)

    def record(
        self, target: RegisteredTarget, status: int, headers: Mapping[str, str]
    ) -> None:
        """Record what any answer states, also one to an order."""
        names = self._state.headers
        if is_from_other_boot(names, target, status, headers):
            return
        self._report_unread(target, headers)
        if names.load in headers:
            self._record_load(target, headers[names.load])
        if names.limit in headers:
            self.record_limit(target, headers[names.limit])
        if names.cold_ms in headers:
            self._record_cold(target, headers[names.cold_ms])
        if headers.get(names.leaving, "").strip() == LEAVING:
            self._record_leaving(target)
        if status == STATUS_UNAVAILABLE and c.HEADER_RETRY_AFTER in headers:
            self._record_cooldown(target, headers[c.HEADER_RETRY_AFTER])

    def has_no_queue(self, target: RegisteredTarget) -> bool:
        """Return whether a target has stated just now that no request waits there."""
        stated_at = self._idle_at.get(target.id)
        if stated_at is None:
            return False
        return self._clock() < stated_at + c.IDLE_TARGET_SECONDS

    def record_limit(self, target: RegisteredTarget, text: str | None) -> None:
        """Record the requests per second that a target's answer allows, if it does."""
        number, rate = hash_name(target.id), parse_rate(text)
        if self._limits.record_advertised(number, rate, read_clock()):
            log_event("target_limit", target=target.id, requests_per_second=rate)
            for notify in self.on_limit:
                notify(number)

    def _record_load(self, target: RegisteredTarget, text: str) -> None:
        load = parse_load(text)
        if load is not None:
            self._usage.record_request_count(target.id, sum(load), self._clock())
            _, waiting = load
            if waiting:
                self._idle_at.pop(target.id, None)
            else:
                self._idle_at[target.id] = self._clock()
                self._idle_at.move_to_end(target.id)
            while len(self._idle_at) > c.MAX_IDLE_TARGETS:
                self._idle_at.popitem(last=False)

    def _record_cold(self, target: RegisteredTarget, text: str) -> None:
        milliseconds = parse_count(text)
        if milliseconds is None:
            return
        seconds = milliseconds / MILLISECONDS
        if self._cold.record(hash_name(target.id), seconds, read_clock()):
            self._state.metrics.count("cold_targets")
            log_event("target_cold", target=target.id, seconds=seconds)

    def _record_leaving(self, target: RegisteredTarget) -> None:
        if self._state.registry.mark_leaving(target):
            self._state.metrics.count("targets_stated_leaving")
            log_event("target_leaving", target=target.id, address=target.address)

    def _record_cooldown(self, target: RegisteredTarget, text: str) -> None:
        seconds = parse_cooldown_seconds(text)
        if seconds is None:
            self._state.metrics.count("target_cooldowns_refused")
            log_event("target_cooldown_refused", target=target.id, retry_after=text)
            return
        now = read_clock()
        if self._cooldowns.begin(target.id, seconds, now):
            self._state.metrics.count("target_cooldowns")
            log_event("target_cooldown", target=target.id, seconds=seconds)
            for notify in self.on_cooldown:
                notify(target.id, now + self._cooldowns.compute_wait(target.id, now))

    def _report_unread(
        self, target: RegisteredTarget, headers: Mapping[str, str]
    ) -> None:
        """Count the headers that no code reads, and log each name once."""
        for name in headers.keys() - self._known:
            self._state.metrics.count("target_headers_unread")
            if name in self._reported or len(self._reported) >= c.MAX_REPORTED_HEADERS:
                continue
            self._reported.add(name)
            log_event(
                "target_header_unread",
                header=name,
                value=headers[name][: c.MAX_LOGGED_HEADER_CHARACTERS],
                target=target.id,
            )
