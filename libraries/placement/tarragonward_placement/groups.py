"""Decide which engines hold a prompt beyond one engine, and reserve all or none."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from tarragonward_core import invariants

from . import const as c

__all__ = [
    "GroupEffect",
    "GroupEvent",
    "GroupMember",
    "GroupReady",
    "GroupReservation",
    "ReleasePart",
    "ReservationGranted",
    "ReservationRefused",
    "ReservePart",
    "RetryGroup",
    "plan_group",
]


@dataclass(frozen=True)
class GroupMember:
    """One engine's part of a prompt, in KV tokens."""

    engine: str
    tokens: int


@dataclass(frozen=True)
class ReservationGranted:
    """The engine holds the part."""

    engine: str


@dataclass(frozen=True)
class ReservationRefused:
    """The engine has no room, is gone, or did not say; the part may be held."""

    engine: str


@dataclass(frozen=True)
class ReservePart:
    """Ask an engine to hold a part."""

    member: GroupMember


@dataclass(frozen=True)
class ReleasePart:
    """Tell an engine to free a part, until it has said so."""

    engine: str


@dataclass(frozen=True)
class GroupReady:
    """All parts are held."""


@dataclass(frozen=True)
class RetryGroup:
    """Nothing is held; try again after a random part of max_delay_seconds."""

    max_delay_seconds: float


GroupEvent = ReservationGranted | ReservationRefused
GroupEffect = ReservePart | ReleasePart | GroupReady | RetryGroup


def plan_group(
    free_tokens: Sequence[tuple[str, int]], need: int
) -> tuple[GroupMember, ...] | None:
    """Return the fewest engines that hold need tokens, or None where they can't.

    free_tokens are (engine, free KV tokens); a margin is left on each, as others
    use the engines too and the figures are old.
    """
    roomy = sorted(free_tokens, key=lambda item: (-item[1], item[0]))
    members: list[GroupMember] = []
    left = need
    for engine, free in roomy[: c.MAX_GROUP_ENGINES]:
        part = min(int(free * (1 - c.GROUP_MEMORY_MARGIN)), left)
        if part <= 0:
            break
        members.append(GroupMember(engine, part))
        left -= part
        if not left:
            return tuple(members)
    return None


class GroupReservation:
    """Reserve the parts of one group in engine order, all or nothing.

    Two hosts that each hold half of a group and wait for the other's half would wait
    for ever. Here none waits while it holds: a refusal releases all at once, and the
    random delay before the next try keeps two hosts from refusing each other in
    step. The order of the engines makes the first contended one decide.
    """

    def __init__(self, members: Sequence[GroupMember], tries: int = 0) -> None:
        self._members = sorted(members, key=lambda member: member.engine)
        self._tries = tries
        self._asked: list[str] = []
        self._granted = 0
        self.is_ready = False
        self.has_ended = False

    def start(self) -> list[GroupEffect]:
        """Return the first effect."""
        return self._reserve_next()

    def handle(self, event: GroupEvent) -> list[GroupEffect]:
        """Return the effects of an engine's answer."""
        return _handle(event, self)

    def release(self) -> list[GroupEffect]:
        """Return what frees all that was ever asked for; once."""
        self.has_ended = True
        self.is_ready = False
        asked, self._asked = self._asked, []
        return [ReleasePart(engine) for engine in asked]

    def _reserve_next(self) -> list[GroupEffect]:
        member = self._members[self._granted]
        self._asked.append(member.engine)
        return [ReservePart(member)]


@singledispatch
def _handle(event: GroupEvent, reservation: GroupReservation) -> list[GroupEffect]:
    raise TypeError(f"not a group event: {event!r}")


@_handle.register
def _(event: ReservationGranted, reservation: GroupReservation) -> list[GroupEffect]:
    if reservation.has_ended:
        return []
    invariants.check(
        event.engine == reservation._members[reservation._granted].engine,
        "group_reserved_in_engine_order",
        engine=event.engine,
    )
    reservation._granted += 1
    if reservation._granted < len(reservation._members):
        return reservation._reserve_next()
    reservation.is_ready = True
    return [GroupReady()]


@_handle.register
def _(event: ReservationRefused, reservation: GroupReservation) -> list[GroupEffect]:
    if reservation.has_ended:
        return []
    # The engine that did not say may hold the part all the same, so it is
    # released too: releasing what is not held changes nothing.
    effects = reservation.release()
    delay = c.GROUP_RETRY_BASE_SECONDS * 2 ** min(reservation._tries, 16)
    effects.append(RetryGroup(min(delay, c.GROUP_RETRY_MAX_SECONDS)))
    return effects
