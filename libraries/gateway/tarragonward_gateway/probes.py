"""Connect to targets that are in doubt, and tell the decisions what was seen."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import suppress

from tarragonward_core import Address, BackgroundTasks, log_event
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

from . import const as c
from .clock import read_clock
from .state import GatewayState

__all__ = ["TargetProber"]

TASK_NAME = "probes"
EVIDENCE = {
    SendFault.NOT_CONNECTED: Evidence.NOT_CONNECTED,
    SendFault.LOST: Evidence.LOST,
    SendFault.SPOILED: Evidence.SPOILED,
    SendFault.SILENT: Evidence.SILENT,
}


class TargetProber:
    """Probes what TargetHealthTracker selects, reports results to it, logs changes."""

    def __init__(self, state: GatewayState, target_health: TargetHealthTracker) -> None:
        self._state = state
        self._reach = target_health
        self._probing: set[asyncio.Task[bool]] = set()
        # By target: the connection that shows whether it has ended.
        self._end_checks: dict[str, asyncio.Task[bool]] = {}
        self._background = BackgroundTasks(state.metrics)

    async def async_setup(self) -> None:
        """Begin to try what is in doubt."""
        # Were the loop to end by a fault, what is in doubt would stay out for good.
        self._background.start(TASK_NAME, self._async_probe_due)

    async def async_unload(self) -> None:
        """Stop to try."""
        await self._background.async_unload()
        probing = [*self._probing, *self._end_checks.values()]
        for task in probing:
            task.cancel()
        await asyncio.gather(*probing, return_exceptions=True)

    def record(self, target: RegisteredTarget, evidence: Evidence) -> None:
        """Take in what was seen of a target, and log what changes by it."""
        for effect in self._reach.observe(target, evidence, read_clock()):
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
                log_event("domain_doubted", domain=effect.domain)
            elif isinstance(effect, DomainRestored):
                log_event("domain_regained", domain=effect.domain)

    def record_failure(self, target: RegisteredTarget, fault: SendFault) -> None:
        """Note a send that brought nothing."""
        evidence = EVIDENCE.get(fault)
        if evidence is not None:
            self.record(target, evidence)

    def record_reported_fault(
        self, helpers: Sequence[RegisteredTarget], name: str
    ) -> bool:
        """Note that a refusal names a target as at fault, by its address or its name.

        Return whether it is one of the helpers.
        """
        named = [h for h in helpers if name in (str(h.address), h.name)]
        for helper in named:
            self.record(helper, Evidence.REPORTED_AT_FAULT)
        return bool(named)

    async def async_check(self, targets: Sequence[RegisteredTarget]) -> bool:
        """Return whether all targets can be reached; those that can't are doubted.

        A leader whose helper is gone finds out after the stall that the platform
        allows, and the send is spent. A connection to each helper that has not
        answered lately finds out before.
        """
        unsure = self._reach.get_unverified(targets, read_clock())
        reached = await asyncio.gather(*(self._async_probe(each) for each in unsure))
        for target, is_reached in zip(unsure, reached, strict=True):
            if not is_reached:
                self.record(target, Evidence.NOT_CONNECTED)
        return all(reached)

    def check_in_background(self, target: RegisteredTarget) -> None:
        """Connect to a target that may be out of reach, while others are served."""
        task = asyncio.create_task(self.async_check([target]))
        self._probing.add(task)
        task.add_done_callback(self._probing.discard)

    async def async_has_ended(self, target: RegisteredTarget) -> bool:
        """Return whether a target that closed a connection takes no other.

        All requests that it lost at once share one connection.
        """
        task = self._end_checks.get(target.id)
        if task is None:
            task = asyncio.create_task(self._async_note_ended(target))
            self._end_checks[target.id] = task
            task.add_done_callback(lambda _: self._end_checks.pop(target.id, None))
        return await asyncio.shield(task)

    async def _async_note_ended(self, target: RegisteredTarget) -> bool:
        if await self._async_probe(target):
            return False
        self.record(target, Evidence.ENDED)
        return True

    async def _async_probe_due(self) -> None:
        while True:
            await asyncio.sleep(c.TARGET_PROBE_INTERVAL_SECONDS)
            registered = self._state.registry.get_all()
            self._reach.retain_only(registered)
            for target in self._reach.take_due_probes(registered, read_clock()):
                task = asyncio.create_task(self._async_probe(target))
                self._probing.add(task)
                task.add_done_callback(self._probing.discard)

    async def _async_probe(self, target: RegisteredTarget) -> bool:
        # A probe that fails says nothing new of a target that is in doubt already.
        # Symptom, were it counted: two dead targets of a failure domain, each tried
        # once a second, put the whole domain in doubt for good.
        is_reached = await _async_connect(target.address)
        if is_reached:
            self.record(target, Evidence.CONNECTED)
        return is_reached


async def _async_connect(address: Address) -> bool:
    """Return whether a connection can be made; nothing is asked on it."""
    try:
        async with asyncio.timeout(c.CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    with suppress(OSError):
        await writer.wait_closed()
    return True
