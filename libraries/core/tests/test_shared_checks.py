"""Tests of checks that several askers share."""

import asyncio

import pytest

from tarragonward_core import SharedChecks


class Target:
    """A target that ends at some time; checks look at it and then take a while."""

    def __init__(self):
        self.has_ended = False
        self.checks = 0

    async def async_check(self):
        self.checks += 1
        result = self.has_ended
        await asyncio.sleep(0.02)
        return result


@pytest.fixture
def target():
    return Target()


async def test_check_from_before_the_loss_does_not_count(target):
    """The target ends while a check is in progress that has just found it alive."""
    checks = SharedChecks()
    before = asyncio.create_task(checks.async_run("t", target.async_check))
    await asyncio.sleep(0.01)
    target.has_ended = True
    after = [checks.async_run("t", target.async_check) for _ in range(3)]
    assert await asyncio.gather(*after) == [True] * 3
    assert not await before
    assert target.checks == 2


async def test_all_who_ask_share_a_positive_check(target):
    checks = SharedChecks()
    target.has_ended = True
    asked = [checks.async_run("t", target.async_check) for _ in range(3)]
    assert await asyncio.gather(*asked) == [True] * 3
    assert target.checks == 1


async def test_failed_check_is_made_again(target):
    checks = SharedChecks()

    async def async_fail():
        await asyncio.sleep(0.01)
        raise OSError

    failing = asyncio.create_task(checks.async_run("t", async_fail))
    await asyncio.sleep(0)
    assert not await checks.async_run("t", target.async_check)
    with pytest.raises(OSError):
        await failing


async def test_checks_of_different_names_do_not_wait_for_each_other(target):
    checks = SharedChecks()
    hanging = asyncio.create_task(checks.async_run("t", asyncio.Event().wait))
    await asyncio.sleep(0)
    assert not await checks.async_run("u", target.async_check)
    await checks.async_unload()
    with pytest.raises(asyncio.CancelledError):
        await hanging
