"""Reserve memory for a prompt on several engines, all or none, and release it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

from tarragonward_core import TargetError, log_event, new_incarnation
from tarragonward_placement import (
    GroupEffect,
    GroupMember,
    GroupReady,
    GroupReservation,
    ReleasePart,
    ReservationGranted,
    ReservationRefused,
    ReservationTracker,
    ReservationUse,
    ReservePart,
)

from . import const as c
from .choices import SendChoice
from .ports import Reservation, ReservationClient
from .state import GatewayState

__all__ = ["Lease", "ReservationTask"]


class Lease:
    """The reservations of one send, which this host renews until it releases them.

    on_unused() is called after the release if no request uses them: the target hangs,
    has others to serve first, or has ended the request, and its answer is lost.
    """

    def __init__(
        self,
        owner: ReservationTask,
        parts: Sequence[Reservation],
        tracker: ReservationTracker,
    ) -> None:
        self._owner = owner
        self._parts = list(parts)
        self._tracker = tracker
        self.on_unused: Callable[[], None] = lambda: None
        self._renew_task = asyncio.create_task(self._async_keep())

    def record_event(self) -> None:
        """Record an event of the answer, which shows that the memory is in use."""
        self._tracker.record_event(asyncio.get_running_loop().time())

    async def _async_keep(self) -> None:
        use = await self._owner.async_keep(self._parts, self._tracker)
        log_event("reservation_unused", reservation=self._parts[0].id, use=use.value)
        self._release_parts()
        self.on_unused()

    def release(self) -> None:
        """Stop renewing and release the memory, even if the request was cancelled."""
        self._renew_task.cancel()
        self._release_parts()

    def _release_parts(self) -> None:
        while self._parts:
            self._owner.release(self._parts.pop())


class ReservationTask:
    """Reserves the parts of a group in the order of their engines, and releases them.

    A ticket contains the host, its incarnation and the number of the send. So no two
    requests share one, and reservations of a dead host can be told from active ones.
    """

    def __init__(self, state: GatewayState, calls: ReservationClient) -> None:
        self._state = state
        self._calls = calls
        self._incarnation = new_incarnation()
        self._count = 0
        self._release_tasks: set[asyncio.Task[None]] = set()

    async def async_setup(self) -> None:
        """Do nothing, as reservations are made on demand."""

    async def async_unload(self) -> None:
        """Wait until all reservations are released."""
        if self._release_tasks:
            await asyncio.wait(
                self._release_tasks, timeout=c.RESERVATION_CALL_TIMEOUT_SECONDS
            )

    async def async_reserve(self, choice: SendChoice) -> Lease | str:
        """Reserve all parts; return their lease or the refusing target's id."""
        parts = {part.target.id: part for part in self._build_parts(choice)}
        group = GroupReservation(
            [GroupMember(name, part.tokens) for name, part in parts.items()]
        )
        requested: list[str] = []
        is_complete = False
        try:
            effects = group.start()
            while effects and isinstance(effects[0], ReservePart):
                engine = effects[0].member.engine
                requested.append(engine)
                effects = await self._async_reserve_part(group, parts[engine])
            is_complete = bool(effects) and isinstance(effects[0], GroupReady)
            self._check_released(effects, requested)
        finally:
            if not is_complete:
                for engine in requested:
                    self.release(parts[engine])
        if not is_complete:
            return requested[-1]
        tracker = ReservationTracker(
            asyncio.get_running_loop().time(),
            self._hold_seconds,
            self._state.settings.bounds.free_seconds,
            self._state.settings.bounds.unused_seconds,
        )
        lease = Lease(self, tuple(parts.values()), tracker)
        choice.on_events = lease.record_event
        return lease

    async def async_keep(
        self, parts: Sequence[Reservation], tracker: ReservationTracker
    ) -> ReservationUse:
        """Renew reservations until they are not needed; return what showed that."""
        loop = asyncio.get_running_loop()
        logged, due_at = None, loop.time()
        while True:
            # Looks that take long must not put off the renewals.
            due_at = max(due_at + tracker.interval_seconds, loop.time())
            await asyncio.sleep(due_at - loop.time())
            use, looked_at = ReservationUse.USED, loop.time()
            if tracker.needs_report(looked_at):
                use = await self._async_read_use(parts)
                self._state.metrics.count("reservation_reports_read")
            if use is not logged:
                log_event("reservation_checked", reservation=parts[0].id, use=use.value)
                logged = use
            hold_seconds = tracker.choose_hold(use, looked_at, loop.time())
            if not hold_seconds:
                return use
            renewals = (self._async_renew(part, hold_seconds) for part in parts)
            await asyncio.gather(*renewals)

    async def _async_renew(self, part: Reservation, hold_seconds: float) -> None:
        # A restarted target would reserve the memory again, for a request that it does
        # not have.
        if not self._state.registry.is_current_boot(part.target):
            return
        try:
            await self._async_reserve_or_renew(replace(part, hold_seconds=hold_seconds))
        except TargetError as err:
            log_event("renewal_failed", reservation=part.id, error=str(err))

    async def _async_read_use(self, parts: Sequence[Reservation]) -> ReservationUse:
        """Return whether a request uses any part; one that is used tells for all."""
        uses = set()
        for part in parts:
            try:
                use = await self._calls.async_read_use(
                    part, c.RESERVATION_CALL_TIMEOUT_SECONDS
                )
            except TargetError as err:
                log_event("report_failed", reservation=part.id, error=str(err))
                continue
            if use is ReservationUse.USED:
                return use
            uses.add(use)
        known = (ReservationUse.GONE, ReservationUse.UNUSED)
        return next((use for use in known if use in uses), ReservationUse.UNKNOWN)

    async def _async_reserve_or_renew(self, part: Reservation) -> bool:
        """Reserve or renew a part; return whether the intended incarnation holds it."""
        answer = await self._calls.async_reserve(
            part, c.RESERVATION_CALL_TIMEOUT_SECONDS
        )
        is_other = None not in (answer.incarnation, part.target.incarnation) and (
            answer.incarnation != part.target.incarnation
        )
        if is_other:
            # The target restarted and the registry does not show it yet. Without the
            # release it would hold memory that no request will ever use.
            log_event("reservation_elsewhere", reservation=part.id)
            self.release(part)
        return answer.is_held and not is_other

    def release(self, part: Reservation) -> None:
        """Release a part in a separate task, which outlives a cancelled request."""
        task = asyncio.create_task(self._async_release(part))
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    @property
    def _hold_seconds(self) -> float:
        bounds = self._state.settings.bounds
        # Reservations of a dead or frozen host must expire within free_seconds.
        return min(
            bounds.reservation_seconds, bounds.free_seconds * c.RESERVATION_TTL_SHARE
        )

    def _build_parts(self, choice: SendChoice) -> list[Reservation]:
        self._count += 1
        ticket = f"{self._state.settings.name}.{self._incarnation}.{self._count}"
        choice.ticket = ticket
        assert choice.plan is not None
        by_id = {target.id: target for target in choice.helpers}
        return [
            Reservation(ticket, by_id[name], tokens, self._hold_seconds)
            for name, tokens in choice.plan.reserved_tokens.items()
        ]

    async def _async_reserve_part(
        self, group: GroupReservation, part: Reservation
    ) -> list[GroupEffect]:
        try:
            is_held = await self._async_reserve_or_renew(part)
        except TargetError as err:
            log_event("reservation_failed", reservation=part.id, error=str(err))
            is_held = False
        engine = part.target.id
        if is_held:
            return group.handle(ReservationGranted(engine))
        return group.handle(ReservationRefused(engine))

    def _check_released(self, effects: list[GroupEffect], requested: list[str]) -> None:
        released = {each.engine for each in effects if isinstance(each, ReleasePart)}
        assert not released or released == set(requested)

    async def _async_release(self, part: Reservation) -> None:
        end = asyncio.get_running_loop().time() + part.hold_seconds
        wait = c.RELEASE_RETRY_SECONDS
        while asyncio.get_running_loop().time() < end:
            try:
                if await self._calls.async_release(
                    part, c.RESERVATION_CALL_TIMEOUT_SECONDS
                ):
                    return
            except TargetError as err:
                log_event("release_failed", reservation=part.id, error=str(err))
            await asyncio.sleep(wait)
            wait *= 2
