"""Choose the target of each send of a request and reserve the memory it needs."""

from __future__ import annotations

import asyncio
from typing import Any

from tarragonward_membership import RegisteredTarget
from tarragonward_requests import Exchange

from . import const as c
from .choices import SendChoice, TargetRequirements
from .context import ForwardContext
from .failure_domains.homes import combine_homes
from .reservations import Lease, ReservationTask
from .state import GatewayState
from .targets import TargetChooser

__all__ = ["PlacedSend", "SendPlacer"]

PlacedSend = tuple[SendChoice, Lease | None]


class SendPlacer:
    """Tracks the targets that a request was sent to and chooses the next one.

    abandoned is the last target that was abandoned while it may have been working on
    the request. is_suspect: the verdict on the request is ALONE, so it is sent to the
    target with the least known work in progress.
    """

    def __init__(
        self,
        state: GatewayState,
        chooser: TargetChooser,
        reservations: ReservationTask,
        exchange: Exchange,
        context: ForwardContext,
        tokens: tuple[int, int] | None,
    ) -> None:
        assert context.route is not None
        self._state = state
        self._chooser = chooser
        self._reservations = reservations
        self._exchange = exchange
        self._context = context
        self._route = context.route
        self._homes = combine_homes(context.route, context.account)
        self._tokens = tokens
        self._loop = asyncio.get_running_loop()
        self._leader = ""
        self.tried: set[str] = set()
        self.abandoned = ""
        self.is_suspect = False
        # For how long the request has been held while its targets were full.
        self.held_seconds = 0.0

    def record_chosen(self, target: RegisteredTarget) -> None:
        """Record the target that the request is sent to."""
        self.tried.add(target.id)
        self._leader = target.id

    def describe(self) -> dict[str, Any]:
        """Return what the log says of a choice: targets tried, and seconds held."""
        return {"tried": len(self.tried), "held": self.held_seconds or None}

    def record_full(self, choice: SendChoice) -> None:
        """Record that a target has refused the request for want of a free place.

        A short prompt may go back to it: it is held until a place is free.
        """
        if self._chooser.may_hold(self.build_requirements()):
            self._chooser.record_full(choice)
            self.tried.discard(choice.target.id)

    async def async_place(self, to_previous_target: bool) -> PlacedSend | None:
        """Return the next send, or None if no target remains.

        to_previous_target: resend to the target that the stream came from, or else to
        the last one.
        """
        if not to_previous_target and not await self._async_wait_for_place():
            return None
        leader = (self._exchange.is_streaming and self.abandoned) or self._leader
        placement = await self._async_place(leader if to_previous_target else "")
        if placement is None and to_previous_target:
            self._exchange.count_unplaced_resend()
            if self._exchange.can_send_again(self._loop.time()):
                placement = await self._async_place()
        if placement is None and self.abandoned:
            placement = await self._async_place_at_abandoned()
        return placement

    async def _async_wait_for_place(self) -> bool:
        """Hold the request while its targets are full; return whether to place it.

        A caller that is refused comes back, meets the same full targets, and has then
        used up its attempts, although a place becomes free within its time limit.
        """
        if not self._chooser.must_wait(self.build_requirements()):
            return True
        queue = self._chooser.get_place_queue(self._context.service)
        begun_at = self._loop.time()
        seconds = (self._context.deadline - begun_at) * c.PLACE_HOLD_SHARE
        account, urgency = self._get_account(), self._get_urgency()
        ahead = queue.count_before(account, urgency)
        is_hopeless = queue.predict_wait(begun_at, ahead) > seconds
        if is_hopeless or self._state.is_draining:
            return False
        if not queue.make_room(account, urgency):
            return False
        self._state.metrics.count("requests_held")
        is_free = await queue.async_wait(
            self._has_place, begun_at + seconds, account, urgency, self._estimate_cost()
        )
        self.held_seconds += self._loop.time() - begun_at
        return is_free

    def _estimate_cost(self) -> float:
        """Return for how many seconds the prompt occupies a place of an engine."""
        table = self._state.table
        service = table.services.get(self._context.service) if table else None
        if self._tokens is None or service is None or service.engine is None:
            return c.DEFAULT_HELD_COST_SECONDS
        return service.engine.estimate_occupancy(*self._tokens)

    def _get_account(self) -> str:
        return self._context.account.name if self._context.account is not None else ""

    def _get_urgency(self) -> int:
        """Return the published urgency: the account's, else that of the route."""
        account = self._context.account
        own = account.priority if account is not None else None
        return self._route.priority if own is None else own

    def _has_place(self) -> bool:
        # A request whose targets have gone stops waiting too, and is refused.
        return not self._chooser.are_all_full(self.build_requirements())

    async def _async_place_at_abandoned(self) -> PlacedSend | None:
        """Return the abandoned target, if the request may be sent again.

        The target that the request moved to may be dead without any host knowing yet.
        Without the way back the caller would be told that its request may have run, or
        its stream would be aborted, though the abandoned engine is healthy. That one
        has had the request already, so it does not count as a further target.
        """
        abandoned, self.abandoned = self.abandoned, ""
        if not self._exchange.can_send_again(self._loop.time()):
            return None
        return await self._async_place(abandoned)

    async def _async_place(self, leader: str = "") -> PlacedSend | None:
        """Choose a send, and reserve memory if the prompt exceeds one engine's.

        leader: the engine that has to answer, if that is fixed.

        Reservations of different hosts can block each other, so a refused group is
        tried again after a random delay, which lets one host succeed first.
        """
        for attempt in range(c.MAX_RESERVATION_ATTEMPTS):
            choice = self._chooser.choose(self.build_requirements(leader))
            if choice is None:
                return None
            is_last = attempt + 1 == c.MAX_RESERVATION_ATTEMPTS
            # A host that has lost its links can't check; the leader has its own.
            if choice.helpers and not is_last and not choice.is_relayed:
                with self._chooser.track_in_flight(choice):
                    are_reached = await self._chooser.probes.async_check(choice.helpers)
                if not are_reached:
                    self._chooser.cancel_send(choice.target)
                    continue
            if not choice.needs_reservation:
                return choice, None
            with self._chooser.track_in_flight(choice):
                held = await self._reservations.async_reserve(choice)
            if isinstance(held, Lease):
                return choice, held
            self._chooser.cancel_send(choice.target)
            self._chooser.mark_full(held)
            wait = c.RESERVATION_RETRY_SECONDS * 2**attempt
            await asyncio.sleep(self._state.random.random() * wait)
        return None

    def build_requirements(self, leader: str = "") -> TargetRequirements:
        """Return the requirements on the next target."""
        return TargetRequirements(
            service=self._context.service,
            route=self._route,
            aim_at=self._compute_aim_at(),
            tokens=self._tokens,
            tried=self.tried,
            leader=leader,
            is_suspect=self.is_suspect,
            homes=self._homes,
        )

    def _compute_aim_at(self) -> float:
        """Return when the next event is due by the route's aim or pause aim."""
        if self._exchange.is_streaming:
            return self._loop.time() + self._route.pause_aim_seconds
        return self._context.received_at + self._route.aim_seconds
