"""Tests that a prompt's memory is reserved completely or not at all, and released."""

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
from tarragonward_gateway.choices import SendChoice
from tarragonward_gateway.reservations import Lease, ReservationTask
from tarragonward_gateway.settings import Bounds
from tarragonward_gateway.state import GatewayState
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import PrefillPlan, ReservationUse

ADDRESS = Address("127.0.0.1", 9)


class FakeTargets:
    """Targets with reservations by (target, id), which may refuse or not answer."""

    def __init__(self) -> None:
        self.held: dict[tuple[str, str], int] = {}
        self.calls: list[tuple[str, str]] = []
        self.refusing: set[str] = set()
        self.silent_after_holding: set[str] = set()
        self.hanging: set[str] = set()
        self.lost_releases = 0
        self.hold_seconds: list[float] = []
        self.incarnations: dict[str, int] = {}
        self.used: set[str] = {"t1"}
        self.without_report: set[str] = set()

    async def async_reserve(
        self, reservation: Reservation, timeout: float
    ) -> ReservationAnswer:
        """Reserve a part."""
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
        """Release a part."""
        self.calls.append(("release", reservation.target.id))
        if self.lost_releases:
            self.lost_releases -= 1
            raise ConnectionLostError("no answer")
        self.held.pop((reservation.target.id, reservation.id), None)
        return True

    async def async_read_use(
        self, reservation: Reservation, timeout: float
    ) -> ReservationUse:
        """Return whether a part is in use."""
        target = reservation.target.id
        self.calls.append(("report", target))
        if target in self.without_report:
            raise ConnectionLostError("no report")
        if (target, reservation.id) not in self.held:
            return ReservationUse.GONE
        return ReservationUse.USED if target in self.used else ReservationUse.UNUSED


def build_task(
    targets: FakeTargets, free_seconds: float = 4.0, unused_seconds: float = 9.0
) -> ReservationTask:
    """Return the task of a host with these bounds."""
    settings = GatewaySettings(
        name="host-1",
        failure_domain="a",
        callers=ADDRESS,
        health=ADDRESS,
        control=ADDRESS,
        peers=ADDRESS,
        seeds=(),
        source=ADDRESS,
        bounds=Bounds(free_seconds=free_seconds, unused_seconds=unused_seconds),
    )
    return ReservationTask(GatewayState(settings, HeaderNames(), Paths()), targets)


def build_choice() -> SendChoice:
    """Return a send whose prompt needs memory on two helpers and the leader."""
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
    """Wait until the condition holds."""
    async with asyncio.timeout(5):
        while not holds():
            await asyncio.sleep(0.001)


async def test_all_parts_are_reserved_and_then_released() -> None:
    """The helpers header contains the ticket of each helper's reservation."""
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


async def test_refused_part_releases_the_others() -> None:
    """Two hosts that each held half a group would wait for each other forever.

    The second target refuses after the first has granted. The first part is released,
    and the target that refused is returned, so that the next group can exclude it.
    """
    targets = FakeTargets()
    targets.refusing = {"t2"}
    assert await build_task(targets).async_reserve(build_choice()) == "t2"
    await async_wait_until(lambda: ("release", "t2") in targets.calls)
    assert targets.held == {}


async def test_part_whose_answer_was_lost_is_released() -> None:
    """The target may have reserved the memory, which would then leak."""
    targets = FakeTargets()
    targets.silent_after_holding = {"t2"}
    targets.lost_releases = 1
    assert await build_task(targets).async_reserve(build_choice()) == "t2"
    await async_wait_until(lambda: not targets.held)


async def test_cancelled_reservation_releases_all_parts() -> None:
    """Memory must not leak if the request is cancelled between two grants."""
    targets = FakeTargets()
    targets.hanging = {"t2"}
    task = asyncio.create_task(build_task(targets).async_reserve(build_choice()))
    await async_wait_until(lambda: bool(targets.held))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await async_wait_until(lambda: not targets.held)


async def test_reservations_are_renewed_until_released() -> None:
    """Reservations expire soon, to free a dead host's memory, so they are renewed."""
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
    """Two concurrent requests with the same ticket would break each other."""
    targets = FakeTargets()
    first, second = build_task(targets), build_task(targets)
    choices = [build_choice() for _ in range(4)]
    for task, choice in zip([first, first, second, second], choices, strict=True):
        lease = await task.async_reserve(choice)
        assert isinstance(lease, Lease)
        lease.release()
    assert len({choice.ticket for choice in choices}) == len(choices)


async def test_renewal_continues_after_a_lost_answer() -> None:
    """A reservation must not expire because one renewal is lost."""
    targets = FakeTargets()
    lease = await build_task(targets, 0.02).async_reserve(build_choice())
    assert isinstance(lease, Lease)
    targets.silent_after_holding = {"t1", "t2"}
    await async_wait_until(lambda: targets.calls.count(("reserve", "t1")) > 4)
    lease.release()


async def test_reservation_expires_soon_after_its_host_died() -> None:
    """A killed host releases nothing, so its reservations must expire in time."""
    targets = FakeTargets()
    lease = await build_task(targets, free_seconds=4.0).async_reserve(build_choice())
    assert isinstance(lease, Lease)
    assert targets.hold_seconds and max(targets.hold_seconds) < 4.0
    lease.release()


async def test_renewal_at_a_restarted_target_is_released():
    """A renewal must not leak memory on an engine that has restarted.

    The engine restarts under its id before the registry shows it, so the renewal
    reserves memory for a request that the new incarnation does not have. Its answer
    has another incarnation, and the reservation is released at once. After the
    registry shows the restart, nothing is renewed.
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


async def async_hold(targets: FakeTargets, seconds: float) -> list[str]:
    """Hold a lease so long; return an entry if it was given up as unused."""
    given_up: list[str] = []
    task = build_task(targets, free_seconds=0.02, unused_seconds=0.1)
    lease = await task.async_reserve(build_choice())
    assert isinstance(lease, Lease)
    lease.on_unused = lambda: given_up.append("unused")
    await asyncio.sleep(seconds)
    assert bool(targets.held) != bool(given_up)
    lease.release()
    await task.async_unload()
    return given_up


async def test_memory_that_no_request_uses_is_released() -> None:
    """A leader that hangs never uses its helpers' memory, which others wait for."""
    targets = FakeTargets()
    targets.used = set()
    assert await async_hold(targets, 0.05) == []
    assert await async_hold(targets, 0.3) == ["unused"]
    assert targets.calls.count(("release", "t1")) == 2


async def test_memory_of_which_one_part_is_used_is_kept() -> None:
    """The parts are used in turn; a prompt whose part expires is aborted."""
    targets = FakeTargets()
    assert await async_hold(targets, 0.3) == []
    # One look with each renewal, at one part.
    assert targets.calls.count(("report", "t2")) == 0
    looks = targets.calls.count(("report", "t1"))
    assert 1 < looks <= targets.calls.count(("reserve", "t1"))


async def test_memory_is_released_after_a_request_whose_answer_was_lost() -> None:
    """The request has ended, and its connection gives no sign of that."""
    targets = FakeTargets()
    given_up: list[str] = []
    task = build_task(targets, free_seconds=0.2)
    lease = await task.async_reserve(build_choice())
    assert isinstance(lease, Lease)
    lease.on_unused = lambda: given_up.append("unused")
    await async_wait_until(lambda: ("report", "t1") in targets.calls)
    targets.used = set()
    await async_wait_until(lambda: bool(given_up) and not targets.held)
    lease.release()
    await task.async_unload()


async def test_events_show_that_memory_is_used_without_a_look() -> None:
    """Each look is a call to an engine, which a prompt that is answered can spare."""
    targets = FakeTargets()
    task = build_task(targets, free_seconds=1.2)
    choice = build_choice()
    lease = await task.async_reserve(choice)
    async with asyncio.timeout(5):
        while targets.calls.count(("reserve", "t1")) < 4:
            choice.on_events()
            await asyncio.sleep(0.005)
    assert ("report", "t1") not in targets.calls
    lease.release()
    await task.async_unload()


async def test_expired_memory_is_not_reserved_anew() -> None:
    """A host that was frozen must not take memory for a request that was cut off."""
    targets = FakeTargets()
    task = build_task(targets, free_seconds=0.2)
    lease = await task.async_reserve(build_choice())
    reserved = targets.calls.count(("reserve", "t1"))
    targets.held.clear()
    await async_wait_until(lambda: ("release", "t1") in targets.calls)
    assert targets.calls.count(("reserve", "t1")) == reserved
    lease.release()
    await task.async_unload()


async def test_memory_is_kept_while_no_target_reports_its_use() -> None:
    targets = FakeTargets()
    targets.used = set()
    targets.without_report = {"t1", "t2"}
    assert await async_hold(targets, 0.3) == []
