"""Tests of settings that change while the host runs."""

import asyncio

import pytest

from tarragonward_core import Address
from tarragonward_gateway import HeaderNames, Paths, parse_gateway_settings
from tarragonward_gateway.reload import SettingsTask
from tarragonward_gateway.state import GatewayState

TEXT = """
[host]
name = "entry-1"
failure_domain = "a"

[addresses]
callers = "127.0.0.1:8000"
health = "127.0.0.1:8001"
control = "127.0.0.1:8002"
peers = "127.0.0.1:8003"
seeds = ["127.0.0.1:8002"]
source = "127.0.0.1:9000"

[bounds]
drain_seconds = 2
"""


@pytest.fixture
def path(tmp_path):
    file = tmp_path / "settings.toml"
    file.write_text(TEXT)
    return file


@pytest.fixture
def state():
    return GatewayState(parse_gateway_settings(TEXT.encode()), HeaderNames(), Paths())


async def make_task(state, path):
    task = SettingsTask(state, path)
    task.check()
    return task


async def test_reloadable_settings_are_applied_without_signal(state, path):
    task, changes = await make_task(state, path), []
    task.on_change.append(lambda: changes.append(state.settings.bounds))
    text = TEXT.replace("drain_seconds = 2", "drain_seconds = 5")
    path.write_text(text.replace('["127.0.0.1:8002"]', '["127.0.0.1:8012"]'))
    task.check()
    assert state.settings.bounds.drain_seconds == 5
    assert state.settings.seeds == (Address("127.0.0.1", 8012),)
    assert len(changes) == 1


async def test_changed_address_needs_restart(state, path):
    """The address for callers changes, but the sockets are already bound.

    The host keeps the old address and logs which setting needs a restart; reloadable
    settings are still applied.
    """
    task = await make_task(state, path)
    text = TEXT.replace("drain_seconds = 2", "drain_seconds = 5")
    path.write_text(text.replace("127.0.0.1:8000", "127.0.0.1:8100"))
    task.check()
    assert state.settings.callers == Address("127.0.0.1", 8000)
    assert state.settings.bounds.drain_seconds == 5


@pytest.mark.parametrize(
    "broken",
    [
        "",
        TEXT[: len(TEXT) // 2],
        TEXT.replace("drain_seconds = 2", 'drain_seconds = "long"'),
        TEXT.replace("drain_seconds", "drain_minutes"),
        "\ufeff\x00",
    ],
)
async def test_invalid_settings_change_nothing(state, path, broken):
    """The file is read while it is being written, or has a mistake."""
    task, before = await make_task(state, path), state.settings
    path.write_text(broken)
    task.check()
    assert state.settings == before
    assert state.metrics.get_count("settings_refused") == 1
    task.check()
    assert state.metrics.get_count("settings_refused") == 1
    path.write_text(TEXT.replace("drain_seconds = 2", "drain_seconds = 3"))
    task.check()
    assert state.settings.bounds.drain_seconds == 3


async def test_missing_file_changes_nothing(state, path):
    task, before = await make_task(state, path), state.settings
    path.unlink()
    task.check()
    task.check()
    assert state.settings == before
    path.write_text(TEXT.replace("drain_seconds = 2", "drain_seconds = 3"))
    task.check()
    assert state.settings.bounds.drain_seconds == 3


async def test_requested_reload_reads_file_at_once(state, path, monkeypatch):
    monkeypatch.setattr(
        "tarragonward_gateway.const.SETTINGS_CHECK_INTERVAL_SECONDS", 600.0
    )
    task = SettingsTask(state, path)
    await task.async_setup()
    changed = asyncio.Event()
    task.on_change.append(changed.set)
    path.write_text(TEXT.replace("drain_seconds = 2", "drain_seconds = 5"))
    task.request_reload()
    async with asyncio.timeout(5):
        await changed.wait()
    await task.async_unload()
    assert state.settings.bounds.drain_seconds == 5
