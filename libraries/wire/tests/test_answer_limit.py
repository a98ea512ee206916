"""When an answer that is waited for is given up."""

import asyncio

import pytest

from tarragonward_wire import answer_limit
from tarragonward_wire.answer_limit import AnswerLimit


async def async_wait(limit, pieces, pause):
    """Note so many pieces of an answer, a pause between each two."""
    async with limit.timer:
        for _ in range(pieces):
            await asyncio.sleep(pause)
            limit.note_progress()


async def test_what_keeps_coming_is_waited_for():
    limit = AnswerLimit(0.1, silence_timeout=0.1)
    await async_wait(limit, 8, 0.05)
    assert 0.3 < limit.transfer_seconds < limit.waited_seconds


async def test_what_stops_coming_is_given_up():
    limit = AnswerLimit(0.1, silence_timeout=0.1)
    with pytest.raises(TimeoutError):
        await async_wait(limit, 2, 0.4)


async def test_what_trickles_is_given_up(monkeypatch):
    """A sick peer sends a byte now and then; its answer would hold a place for good."""
    monkeypatch.setattr(answer_limit, "LONGEST_TRANSFER_SECONDS", 0.3)
    limit = AnswerLimit(0.1, silence_timeout=0.1)
    with pytest.raises(TimeoutError):
        await async_wait(limit, 100, 0.05)


async def test_without_a_limit_of_silence_the_whole_answer_must_come_in_time():
    limit = AnswerLimit(0.2, silence_timeout=None)
    with pytest.raises(TimeoutError):
        await async_wait(limit, 8, 0.05)


async def test_bytes_that_come_as_the_time_ends_do_no_harm():
    """One question's time ends, and all questions over the same link fail with it.

    Its timer has run out and its task has not yet run as the link's reader notes bytes;
    a timer that is running out can't be put off, and the error would end the reader.
    """
    limit = AnswerLimit(5.0, silence_timeout=5.0)
    loop, errors = asyncio.get_running_loop(), []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    with pytest.raises(TimeoutError):
        async with limit.timer:
            limit.timer.reschedule(loop.time())
            loop.call_soon(limit.note_progress)
            await asyncio.sleep(1.0)
    assert errors == []
