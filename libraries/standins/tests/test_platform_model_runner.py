"""Tests of model runners that split a prompt, if a runner or its memory is lost."""

import asyncio

import pytest

from tarragonward_standins import platform_model_runner as runners
from tarragonward_standins.platform_engine import PassSizes
from tarragonward_standins.platform_model_runner import ModelRunner
from tarragonward_standins.platform_runner import RunnerPlan
from tarragonward_standins.platform_store import PlatformStore

SIZES = PassSizes(memory_tokens=50_000)
WAIT_SECONDS = 10.0


@pytest.fixture
async def pair():
    """Two runners: the first gets the request, the second prefills a part."""
    store, runners_by_address, arrivals = PlatformStore(), {}, []
    pair = [
        ModelRunner(
            RunnerPlan("s", "a"), store, arrivals, seed, SIZES, runners_by_address
        )
        for seed in (1, 2)
    ]
    for runner in pair:
        await runner.async_setup()
    yield pair
    for runner in pair:
        await runner.async_unload()


def reserve(runner, reservation_id, hold):
    now = asyncio.get_running_loop().time()
    assert runner.engine.reserve(reservation_id, 40_000, hold, False, now) == 200


async def async_send(runner, helper="", prompt=60_000, answer=20_000):
    """Send a prompt; return the connection."""
    reader, writer = await asyncio.open_connection(
        runner.address.host, runner.address.port
    )
    lines = ["POST /x HTTP/1.1", "X-Request-Id: r", "Content-Length: 0"]
    lines.append(f"X-Token-Counts: {prompt},{answer}")
    lines += [f"X-Helpers: {helper}"] if helper else []
    writer.write("\r\n".join([*lines, "", ""]).encode())
    return reader, writer


async def async_read_to_end(reader):
    async with asyncio.timeout(WAIT_SECONDS):
        return await reader.read()


async def test_expired_reservation_aborts_its_request(pair):
    first, second = pair
    reserve(second, "t", hold=0.5)
    reader, writer = await async_send(first, f"{second.address}/t")
    answer = await async_read_to_end(reader)
    assert not answer.endswith(b"0\r\n\r\n")
    assert "t" not in second.engine.reservations
    writer.close()


async def test_dead_helper_stalls_then_aborts_the_answer(pair, monkeypatch):
    """The answer is being streamed; it stalls and is then aborted."""
    monkeypatch.setattr(runners, "STALL_SECONDS", 0.3)
    first, second = pair
    reserve(second, "t", hold=20.0)
    reader, writer = await async_send(first, f"{second.address}/t")
    async with asyncio.timeout(WAIT_SECONDS):
        await reader.readuntil(b"id: 1\n")
    await second.async_unload()
    answer = await async_read_to_end(reader)
    assert not answer.endswith(b"0\r\n\r\n")
    writer.close()


async def test_runner_dead_before_the_answer_is_reported(pair, monkeypatch):
    monkeypatch.setattr(runners, "STALL_SECONDS", 0.1)
    first, second = pair
    reserve(second, "t", hold=20.0)
    reader, writer = await async_send(first, f"{second.address}/t")
    while not second.engine.running:
        await asyncio.sleep(0.001)
    address = str(second.address)
    await second.async_unload()
    async with asyncio.timeout(WAIT_SECONDS):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    assert " 503 " in head
    assert "X-Not-Run: 1" in head
    assert f"At-Server: {address}" in head
    writer.close()


async def test_second_use_of_a_reservation_is_recorded(pair):
    first, second = pair
    reserve(second, "t", hold=20.0)
    sent = [await async_send(first, f"{second.address}/t")]
    while not second.engine.running:
        await asyncio.sleep(0.001)
    sent.append(await async_send(first, f"{second.address}/t"))
    async with asyncio.timeout(WAIT_SECONDS):
        assert b" 503 " in await sent[1][0].readuntil(b"\r\n\r\n")
    assert second.reservation_log.get("t").is_shared
    for _, writer in sent:
        writer.close()


async def test_new_weights_are_announced_with_the_next_event(pair):
    runner = pair[0]
    reader, writer = await async_send(runner, prompt=1_000, answer=460)
    async with asyncio.timeout(WAIT_SECONDS):
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"X-Weight-Versions: 1" in head
        runner.change_weights()
        text = await reader.readuntil(b" end\n")
    assert text.count(b"x-weight-versions: 2\nid: ") == 1
    writer.close()
