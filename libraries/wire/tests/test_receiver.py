"""Tests for reading from connections that fail."""

import asyncio

import pytest

from tarragonward_wire.receiver import Receiver


async def test_data_received_before_a_failed_write_is_returned_before_the_error():
    """A target answers early and closes, so writing the rest of the body fails.

    The answer was received before the write failed: the reader must get the answer,
    and only then the error.
    """
    receiver = Receiver()
    receiver.data_received(b"answer")
    receiver.connection_lost(ConnectionResetError("write failed"))
    assert await receiver.async_read() == b"answer"
    with pytest.raises(ConnectionResetError):
        await receiver.async_read()


async def test_a_waiting_reader_gets_data_and_then_the_end():
    receiver = Receiver()
    waiting = asyncio.ensure_future(receiver.async_read())
    await asyncio.sleep(0)
    receiver.data_received(b"a")
    receiver.data_received(b"b")
    assert await waiting == b"ab"
    receiver.eof_received()
    assert await receiver.async_read() == b""


async def test_a_cancelled_read_loses_no_data():
    receiver = Receiver()
    waiting = asyncio.ensure_future(receiver.async_read())
    await asyncio.sleep(0)
    waiting.cancel()
    receiver.data_received(b"late")
    await asyncio.gather(waiting, return_exceptions=True)
    assert await receiver.async_read() == b"late"
