"""Check that a prompt's memory is held whole or not at all, and freed on every path."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from tarragonward_core import Address, ConnectionLostError
from tarragonward_gateway import (
    GatewaySettings,
    HeaderNames,
    Paths,
    Reservation,
    ReservationAnswer,
)
from tarragonward_gateway.reservations import Lease, ReservationTask
from tarragonward_gateway.settings import Bounds
from tarragonward_gateway.state import GatewayState
from tarragonward_gateway.targets import SendChoice
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import PrefillPlan

ADDRESS = Address("127.0.0.1", 9)


class FakeTargets:
    """Targets that hold reservations by (target, id), and may refuse or go silent."""

    def __init__(self) -> None:
        self.held: dict[tuple[str, str], int] = {}
        self.calls: list[tuple[str, str]] = []
        self.refusing: set[str] = set()
        self.silent_after_holding: set[str] = set()
        self.hanging: set[str] = set()
        self.lost_releases = 0
        self.hold_seconds: list[float] = []
        self.incarnations: dict[str, int] = {}

    async def async_reserve(
        self, reservation: Reservation, timeout: float
    ) -> ReservationAnswer:
        """Hold a part."""
        target = reservation.target.id
        self.calls.append(("reserve", target))
        self.hold_seconds.append(reservation.hold_seconds)
        await asyncio.sleep(0)
        if target in self.hanging:
            await asyncio.Event().wait()
        if target in self.refusing:
            return ReservationAnswer(False)
        self.held[target, reservation.id] = reservation.tokens
        if target in self.silent_after_holding:
            raise ConnectionLostError("no answer")
        return ReservationAnswer(True, self.incarnations.get(target))

    async def async_release(self, reservation: Reservation, timeout: float) -> bool:
        """Free a part."""
        self.calls.append(("release", reservation.target.id))
        if self.lost_releases:
            self.lost_releases -= 1
            raise ConnectionLostError("no answer")
        self.held.pop((reservation.target.id, reservation.id), None)
        return True


def build_task(targets: FakeTargets, free_seconds: float = 4.0) -> ReservationTask:
    """Return the task of a host that is bound by free_seconds."""
    settings = GatewaySettings(
        name="host-1",
        failure_domain="a",
        callers=ADDRESS,
        health=ADDRESS,
        control=ADDRESS,
        peers=ADDRESS,
        seeds=(),
        source=ADDRESS,
        bounds=Bounds(free_seconds=free_seconds),
    )
    return ReservationTask(GatewayState(settings, HeaderNames(), Paths()), targets)


def build_choice() -> SendChoice:
    """Return a send whose prompt lies on two helpers and the leader."""
    leader, *helpers = (
        RegisteredTarget(name, "llm", ADDRESS, "a", 8, True, 1)
        for name in ("t0", "t1", "t2")
    )
    plan = PrefillPlan(
        prefill_engines=("t0", "t1", "t2"),
        part_seconds=1.0,
        prefill_end_seconds={},
        first_event_seconds=1.0,
        cost=0.0,
        reserved_tokens={"t1": 300_000, "t2": 200_000},
    )
    return SendChoice(leader, tuple(helpers), plan)


async def async_wait_until(holds: Callable[[], bool]) -> None:
    """Return as soon as the condition holds."""
    async with asyncio.timeout(5):
        while not holds():
            await asyncio.sleep(0.001)


async def test_all_parts_are_held_and_then_freed() -> None:
    """The helpers are told the ticket by which they hold their part."""
    targets = FakeTargets()
    choice = build_choice()
    lease = await build_task(targets).async_reserve(choice)
    assert isinstance(lease, Lease)
    assert targets.held == {
        ("t1", choice.ticket): 300_000,
        ("t2", choice.ticket): 200_000,
    }
    assert choice.helpers_header == ",".join([f"{ADDRESS}/{choice.ticket}"] * 2)
    lease.release()
    await async_wait_until(lambda: not targets.held)


async def test_refused_part_frees_the_others() -> None:
    """Half a group held by each of two hosts would wait for ever.

    The second target refuses after the first has granted; the first part is freed, and
    the caller learns who refused, so that the next group is without it.
    """
    targets = FakeTargets()
    targets.refusing = {"t2"}
    assert await build_task(targets).async_reserve(build_choice()) == "t2"
    await async_wait_until(lambda: ("release", "t2") in targets.calls)
    assert targets.held == {}


async def test_part_whose_answer_was_lost_is_freed_too() -> None:
    """The target may hold it: memory would stay set aside with no request using it."""
    targets = FakeTargets()
    targets.silent_after_holding = {"t2"}
    targets.lost_releases = 1
    assert await build_task(targets).async_reserve(build_choice()) == "t2"
    await async_wait_until(lambda: not targets.held)


async def test_caller_that_leaves_while_reserving_frees_all() -> None:
    """The request's task is cancelled between two grants; its memory is not lost."""
    targets = FakeTargets()
    targets.hanging = {"t2"}
    task = asyncio.create_task(build_task(targets).async_reserve(build_choice()))
    await async_wait_until(lambda: bool(targets.held))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await async_wait_until(lambda: not targets.held)


async def test_held_parts_are_renewed_until_released() -> None:
    """A hold is short, as a dead host's memory must be free again soon."""
    targets = FakeTargets()
    lease = await build_task(targets, 0.02).async_reserve(build_choice())
    assert isinstance(lease, Lease)
    await async_wait_until(lambda: targets.calls.count(("reserve", "t1")) > 3)
    lease.release()
    await async_wait_until(lambda: not targets.held)
    count = len(targets.calls)
    await asyncio.sleep(0.05)
    assert len(targets.calls) == count


async def test_no_two_sends_share_a_ticket() -> None:
    """Two requests that use one ticket at the same time break each other."""
    targets = FakeTargets()
    first, second = build_task(targets), build_task(targets)
    choices = [build_choice() for _ in range(4)]
    for task, choice in zip([first, first, second, second], choices, strict=True):
        lease = await task.async_reserve(choice)
        assert isinstance(lease, Lease)
        lease.release()
    assert len({choice.ticket for choice in choices}) == len(choices)


async def test_renewing_goes_on_after_a_renewal_that_was_lost() -> None:
    """A hold that lapses cuts its request off; one lost answer must not let it."""
    targets = FakeTargets()
    lease = await build_task(targets, 0.02).async_reserve(build_choice())
    assert isinstance(lease, Lease)
    targets.silent_after_holding = {"t1", "t2"}
    await async_wait_until(lambda: targets.calls.count(("reserve", "t1")) > 4)
    lease.release()


async def test_a_hold_is_short_enough_to_end_with_a_dead_host() -> None:
    """A killed host renews and releases nothing; its memory must be free in time."""
    targets = FakeTargets()
    lease = await build_task(targets, free_seconds=4.0).async_reserve(build_choice())
    assert isinstance(lease, Lease)
    assert targets.hold_seconds and max(targets.hold_seconds) < 4.0
    lease.release()


async def test_a_renewal_at_a_later_boot_is_taken_back():
    """An engine crashes and starts again under its id, before the registry tells so.

    The host renews the reservation that the earlier boot held, so the later one sets
    memory aside for a request that it does not have. It answers as another boot, and
    is released at once; once the registry tells of the boot, nothing is renewed.
    """
    targets = FakeTargets()
    choice = build_choice()
    helpers = tuple(replace(each, incarnation=1) for each in choice.helpers)
    choice = SendChoice(choice.target, helpers, choice.plan)
    task = build_task(targets, 0.02)
    lease = await task.async_reserve(choice)
    targets.incarnations = {helper.id: 2 for helper in helpers}
    await asyncio.sleep(0.05)
    assert not targets.held
    for helper in helpers:
        task._state.registry.apply(replace(helper, incarnation=2, revision=9))
        task._state.registry.apply(helper)
    task._state.registry.apply(replace(helpers[0], incarnation=1, revision=4))
    lease.release()
    await task.async_unload()
    assert not targets.held
