"""Apply changed settings while the host runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from absl import logging

from tarragonward_core import BackgroundTasks, SettingsError, log_event

from . import const as c
from .settings import GatewaySettings, parse_gateway_settings
from .state import GatewayState

__all__ = ["SettingsChange", "SettingsTask", "merge_settings"]

TASK_NAME = "settings"
# Settings that are read at each use; all others are bound at the start.
RELOADABLE_FIELDS = ("bounds", "regions", "seeds")


@dataclass(frozen=True)
class SettingsChange:
    """The settings in force, the changed fields applied, and those not applied."""

    settings: GatewaySettings
    applied: tuple[str, ...]
    need_restart: tuple[str, ...]


def merge_settings(current: GatewaySettings, loaded: GatewaySettings) -> SettingsChange:
    """Return what a running host can apply of newly loaded settings."""
    names = GatewaySettings.__dataclass_fields__
    changed = [n for n in names if getattr(current, n) != getattr(loaded, n)]
    applied = tuple(name for name in changed if name in RELOADABLE_FIELDS)
    need_restart = tuple(name for name in changed if name not in RELOADABLE_FIELDS)
    settings = replace(current, **{name: getattr(loaded, name) for name in applied})
    return SettingsChange(settings, applied, need_restart)


class SettingsTask:
    """Poll the settings file, and read it at once on request.

    A file may change without a signal, and a signal may arrive before the file is
    completely written. So the content decides: each new content is validated once, and
    invalid settings change nothing.
    """

    def __init__(self, state: GatewayState, path: Path | None) -> None:
        self._state = state
        self._path = path
        self._last_data: bytes | None = None
        self._reload_requested = asyncio.Event()
        self._background = BackgroundTasks(state.metrics)
        self.on_change: list[Callable[[], None]] = []

    async def async_setup(self) -> None:
        """Start to poll the file."""
        if self._path is None:
            return
        self.check()
        self._background.start(TASK_NAME, self._async_poll)

    async def async_unload(self) -> None:
        """Stop polling."""
        await self._background.async_unload()

    def request_reload(self) -> None:
        """Read the file without waiting for the next poll."""
        self._reload_requested.set()

    async def _async_poll(self) -> None:
        while True:
            try:
                async with asyncio.timeout(c.SETTINGS_CHECK_INTERVAL_SECONDS):
                    await self._reload_requested.wait()
            except TimeoutError:
                pass
            is_requested = self._reload_requested.is_set()
            self._reload_requested.clear()
            self.check(is_requested)

    def check(self, is_requested: bool = False) -> None:
        """Read the file, and apply it if it changed and is valid."""
        assert self._path is not None
        try:
            data = self._path.read_bytes()
        except OSError as err:
            self._log_unreadable(err, is_requested)
            return
        if data == self._last_data:
            if is_requested:
                log_event("settings_unchanged", is_told=is_requested)
            return
        self._last_data = data
        try:
            loaded = parse_gateway_settings(data)
        except SettingsError as err:
            self._state.metrics.count("settings_refused")
            log_event("settings_refused", level=logging.ERROR, error=str(err))
            return
        self._apply(loaded, is_requested)

    def _log_unreadable(self, err: OSError, is_requested: bool) -> None:
        # Logged once: a missing file would otherwise add a line at each poll.
        if self._last_data != b"" or is_requested:
            log_event("settings_unreadable", level=logging.ERROR, error=str(err))
        self._last_data = b""

    def _apply(self, loaded: GatewaySettings, is_requested: bool) -> None:
        change = merge_settings(self._state.settings, loaded)
        self._state.settings = change.settings
        if change.applied or change.need_restart or is_requested:
            log_event(
                "settings_taken_over",
                taken=",".join(change.applied) or None,
                need_restart=",".join(change.need_restart) or None,
                is_told=is_requested,
            )
        if change.applied:
            for notify in self.on_change:
                notify()
