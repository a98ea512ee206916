"""Leave out targets that failed lately, and take them back once they can be reached."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Sequence
from contextlib import suppress
from typing import Any

from tarragonward_core import Address, log_event
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import TargetReach
from tarragonward_requests import (
    AttemptFault,
    OutlierDetector,
    ProbedBackoff,
    SendFault,
)

from . import const as c
from .clock import read_clock
from .state import GatewayState

__all__ = ["TargetDoubts"]

FAULTS = {
    SendFault.NOT_CONNECTED: AttemptFault.NOT_CONNECTED,
    SendFault.LOST: AttemptFault.CONNECTION_LOST,
    SendFault.SPOILED: AttemptFault.INVALID,
    SendFault.SILENT: AttemptFault.SILENT,
}


class TargetDoubts:
    """Which targets, and which failure domains, are not chosen for a while.

    A cut shows as targets of one failure domain that cannot be reached, one after the
    other. Symptom: each request waits for one connection after the other, as there is
    always a target of that domain that was not tried yet. Two that fail with no
    success between them put the whole domain in doubt. A connection without a
    request, made here, ends a doubt, so no caller's request has to try.
    """

    def __init__(self, state: GatewayState, reach: TargetReach) -> None:
        self._state = state
        self._reach = reach
        rule = ProbedBackoff(c.DOUBT_BASE_SECONDS, c.DOUBT_CAP_SECONDS)
        self._targets = OutlierDetector(rule)
        self._domains = OutlierDetector(rule)
        self._unreached: dict[str, dict[str, float]] = {}
        self._reached_at: dict[str, float] = {}
        self._probing: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Begin to try what is in doubt."""
        self._task = asyncio.create_task(self._async_try())

    async def async_unload(self) -> None:
        """Stop to try."""
        tasks = [task for task in (self._task, *self._probing) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def note_answered(self, target: RegisteredTarget) -> None:
        """Note that a target was reached and began its answer."""
        self._targets.record_success(target.id)
        self._reached_at[target.id] = read_clock()
        self._domains.record_success(target.failure_domain)
        self._unreached.pop(target.failure_domain, None)

    def note_failed(self, target: RegisteredTarget, fault: SendFault) -> None:
        """Note a send that brought nothing."""
        known = FAULTS.get(fault)
        if known is None:
            return
        now = read_clock()
        if self._targets.record_failure(target.id, known, now):
            log_event("target_doubted", target=target.id, fault=fault.value)
        if fault is SendFault.NOT_CONNECTED:
            self._note_unreached(target, now)

    def note_gone(self, target_id: str) -> None:
        """Note that another target could not reach this one."""
        target = self._state.registry.get(target_id)
        if target is not None:
            self.note_failed(target, SendFault.SILENT)

    async def async_check(self, targets: Sequence[RegisteredTarget]) -> bool:
        """Return whether all targets can be reached; those that can't are doubted.

        A leader whose helper is gone finds out after the stall that the platform
        allows, and the send is spent. A connection to each helper that has not
        answered lately finds out before.
        """
        now = read_clock()
        unsure = [
            target
            for target in targets
            if now - self._reached_at.get(target.id, -c.REACHED_SECONDS)
            >= c.REACHED_SECONDS
        ]
        reached = await asyncio.gather(
            *(_async_connect(target.address) for target in unsure)
        )
        for target, is_reached in zip(unsure, reached, strict=True):
            if is_reached:
                self._reached_at[target.id] = read_clock()
            else:
                self._reach.note_failed(target.id, read_clock())
                self.note_failed(target, SendFault.NOT_CONNECTED)
        return all(reached)

    def select(self, ready: Sequence[RegisteredTarget]) -> list[RegisteredTarget]:
        """Return the targets that are not in doubt; all where all are."""
        now = read_clock()
        domains = set(
            self._domains.select({target.failure_domain for target in ready}, now)
        )
        near = [target for target in ready if target.failure_domain in domains]
        usable = set(self._targets.select([target.id for target in near], now))
        return [target for target in near if target.id in usable]

    def _note_unreached(self, target: RegisteredTarget, now: float) -> None:
        failed = self._unreached.setdefault(target.failure_domain, {})
        failed[target.id] = now
        recent = [at for at in failed.values() if now - at <= c.DOUBT_WINDOW_SECONDS]
        if len(recent) < c.DOUBT_DOMAIN_TARGETS:
            return
        domain = target.failure_domain
        if self._domains.record_failure(domain, AttemptFault.NOT_CONNECTED, now):
            log_event("domain_doubted", domain=domain)

    async def _async_try(self) -> None:
        while True:
            await asyncio.sleep(c.DOUBT_ROUND_SECONDS)
            registered = self._state.registry.get_all()
            self._targets.forget_others(target.id for target in registered)
            for target_id in self._reached_at.keys() - {each.id for each in registered}:
                del self._reached_at[target_id]
            self._domains.forget_others(target.failure_domain for target in registered)
            now = read_clock()
            for target_id in self._targets.get_due_probes(now):
                target = self._state.registry.get(target_id)
                if target is not None:
                    self._start(self._async_try_target(target))
            for domain in self._domains.get_due_probes(now):
                targets = [each for each in registered if each.failure_domain == domain]
                self._start(self._async_try_domain(domain, targets))

    def _start(self, trial: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(trial)
        self._probing.add(task)
        task.add_done_callback(self._probing.discard)

    async def _async_try_target(self, target: RegisteredTarget) -> None:
        # Excluded anew first, so that the next round starts no second trial.
        self._targets.record_probe(target.id, is_alive=False, now=read_clock())
        if await _async_connect(target.address):
            self._targets.record_probe(target.id, is_alive=True, now=read_clock())
            self._reach.note_reached(target.id)

    async def _async_try_domain(
        self, domain: str, targets: Sequence[RegisteredTarget]
    ) -> None:
        self._domains.record_probe(domain, is_alive=False, now=read_clock())
        tried = targets
        if len(targets) > c.DOUBT_DOMAIN_TARGETS:
            tried = self._state.random.sample(targets, c.DOUBT_DOMAIN_TARGETS)
        reached = await asyncio.gather(
            *(_async_connect(target.address) for target in tried)
        )
        if any(reached):
            self._domains.record_probe(domain, is_alive=True, now=read_clock())
            self._unreached.pop(domain, None)


async def _async_connect(address: Address) -> bool:
    """Return whether a connection can be made; nothing is asked on it."""
    try:
        async with asyncio.timeout(c.CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    with suppress(OSError):
        await writer.wait_closed()
    return True
