"""Tests of the tasks that run as long as the host."""

import asyncio

from tarragonward_core import Metrics, background
from tarragonward_core.background import BackgroundTasks


async def test_a_loop_that_fails_runs_again_and_is_counted(monkeypatch):
    """A target's report holds what nobody foresaw, and the reading task raises.

    Nobody awaits such a task: without supervision it is gone without a line in the
    log, and the host goes on for days with the reports of that moment.
    """
    monkeypatch.setattr(background, "RESTART_SECONDS", 0.0)
    runs, metrics = [], Metrics()

    async def async_run():
        runs.append(len(runs))
        if len(runs) < 3:
            raise AttributeError("not foreseen")
        await asyncio.Event().wait()

    tasks = BackgroundTasks(metrics)
    tasks.start("reports", async_run)
    async with asyncio.timeout(2):
        while len(runs) < 3:
            await asyncio.sleep(0.01)
    assert metrics.get_count("background_failures") == 2
    await tasks.async_unload()
    assert len(runs) == 3 and not tasks.names


async def test_unloading_ends_a_task_that_waits_to_start_again():
    async def async_run():
        raise RuntimeError("always")

    tasks = BackgroundTasks(Metrics())
    tasks.start("sweep", async_run)
    await asyncio.sleep(0.01)
    async with asyncio.timeout(1):
        await tasks.async_unload()
    assert not tasks.names
