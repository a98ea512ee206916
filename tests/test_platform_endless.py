"""Tests of the platform's store and runners that send bytes without end."""

import asyncio

import pytest

from tarragonward_core import TargetError
from tarragonward_gateway import Reservation, SourceError
from tarragonward_membership import RegisteredTarget
from tarragonward_platform.orders import RunnerOrders
from tarragonward_platform.store import StoreReader
from tarragonward_standins.endless import EndlessBytes, EndlessServer

WAIT_SECONDS = 8.0


@pytest.fixture(params=list(EndlessBytes))
async def server(request):
    """Return a server that sends bytes of one kind without end."""
    endless = EndlessServer(request.param)
    await endless.async_setup()
    yield endless
    await endless.async_unload()


async def test_store_whose_answer_has_no_end_is_asked_again(server):
    """A host that waits for the end would never have a configuration."""
    reader = StoreReader(server.address)
    async with asyncio.timeout(WAIT_SECONDS):
        with pytest.raises(SourceError):
            await reader.async_read_page("", 1.5)
        with pytest.raises(SourceError):
            await reader.async_watch(1, 1.0, 1.0)


async def test_order_whose_answer_has_no_end_is_given_up(server):
    """A prompt must not wait for a runner that confirms nothing."""
    target = RegisteredTarget("i-1", "s", server.address, "a", 8, True, 1)
    reservation = Reservation("r1", target, 1_000, 1.0)
    orders = RunnerOrders()
    orders.get_connector = lambda target: None
    orders.on_answer = lambda target, status, headers: None
    async with asyncio.timeout(WAIT_SECONDS):
        for order in (
            orders.async_reserve,
            orders.async_release,
            orders.async_read_use,
        ):
            with pytest.raises(TargetError):
                await order(reservation, 0.4)
