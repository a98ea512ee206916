"""Tests for supervised background tasks."""

import asyncio

from tarragonward_core import Metrics, background
from tarragonward_core.background import BackgroundTasks


async def test_a_failed_loop_is_restarted_and_counted(monkeypatch):
    """A task that reads a target's load report raises on unexpected content.

    Nothing awaits such a task: without supervision it would end without a log line,
    and the host would go on with stale reports.
    """
    monkeypatch.setattr(background, "RESTART_DELAY_SECONDS", 0.0)
    runs, metrics = [], Metrics()

    async def async_run():
        runs.append(len(runs))
        if len(runs) < 3:
            raise AttributeError("unexpected")
        await asyncio.Event().wait()

    tasks = BackgroundTasks(metrics)
    tasks.start("reports", async_run)
    async with asyncio.timeout(2):
        while len(runs) < 3:
            await asyncio.sleep(0.01)
    assert metrics.get_count("background_failures") == 2
    await tasks.async_unload()
    assert len(runs) == 3 and not tasks.names


async def test_unload_cancels_a_task_that_waits_for_its_restart():
    async def async_run():
        raise RuntimeError("always")

    tasks = BackgroundTasks(Metrics())
    tasks.start("sweep", async_run)
    await asyncio.sleep(0.01)
    async with asyncio.timeout(1):
        await tasks.async_unload()
    assert not tasks.names
