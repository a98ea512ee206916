"""Hold the memory of a prompt beyond one engine: all of it or none, and freed after."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from tarragonward_core import TargetError, log_event, new_incarnation
from tarragonward_placement import (
    GroupEffect,
    GroupMember,
    GroupReady,
    GroupReservation,
    ReleasePart,
    ReservationGranted,
    ReservationRefused,
    ReservePart,
)

from . import const as c
from .ports import Reservation, ReservationClient
from .state import GatewayState
from .targets import SendChoice

__all__ = ["Lease", "ReservationTask"]


class Lease:
    """The reservations of one send, renewed until released; each host's own."""

    def __init__(self, owner: ReservationTask, parts: Sequence[Reservation]) -> None:
        self._owner = owner
        self._parts = parts
        self._renewing = asyncio.create_task(owner.async_renew(parts))

    def release(self) -> None:
        """Stop to renew, and free the memory even where the request was cancelled."""
        self._renewing.cancel()
        for part in self._parts:
            self._owner.release(part)


class ReservationTask:
    """Reserve groups of parts, in the order of the engines, and release them.

    An id names the host, its incarnation and the send, so no two requests ever use
    one ticket, and what a dead host left can be told from what is in use.
    """

    def __init__(self, state: GatewayState, calls: ReservationClient) -> None:
        self._state = state
        self._calls = calls
        self._incarnation = new_incarnation()
        self._count = 0
        self._releasing: set[asyncio.Task[None]] = set()

    async def async_setup(self) -> None:
        """Do nothing: reservations are made as they are needed."""

    async def async_unload(self) -> None:
        """Wait until all that was held is released."""
        if self._releasing:
            await asyncio.wait(
                self._releasing, timeout=c.RESERVATION_CALL_TIMEOUT_SECONDS
            )

    async def async_reserve(self, choice: SendChoice) -> Lease | str:
        """Return the lease of all parts, or the id of the target that refused."""
        parts = {part.target.id: part for part in self._build_parts(choice)}
        group = GroupReservation(
            [GroupMember(name, part.tokens) for name, part in parts.items()]
        )
        asked: list[str] = []
        is_whole = False
        try:
            effects = group.start()
            while effects and isinstance(effects[0], ReservePart):
                engine = effects[0].member.engine
                asked.append(engine)
                effects = await self._async_reserve_part(group, parts[engine])
            is_whole = bool(effects) and isinstance(effects[0], GroupReady)
            self._check_released(effects, asked)
        finally:
            if not is_whole:
                for engine in asked:
                    self.release(parts[engine])
        return Lease(self, tuple(parts.values())) if is_whole else asked[-1]

    async def async_renew(self, parts: Sequence[Reservation]) -> None:
        """Renew reservations until cancelled."""
        # A ticket that expires cuts its request off. One renewal may be lost and the
        # next one still comes in time.
        while True:
            await asyncio.sleep(self._hold_seconds * c.RENEWAL_INTERVAL_SHARE)
            for part in parts:
                # A boot that followed the one which holds this would set the memory
                # aside anew, for a request that it does not have.
                if not self._state.registry.is_current_boot(part.target):
                    continue
                try:
                    await self._async_hold(part)
                except TargetError as err:
                    log_event("renewal_failed", reservation=part.id, error=str(err))

    async def _async_hold(self, part: Reservation) -> bool:
        """Hold or renew a part; return whether the boot it is meant for holds it."""
        answer = await self._calls.async_reserve(
            part, c.RESERVATION_CALL_TIMEOUT_SECONDS
        )
        is_other = None not in (answer.incarnation, part.target.incarnation) and (
            answer.incarnation != part.target.incarnation
        )
        if is_other:
            # The target started again, and the registry has not told so yet. Symptom:
            # memory is set aside there that no request will ever use.
            log_event("reservation_elsewhere", reservation=part.id)
            self.release(part)
        return answer.is_held and not is_other

    def release(self, part: Reservation) -> None:
        """Free a part in a task of its own, which no cancelled request ends."""
        task = asyncio.create_task(self._async_release(part))
        self._releasing.add(task)
        task.add_done_callback(self._releasing.discard)

    @property
    def _hold_seconds(self) -> float:
        bounds = self._state.settings.bounds
        # What a dead or frozen host left must be free again within the bound.
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
            is_held = await self._async_hold(part)
        except TargetError as err:
            log_event("reservation_failed", reservation=part.id, error=str(err))
            is_held = False
        engine = part.target.id
        if is_held:
            return group.handle(ReservationGranted(engine))
        return group.handle(ReservationRefused(engine))

    def _check_released(self, effects: list[GroupEffect], asked: list[str]) -> None:
        released = {each.engine for each in effects if isinstance(each, ReleasePart)}
        assert not released or released == set(asked)

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
