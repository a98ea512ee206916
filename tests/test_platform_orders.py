"""Tests of the orders that the adapter sends to runners."""

from pathlib import Path

import pytest

from tarragonward_core import Address, TargetError
from tarragonward_gateway import Gateway, GatewaySettings, Reservation
from tarragonward_gateway.settings import Bounds
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import ReservationUse
from tarragonward_platform.const import HEADERS, PATHS
from tarragonward_platform.documents import DocumentParser
from tarragonward_platform.orders import RunnerOrders
from tarragonward_platform.store import StoreReader
from tarragonward_standins import ScriptedTarget, build_answer, refuse_with

LOCAL = Address("127.0.0.1", 0)


async def test_refused_order_that_states_leaving_ends_work_for_the_runner():
    """Long prompts must not try a leaving runner until the store reports it."""
    settings = GatewaySettings(
        "h1", "d1", LOCAL, LOCAL, LOCAL, LOCAL, (), LOCAL, Bounds()
    )
    orders = RunnerOrders()
    gateway = Gateway(
        settings, StoreReader(LOCAL), DocumentParser(), orders, HEADERS, PATHS, Path()
    )
    runner = ScriptedTarget(refuse_with("409 Full", ["Server-Leaving: 1"]), "i-1")
    await runner.async_setup()
    target = RegisteredTarget("i-1", "llm", runner.address, "d1", 8, True, 1)
    gateway.state.registry.apply(target)
    reservation = Reservation("h1.1.1", target, 1_000, 2.0)
    assert not (await orders.async_reserve(reservation, 2.0)).is_held
    assert gateway.state.registry.get_ready("llm") == ()
    await runner.async_unload()


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b'{"tickets": [{"id": "h1.1.1", "state": "used"}]}', ReservationUse.USED),
        (b'{"tickets": [{"id": "h1.1.1", "state": "held"}]}', ReservationUse.UNUSED),
        (b'{"tickets": [{"id": "h1.1.2", "state": "used"}]}', ReservationUse.GONE),
        (b'{"tickets": []}', ReservationUse.GONE),
        (b'{"tickets": [7]}', None),
        (b"[]", None),
        (b"{", None),
    ],
)
async def test_report_tells_whether_a_reservation_is_used(body, expected):
    async def script(request, writer):
        writer.write(build_answer(request, body))

    runner = ScriptedTarget(script, "i-1")
    await runner.async_setup()
    target = RegisteredTarget("i-1", "llm", runner.address, "d1", 8, True, 1)
    asking = RunnerOrders().async_read_use(
        Reservation("h1.1.1", target, 1_000, 2.0), 2.0
    )
    if expected is None:
        with pytest.raises(TargetError):
            await asking
    else:
        assert await asking is expected
    await runner.async_unload()
