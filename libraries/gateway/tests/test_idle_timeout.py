"""Tests that a silent target is abandoned only if another one can take over."""

import asyncio

import pytest

from tarragonward_gateway import const as c
from tarragonward_gateway.idle_timeout import (
    IdleTimeout,
    StreamMovedError,
    TargetSilentError,
)


async def test_silent_target_is_abandoned():
    with pytest.raises(TargetSilentError):
        async with IdleTimeout(0.01, 1.0, lambda: True):
            await asyncio.Event().wait()


async def test_pause_within_a_stream_is_limited():
    with pytest.raises(TargetSilentError):
        async with IdleTimeout(5.0, 0.01, lambda: True) as watch:
            watch.pause()
            watch.resume()
            await asyncio.Event().wait()


async def test_silent_target_is_kept_while_no_other_can_take_over(monkeypatch):
    """Without another target the caller must keep the chance of a late answer."""
    monkeypatch.setattr(c, "SILENCE_RECHECK_SECONDS", 0.01)
    asked = []

    def may_abandon():
        asked.append(1)
        return False

    async with IdleTimeout(0.01, 0.01, may_abandon):
        async with asyncio.timeout(5):
            while len(asked) < 3:
                await asyncio.sleep(0.005)


async def test_overdue_target_is_abandoned_for_a_faster_one():
    """An overdue target is not silent yet, so no fault must be recorded."""
    with pytest.raises(StreamMovedError):
        async with IdleTimeout(5.0, 5.0, lambda: True, 0.01, lambda: True):
            await asyncio.Event().wait()


async def test_overdue_target_is_kept_while_no_other_is_faster(monkeypatch):
    """Processing the prompt again elsewhere would take even longer."""
    monkeypatch.setattr(c, "SILENCE_RECHECK_SECONDS", 0.01)
    with pytest.raises(TargetSilentError):
        async with IdleTimeout(0.05, 5.0, lambda: True, 0.01, lambda: False):
            await asyncio.Event().wait()


async def test_time_in_which_the_caller_does_not_read_is_not_counted():
    """The target is not at fault while the caller's connection accepts nothing."""
    async with IdleTimeout(0.02, 0.02, lambda: True) as watch:
        watch.pause()
        await asyncio.sleep(0.06)


async def test_time_limit_of_the_request_is_not_a_silent_target():
    """The request's own time limit must not be reported as a silent target."""
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01), IdleTimeout(5.0, 5.0, lambda: True):
            await asyncio.Event().wait()
