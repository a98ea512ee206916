"""Reserve the engines of a group over HTTP, and always release them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager
from typing import Any

import orjson

from tarragonward_config import Target
from tarragonward_core import TargetError, log_event
from tarragonward_placement import (
    GroupEffect,
    GroupMember,
    GroupReady,
    GroupReservation,
    Placed,
    Refused,
    ReleasePart,
    ReservationGranted,
    ReservationRefused,
    ReservePart,
    RetryGroup,
)
from tarragonward_wire import async_send_http

from . import const as c
from .core import HostState
from .engines import Releases

__all__ = ["GroupHold", "GroupRefusedError", "GroupReserver"]


class GroupRefusedError(TargetError):
    """A group could not be reserved; none of its reservations are kept."""

    def __init__(self, max_delay_seconds: float) -> None:
        super().__init__("not all engines of the group could be reserved")
        self.max_delay_seconds = max_delay_seconds


class GroupReserver:
    """Reserve and release one host's groups of engines.

    active_ids holds the ids that this host uses. The sweep cancels everything else
    that engines hold for this host.
    """

    def __init__(
        self, host: HostState, releases: Releases, active_ids: set[str]
    ) -> None:
        self._host = host
        self._releases = releases
        self._active_ids = active_ids

    @asynccontextmanager
    async def async_hold(
        self, name: str, placed: Placed, attempt: int
    ) -> AsyncIterator[dict[str, str]]:
        """Reserve all parts of a group for the context; yield the ids by engine.

        Raise GroupRefusedError if an engine refuses its part.
        """
        published = self._host.configuration.targets
        targets = {engine: published[engine] for engine in placed.engines}
        ids = {engine: f"{name}-{attempt}@{engine}" for engine in placed.engines}
        members = list(map(GroupMember, placed.engines, placed.parts))
        group = GroupReservation(members, attempt)
        with ExitStack() as stack:
            self._active_ids.update(ids.values())
            stack.callback(self._active_ids.difference_update, ids.values())
            # If the task is cancelled between two reservations, part of the group
            # would keep memory that no request uses. Everything that was requested is
            # released, answered or not; the sweep finds it if a release is lost.
            stack.callback(self._release, group, ids, targets)
            effects = group.start()
            while not group.is_ready:
                effects = await self._async_apply(group, effects, ids, targets)
            yield ids

    async def _async_apply(
        self,
        group: GroupReservation,
        effects: list[GroupEffect],
        ids: Mapping[str, str],
        targets: Mapping[str, Target],
    ) -> list[GroupEffect]:
        next_effects: list[GroupEffect] = []
        for effect in effects:
            match effect:
                case ReservePart(member):
                    granted = await self._async_reserve(
                        targets[member.engine], ids[member.engine], member.tokens
                    )
                    kind = ReservationGranted if granted else ReservationRefused
                    next_effects += group.handle(kind(member.engine))
                case ReleasePart(engine):
                    self._releases.release_reservation(targets[engine], ids[engine])
                case RetryGroup(max_delay):
                    raise GroupRefusedError(max_delay)
                case GroupReady():
                    pass
        return next_effects

    async def _async_reserve(
        self, target: Target, reservation_id: str, tokens: int
    ) -> bool:
        body = {
            "reservation_id": reservation_id,
            "owner": str(self._host.identity),
            "tokens": tokens,
        }
        try:
            answer = await async_send_http(
                target.address,
                "POST",
                "/v1/reservations",
                body=orjson.dumps(body),
                timeout=c.RESERVE_TIMEOUT_SECONDS,
                connect=self._host.get_connector(target),
            )
        except TargetError as err:
            log_event("reserve_failed", target=target.name, reason=repr(err))
            return False
        return answer.status == 200

    def _release(
        self,
        group: GroupReservation,
        ids: Mapping[str, str],
        targets: Mapping[str, Target],
    ) -> None:
        for effect in group.release():
            if isinstance(effect, ReleasePart):
                engine = effect.engine
                self._releases.release_reservation(targets[engine], ids[engine])


class GroupHold:
    """One request's reservations, from its placement until it is released."""

    def __init__(self, groups: GroupReserver) -> None:
        self._groups = groups
        self._stack = AsyncExitStack()
        self._placed: Placed | None = None
        self._ids: dict[str, str] = {}

    async def async_place(
        self, place: Callable[[], Placed | Refused], name: str
    ) -> Placed | Refused:
        """Place a prompt, and reserve its group if it needs more than one engine.

        A refused group is placed again with current data after a random delay, until
        the request's deadline cancels the task.
        """
        attempt = 0
        while True:
            await self.async_release()
            placed = place()
            if isinstance(placed, Refused):
                return placed
            self._placed = placed
            if len(placed.engines) == 1:
                return placed
            reservation = self._groups.async_hold(name, placed, attempt)
            try:
                self._ids = await self._stack.enter_async_context(reservation)
                return placed
            except GroupRefusedError as err:
                await asyncio.sleep(err.max_delay_seconds * random.random())
                attempt += 1

    async def async_release(self) -> None:
        """Release all reservations, if there are any."""
        self._ids = {}
        self._placed = None
        await self._stack.aclose()

    def build_fields(self) -> dict[str, Any]:
        """Return the fields that the leading engine gets with the prompt."""
        if self._placed is None:
            return {}
        return {
            "priority": self._placed.engine_priority,
            "chunk_tokens": self._placed.chunk_tokens,
            "leader": self._placed.engines[0],
            "reservations": self._ids,
        }
