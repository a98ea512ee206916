"""Tests of sending orders to engines, in one process."""

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

    host = SimpleNamespace(
        configuration_number=number,
        metrics=Metrics(),
        get_connector=lambda target: None,
    )
    return OrderTask(
        host, None, SimpleNamespace(async_verify_newest=async_verify_newest)
    )


async def async_get_fencing(engine):
    answer = await async_send_http(engine.address, "GET", "/v1/load", timeout=5)
    return answer.parse_json()["fencing"]


@pytest.mark.parametrize("has_new_number", [True, False])
async def test_no_order_is_sent_after_a_pause_since_the_verification(
    make_engine, monkeypatch, has_new_number
):
    """A host verifies its state with the service, then is paused before it writes.

    Meanwhile another number may have become active, and the order would revert an
    engine that ignores fencing. The host must send nothing if its verification is too
    old or its number is no longer active.
    """
    engine, task = await make_engine(True), make_task(3)
    loop = asyncio.get_running_loop()
    connect, pauses = loop.create_connection, []

    async def async_connect_then_pause(*arguments):
        connection = await connect(*arguments)
        pauses.append(arguments)
        if has_new_number:
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
async def test_only_an_engine_that_ignores_fencing_accepts_an_old_order(
    make_engine, ignores, expected
):
    engine = await make_engine(ignores)
    for number in (5, 3):
        await make_task(number)._async_send(engine, EngineOrder("engine-1", number, ()))
    assert await async_get_fencing(engine) == expected
