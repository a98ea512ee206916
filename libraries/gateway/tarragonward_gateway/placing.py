"""Find a target for each send of one request, with the memory that it needs."""

from __future__ import annotations

import asyncio

from tarragonward_membership import RegisteredTarget
from tarragonward_requests import Exchange

from . import const as c
from .context import ForwardContext
from .reservations import Lease, ReservationTask
from .state import GatewayState
from .targets import SendChoice, TargetChooser, TargetNeed

__all__ = ["PlacedSend", "SendPlacer"]

PlacedSend = tuple[SendChoice, Lease | None]


class SendPlacer:
    """The targets that a request was sent to, and where it goes next.

    left is the last target that was left while it was at work. A suspect, under which
    targets have ended, is sent where nothing else is in progress.
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
        self._tokens = tokens
        self._loop = asyncio.get_running_loop()
        self._leader = ""
        self.tried: set[str] = set()
        self.abandoned = ""
        self.is_suspect = False

    def record_chosen(self, target: RegisteredTarget) -> None:
        """Note that the request goes to a target."""
        self.tried.add(target.id)
        self._leader = target.id

    async def async_place(self, returns: bool) -> PlacedSend | None:
        """Return where to send next, None where no target is left.

        returns: to the target where a stream came from, or to the last one.
        """
        leader = (self._exchange.is_started and self.abandoned) or self._leader
        placed = await self._async_place(leader if returns else "")
        if placed is None and returns:
            self._exchange.cancel_resend()
            if self._exchange.can_send_again(self._loop.time()):
                placed = await self._async_place()
        if placed is None and self.abandoned:
            placed = await self._async_place_again()
        return placed

    async def _async_place_again(self) -> PlacedSend | None:
        """Return the target that was left while it was at work, if it may be sent to.

        The one that the request left for may be dead, and nobody has found out yet.
        Symptom: the caller hears that its request may have run, or its stream is broken
        off, though the engine that it came from is well. It has had the request
        already, so it is not one more target.
        """
        left, self.abandoned = self.abandoned, ""
        if not self._exchange.can_send_again(self._loop.time()):
            return None
        return await self._async_place(left)

    async def _async_place(self, leader: str = "") -> PlacedSend | None:
        """Return where to send, with the memory held where one engine has too little.

        Where a leader is given, it is the one that is to answer.

        Hosts that refuse each other's groups try again after random times, so that one
        of them comes first.
        """
        for attempt in range(c.MAX_RESERVATION_ATTEMPTS):
            choice = self._chooser.choose(self.build_need(leader))
            if choice is None:
                return None
            is_last = attempt + 1 == c.MAX_RESERVATION_ATTEMPTS
            if choice.helpers and not is_last:
                with self._chooser.track_in_flight(choice):
                    are_reached = await self._chooser.probes.async_check(choice.helpers)
                if not are_reached:
                    self._chooser.return_send(choice.target)
                    continue
            if not choice.needs_tickets:
                return choice, None
            with self._chooser.track_in_flight(choice):
                held = await self._reservations.async_reserve(choice)
            if isinstance(held, Lease):
                return choice, held
            self._chooser.return_send(choice.target)
            self._chooser.note_full(held)
            wait = c.RESERVATION_RETRY_SECONDS * 2**attempt
            await asyncio.sleep(self._state.random.random() * wait)
        return None

    def build_need(self, leader: str = "") -> TargetNeed:
        """Return what the next target must be fit for."""
        return TargetNeed(
            service=self._context.service,
            route=self._route,
            aim_at=self._compute_aim_at(),
            tokens=self._tokens,
            tried=self.tried,
            leader=leader,
            is_suspect=self.is_suspect,
        )

    def _compute_aim_at(self) -> float:
        """Return when the next event is due: the first one's aim, then the pause's."""
        if self._exchange.is_started:
            return self._loop.time() + self._route.pause_aim_seconds
        return self._context.received_at + self._route.aim_seconds
