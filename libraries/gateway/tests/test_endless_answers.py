"""Tests of hosts whose targets, or peers, send bytes without end."""

import asyncio

import pytest

from tarragonward_core import FrameError, TargetError
from tarragonward_gateway import const as c
from tarragonward_gateway.record_exchange import async_pull_records
from tarragonward_standins import answer_with, build_answer
from tarragonward_standins.endless import EndlessBytes, EndlessServer

PROMPT = "5000,100"
WAIT_SECONDS = 5.0
STREAM = ("Content-Type: text/event-stream",)


def send_endless(kind, lines=None):
    """Return a script whose answer never ends; it is sealed if lines are given."""

    async def script(request, writer):
        if lines is None:
            writer.write(kind.value[0])
        else:
            writer.write(build_answer(request, b"", "200 OK", lines, ()))
        while not writer.transport.is_closing():
            writer.write(kind.piece)
            await writer.drain()

    return script


@pytest.mark.parametrize("kind", list(EndlessBytes))
async def test_request_whose_answer_has_no_end_is_served_by_another_target(
    make_site, kind
):
    """The host must neither wait for its deadline nor hold what comes."""
    site = await make_site(send_endless(kind), answer_with(b"done"))
    async with asyncio.timeout(WAIT_SECONDS):
        answer = await site.async_ask()
    assert (answer.status, answer.body) == (200, b"done")
    assert not site.state.answers.held_bytes


@pytest.mark.parametrize("kind", [EndlessBytes.BODY, EndlessBytes.GARBAGE])
async def test_stream_with_an_event_without_end_is_left(make_site, kind):
    """An event is held until it is complete, so it must not grow without a bound."""
    site = await make_site(
        send_endless(kind, STREAM),
        kind="stream",
        attempts=1,
    )
    async with asyncio.timeout(WAIT_SECONDS):
        assert (await site.async_ask_prompt(PROMPT)).status >= 500


async def test_answers_without_end_share_a_bound_on_memory(make_site, monkeypatch):
    """Many targets in trouble at once would use up the memory of the host."""
    monkeypatch.setattr(c, "MAX_ANSWERS_BYTES", 2 * c.MAX_ANSWER_BYTES)
    site = await make_site(*[send_endless(EndlessBytes.BODY, ())] * 6, attempts=1)
    site.state.answers.max_bytes = c.MAX_ANSWERS_BYTES
    most = 0

    async def async_watch():
        nonlocal most
        while True:
            most = max(most, site.state.answers.held_bytes)
            await asyncio.sleep(0)

    watching = asyncio.create_task(async_watch())
    async with asyncio.timeout(WAIT_SECONDS):
        answers = await asyncio.gather(*(site.async_ask() for _ in range(6)))
    watching.cancel()
    assert {answer.status for answer in answers} == {502}
    assert 0 < most <= c.MAX_ANSWERS_BYTES
    assert not site.state.answers.held_bytes


@pytest.mark.parametrize("kind", list(EndlessBytes))
async def test_peer_whose_records_have_no_end_is_given_up(kind):
    """A host that starts must ask another peer, or the source."""
    server = EndlessServer(kind)
    await server.async_setup()
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            with pytest.raises((TargetError, FrameError)):
                await async_pull_records(server.address, 0)
    finally:
        await server.async_unload()
