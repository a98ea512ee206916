"""Choose the engines that hold a large prompt together; reserve all or none."""

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
    """One engine's part of a prompt, in KV cache tokens."""

    engine: str
    tokens: int


@dataclass(frozen=True)
class ReservationGranted:
    """The engine has reserved the part."""

    engine: str


@dataclass(frozen=True)
class ReservationRefused:
    """The engine is full, gone or did not answer; it may still hold the part."""

    engine: str


@dataclass(frozen=True)
class ReservePart:
    """Ask an engine to reserve a part."""

    member: GroupMember


@dataclass(frozen=True)
class ReleasePart:
    """Tell an engine to release a part, until it confirms."""

    engine: str


@dataclass(frozen=True)
class GroupReady:
    """All parts are reserved."""


@dataclass(frozen=True)
class RetryGroup:
    """Nothing is reserved; retry after a random delay of up to max_delay_seconds."""

    max_delay_seconds: float


GroupEvent = ReservationGranted | ReservationRefused
GroupEffect = ReservePart | ReleasePart | GroupReady | RetryGroup


def plan_group(
    free_tokens: Sequence[tuple[str, int]], need: int
) -> tuple[GroupMember, ...] | None:
    """Return the fewest engines that hold need tokens, or None if they cannot.

    free_tokens are (engine, free KV cache tokens). A margin is left on each engine, as
    other hosts use it too and the figures are outdated.
    """
    by_free_tokens = sorted(free_tokens, key=lambda item: (-item[1], item[0]))
    members: list[GroupMember] = []
    left = need
    for engine, free in by_free_tokens[: c.MAX_GROUP_ENGINES]:
        part = min(int(free * (1 - c.GROUP_MEMORY_MARGIN)), left)
        if part <= 0:
            break
        members.append(GroupMember(engine, part))
        left -= part
        if not left:
            return tuple(members)
    return None


class GroupReservation:
    """Reserves the parts of one group in engine order, all or nothing.

    If hosts waited while holding parts, two that each hold half of the engines would
    deadlock. So none waits: a refusal releases all parts at once, and a random delay
    before the retry keeps two hosts from refusing each other in lockstep. As all use
    the same engine order, the first contended engine decides.
    """

    def __init__(self, members: Sequence[GroupMember], attempts: int = 0) -> None:
        self._members = sorted(members, key=lambda member: member.engine)
        self._attempts = attempts
        self._requested: list[str] = []
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
        """Return the effects that release every part that was requested; only once."""
        self.has_ended = True
        self.is_ready = False
        requested, self._requested = self._requested, []
        return [ReleasePart(engine) for engine in requested]

    def _reserve_next(self) -> list[GroupEffect]:
        member = self._members[self._granted]
        self._requested.append(member.engine)
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
    # An engine that did not answer may hold the part, so it is released too; releasing
    # what is not held has no effect.
    effects = reservation.release()
    delay = c.GROUP_RETRY_BASE_SECONDS * 2 ** min(reservation._attempts, 16)
    effects.append(RetryGroup(min(delay, c.GROUP_RETRY_MAX_SECONDS)))
    return effects
