"""Probe ejected targets by connecting, and report evidence to the health tracker."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from functools import partial

from tarragonward_core import (
    Address,
    BackgroundTasks,
    SharedChecks,
    TargetError,
    log_event,
)
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import (
    DomainEjected,
    DomainRestored,
    Evidence,
    TargetEjected,
    TargetHealthTracker,
    TargetRestored,
)
from tarragonward_requests import SendFault
from tarragonward_wire import Connector, PauseTimeout, async_send_http

from . import const as c
from .clock import read_clock
from .reachability import ReachabilityMonitor
from .state import GatewayState

__all__ = ["EVIDENCE_BY_FAULT", "TargetProber"]

TASK_NAME = "probes"
METHOD_GET = "GET"
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
RelayCheck = Callable[[RegisteredTarget], Awaitable[bool | None]]
EVIDENCE_BY_FAULT = {
    SendFault.NOT_CONNECTED: Evidence.NOT_CONNECTED,
    SendFault.LOST: Evidence.LOST,
    SendFault.SPOILED: Evidence.SPOILED,
    SendFault.SILENT: Evidence.SILENT,
}


class TargetProber:
    """Probes what TargetHealthTracker selects, reports results to it, logs changes."""

    def __init__(self, state: GatewayState, target_health: TargetHealthTracker) -> None:
        self._state = state
        self._target_health = target_health
        self.reachability = ReachabilityMonitor(state, target_health)
        self._probe_tasks: set[asyncio.Task[bool]] = set()
        # By target: the connection attempt that shows whether it has ended.
        self._end_checks = SharedChecks()
        # Targets that are being checked in the background.
        self._checked: set[str] = set()
        self._background = BackgroundTasks(state.metrics)
        self._is_running = False
        # Called with a target that this host can't connect to.
        self.on_target_lost: list[Callable[[RegisteredTarget], None]] = []
        # Called with the domain and service whose link is lost.
        self.on_link_lost: list[Callable[[str, str], None]] = []
        # Returns whether a peer can connect to a target, None if no peer tells.
        self.async_check_by_relay: RelayCheck = _async_check_by_no_relay
        # Called in each round with all registered targets.
        self.on_registered: list[Callable[[Sequence[RegisteredTarget]], None]] = []
        # Targets that want no requests are not probed either.
        self.accepts_requests: Callable[[RegisteredTarget], bool] = lambda target: True

    async def async_setup(self) -> None:
        """Start probing ejected targets."""
        # Restarted after an error, as ejected targets would otherwise never return.
        self._background.start(TASK_NAME, self._async_probe_due)
        self._is_running = True

    async def async_unload(self) -> None:
        """Stop probing."""
        self._is_running = False
        await self._background.async_unload()
        await self._end_checks.async_unload()
        tasks = list(self._probe_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def record(self, target: RegisteredTarget, evidence: Evidence) -> None:
        """Record evidence on a target's health and log the changes that follow."""
        effects = self._target_health.observe(target, evidence, read_clock())
        for effect in effects:
            if isinstance(effect, TargetEjected):
                log_event(
                    "target_doubted",
                    target=target.id,
                    address=target.address,
                    evidence=effect.evidence.value,
                )
            elif isinstance(effect, TargetRestored):
                log_event("target_regained", target=target.id)
            elif isinstance(effect, DomainEjected):
                log_event(
                    "domain_doubted", domain=effect.domain, service=effect.service
                )
                for notify in self.on_link_lost:
                    notify(effect.domain, effect.service)
            elif isinstance(effect, DomainRestored):
                log_event(
                    "domain_regained", domain=effect.domain, service=effect.service
                )
        if effects:
            self.reachability.update(target.service)
        if evidence is Evidence.NOT_CONNECTED:
            for notify_target in self.on_target_lost:
                notify_target(target)
        if evidence is Evidence.NOT_CONNECTED and self._is_running:
            self._check_neighbours(target)

    def record_failure(self, target: RegisteredTarget, fault: SendFault) -> None:
        """Record a failed send as evidence."""
        evidence = EVIDENCE_BY_FAULT.get(fault)
        if evidence is not None:
            self.record(target, evidence)

    def record_reported_fault(
        self, helpers: Sequence[RegisteredTarget], name: str
    ) -> bool:
        """Record the helper that a refusal reports at fault, by its address or name.

        Return whether the name belongs to one of the helpers.
        """
        named = [h for h in helpers if name in (str(h.address), h.name)]
        for helper in named:
            self.record(helper, Evidence.REPORTED_AT_FAULT)
        return bool(named)

    async def async_check(self, targets: Sequence[RegisteredTarget]) -> bool:
        """Return whether all targets accept connections; record those that do not.

        A leader notices a missing helper only after the stall time that the platform
        allows, which wastes the send. Connecting first to each helper without a recent
        answer avoids this.
        """
        unverified = self._target_health.get_unverified(targets, read_clock())
        reached = await asyncio.gather(
            *(self._async_probe(each) for each in unverified)
        )
        for target, is_reached in zip(unverified, reached, strict=True):
            if not is_reached:
                self.record(target, Evidence.NOT_CONNECTED)
        return all(reached)

    def check_in_background(self, target: RegisteredTarget) -> None:
        """Check a target that may be unreachable without waiting for the result."""
        if target.id in self._checked:
            return
        self._checked.add(target.id)
        task = asyncio.create_task(self.async_check([target]))
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)
        task.add_done_callback(lambda _: self._checked.discard(target.id))

    def _check_neighbours(self, target: RegisteredTarget) -> None:
        registered = self._state.registry.get_all()
        neighbours = self._target_health.choose_neighbours(
            target, registered, read_clock()
        )
        for neighbour in filter(self.accepts_requests, neighbours):
            self.check_in_background(neighbour)

    async def async_has_ended(self, target: RegisteredTarget) -> bool:
        """Return whether a target that lost a connection refuses new ones of all.

        Requests that lost their connections at the same time share one attempt.
        """
        check = partial(self._async_check_ended, target)
        return await self._end_checks.async_run(target.id, check)

    async def async_confirm_boot(
        self, target: RegisteredTarget, connect: Connector | None = None
    ) -> bool:
        """Return whether a boot answers a health check, connected to by connect.

        Boots that share a name are told apart by the registry alone.
        """
        names, table = self._state.headers, self._state.table
        service = table.services.get(target.service) if table is not None else None
        if service is None:
            return False
        try:
            answer = await async_send_http(
                target.address,
                METHOD_GET,
                service.health_path,
                headers={names.expected_target: target.name},
                timeout=c.BOOT_CHECK_TIMEOUT_SECONDS,
                connect=connect,
                max_bytes=c.MAX_HEALTH_ANSWER_BYTES,
            )
        except TargetError as err:
            log_event("boot_unconfirmed", target=target.id, error=str(err))
            return False
        name = answer.headers.get(names.target_name, "")
        # A full target refuses without its name, another one as misdirected.
        is_refusal = answer.status == STATUS_UNAVAILABLE and not name
        is_named = answer.status != STATUS_MISDIRECTED and name == target.name
        is_same = is_refusal or is_named
        if not is_same:
            log_event(
                "boot_unconfirmed", target=target.id, status=answer.status, by=name
            )
        return is_same and self._state.registry.is_current_boot(target)

    async def _async_check_ended(self, target: RegisteredTarget) -> bool:
        # A proxy in front of a target that has just ended may still accept connections,
        # and closes them at once.
        if await self._async_probe(target, c.END_CHECK_SECONDS):
            return False
        if await self.async_check_by_relay(target):
            # The target goes on, and only this host has lost its link to it. Taken for
            # a crash, the loss would count against all requests in progress there.
            self.record(target, Evidence.NOT_CONNECTED)
            return False
        self.record(target, Evidence.ENDED)
        return True

    async def _async_probe_due(self) -> None:
        while True:
            await asyncio.sleep(c.TARGET_PROBE_INTERVAL_SECONDS)
            registered = self._state.registry.get_all()
            self._target_health.retain_only(registered)
            for notify in self.on_registered:
                notify(registered)
            waiting = [target for target in registered if self.accepts_requests(target)]
            for target in self._target_health.take_due_probes(waiting, read_clock()):
                task = asyncio.create_task(self._async_probe(target))
                self._probe_tasks.add(task)
                task.add_done_callback(self._probe_tasks.discard)

    async def _async_probe(
        self, target: RegisteredTarget, open_seconds: float = 0.0
    ) -> bool:
        """Return whether a target accepts a connection and leaves it open so long."""
        # A failed probe is no new evidence on an ejected target. If it counted, two
        # dead targets of a failure domain that are probed once a second would keep the
        # whole domain ejected for good.
        is_reached = await _async_connect(target.address, open_seconds)
        if is_reached:
            self.record(target, Evidence.CONNECTED)
        return is_reached


async def _async_check_by_no_relay(target: RegisteredTarget) -> bool | None:
    return None


async def _async_connect(address: Address, open_seconds: float) -> bool:
    """Return whether the address accepts a connection and leaves it open so long.

    No request is sent.
    """
    try:
        connect_by = asyncio.get_running_loop().time() + c.CONNECT_TIMEOUT_SECONDS
        async with PauseTimeout(connect_by):
            reader, writer = await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError):
        return False
    is_open = not open_seconds or await _async_stays_open(reader, open_seconds)
    writer.close()
    with suppress(OSError):
        await writer.wait_closed()
    return is_open


async def _async_stays_open(reader: asyncio.StreamReader, seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            await reader.read(1)
    except TimeoutError:
        return True
    except OSError:
        return False
    return not reader.at_eof()
