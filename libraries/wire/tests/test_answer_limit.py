"""Tests for the deadline of an answer that is being received."""

import asyncio
import socket
import threading
import time

import pytest

from tarragonward_wire import answer_limit
from tarragonward_wire.answer_limit import AnswerDeadline


def _make_connected_socket():
    """Return a socket whose peer echoes what it receives, on a thread."""
    near, far = socket.socketpair()

    def echo():
        with far:
            while data := far.recv(64):
                far.sendall(data)

    threading.Thread(target=echo, daemon=True).start()
    return near


async def async_wait(deadline, pieces, pause):
    """Record the arrival of pieces of an answer, each after a pause."""
    async with deadline.timer:
        for _ in range(pieces):
            await asyncio.sleep(pause)
            deadline.record_progress()


async def test_progress_extends_the_deadline():
    deadline = AnswerDeadline(0.1, inactivity_timeout=0.1)
    await async_wait(deadline, 8, 0.05)
    assert 0.3 < deadline.transfer_seconds < deadline.waited_seconds


async def test_inactivity_ends_the_wait():
    deadline = AnswerDeadline(0.1, inactivity_timeout=0.1)
    with pytest.raises(TimeoutError):
        await async_wait(deadline, 2, 0.4)


async def test_a_trickling_answer_is_bounded(monkeypatch):
    """A faulty peer sends a byte now and then; its answer would never be given up."""
    monkeypatch.setattr(answer_limit, "MAX_TRANSFER_SECONDS", 0.3)
    deadline = AnswerDeadline(0.1, inactivity_timeout=0.1)
    with pytest.raises(TimeoutError):
        await async_wait(deadline, 100, 0.05)


async def test_without_inactivity_timeout_the_total_time_is_limited():
    deadline = AnswerDeadline(0.2, inactivity_timeout=None)
    with pytest.raises(TimeoutError):
        await async_wait(deadline, 8, 0.05)


async def test_data_that_arrives_as_the_deadline_expires_does_no_harm():
    """The deadline of one request expires just as the link's reader receives data.

    The timer has expired, but its task has not run yet. An expired timer can't be
    rescheduled; the error would end the reader and fail all requests on the link.
    """
    deadline = AnswerDeadline(5.0, inactivity_timeout=5.0)
    loop, errors = asyncio.get_running_loop(), []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    with pytest.raises(TimeoutError):
        async with deadline.timer:
            deadline.timer.reschedule(loop.time())
            loop.call_soon(deadline.record_progress)
            await asyncio.sleep(1.0)
    assert errors == []


async def test_answer_that_waits_in_the_socket_is_read_after_a_pause():
    """A process that wakes after its deadline must not drop an answer it has got."""
    reader, writer = await asyncio.open_connection(sock=_make_connected_socket())
    deadline = AnswerDeadline(0.1, inactivity_timeout=None)
    async with deadline.timer:
        writer.write(b"answer")
        await writer.drain()
        time.sleep(0.2)
        answer = await reader.readexactly(6)
    writer.close()
    assert answer == b"answer"


async def test_wait_ends_after_a_pause_without_an_answer():
    deadline = AnswerDeadline(0.1, inactivity_timeout=None)
    with pytest.raises(TimeoutError):
        async with deadline.timer:
            time.sleep(0.2)
            await asyncio.sleep(1.0)
    assert deadline.waited_seconds < 0.4
