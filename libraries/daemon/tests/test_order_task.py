"""Tests of the sending of orders to engines, in one process."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from tarragonward_config import EngineOrder
from tarragonward_core import Address, Metrics
from tarragonward_daemon.orders import OrderTask
from tarragonward_standins import EngineSizes, EngineStandIn
from tarragonward_wire import async_send_http


@pytest.fixture
async def make_engine():
    engines = []

    async def async_make(ignores_fencing):
        address = Address("127.0.0.1", 0)
        engine = EngineStandIn(address, EngineSizes(), ignores_fencing=ignores_fencing)
        engines.append(engine)
        await engine.async_setup()
        return SimpleNamespace(name="engine-1", address=engine.address)

    yield async_make
    for engine in engines:
        await engine.async_unload()


def make_task(number):
    async def async_verify_newest():
        return True

    host = SimpleNamespace(configuration_number=number, metrics=Metrics())
    return OrderTask(
        host, None, SimpleNamespace(async_verify_newest=async_verify_newest)
    )


async def async_get_fencing(engine):
    answer = await async_send_http(engine.address, "GET", "/v1/load", timeout=5)
    return answer.parse_json()["fencing"]


@pytest.mark.parametrize("has_moved_on", [True, False])
async def test_a_pause_after_the_look_sends_no_order(
    make_engine, monkeypatch, has_moved_on
):
    """A host looks at the service, and is paused before it writes its order.

    Meanwhile another number came into force. Woken, it would order an engine that
    ignores fencing back to the old version; it finds its look too long ago, or its
    number no longer in force, and sends nothing.
    """
    engine, task = await make_engine(True), make_task(3)
    loop = asyncio.get_running_loop()
    connect, pauses = loop.create_connection, []

    async def async_connect_then_pause(*arguments):
        connection = await connect(*arguments)
        pauses.append(arguments)
        if has_moved_on:
            task._host.configuration_number = 4
        else:
            time.sleep(1.1)
        return connection

    monkeypatch.setattr(loop, "create_connection", async_connect_then_pause)
    await task._async_verify_then_send(engine, EngineOrder("engine-1", 3, ()))
    monkeypatch.undo()
    assert pauses
    assert await async_get_fencing(engine) == 0


@pytest.mark.parametrize(("ignores", "expected"), [(True, 3), (False, 5)])
async def test_only_an_engine_that_ignores_fencing_takes_an_old_order(
    make_engine, ignores, expected
):
    engine = await make_engine(ignores)
    for number in (5, 3):
        await make_task(number)._async_send(engine, EngineOrder("engine-1", number, ()))
    assert await async_get_fencing(engine) == expected
