"""Take over changed settings while the host runs."""

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
# What is read from the settings at each use; all else is bound at the start.
CHANGEABLE = ("bounds", "seeds")


@dataclass(frozen=True)
class SettingsChange:
    """Settings to go on with; what was taken over, and what needs a restart."""

    settings: GatewaySettings
    taken: tuple[str, ...]
    kept_back: tuple[str, ...]


def merge_settings(current: GatewaySettings, found: GatewaySettings) -> SettingsChange:
    """Return what a running host makes of newly found settings."""
    names = GatewaySettings.__dataclass_fields__
    changed = [n for n in names if getattr(current, n) != getattr(found, n)]
    taken = tuple(name for name in changed if name in CHANGEABLE)
    kept_back = tuple(name for name in changed if name not in CHANGEABLE)
    settings = replace(current, **{name: getattr(found, name) for name in taken})
    return SettingsChange(settings, taken, kept_back)


class SettingsTask:
    """Read the settings file each second, and at once when told to.

    A file may change without any signal, and a signal may come before the file is
    whole. So the bytes decide, not the signal: bytes not seen before are judged once,
    and settings that are not valid change nothing.
    """

    def __init__(self, state: GatewayState, path: Path | None) -> None:
        self._state = state
        self._path = path
        self._seen: bytes | None = None
        self._told = asyncio.Event()
        self._background = BackgroundTasks(state.metrics)
        self.on_change: list[Callable[[], None]] = []

    async def async_setup(self) -> None:
        """Begin to look for changes."""
        if self._path is None:
            return
        self.check()
        self._background.start(TASK_NAME, self._async_follow)

    async def async_unload(self) -> None:
        """Look no more."""
        await self._background.async_unload()

    def tell(self) -> None:
        """Read the file now, as a signal asks."""
        self._told.set()

    async def _async_follow(self) -> None:
        while True:
            try:
                async with asyncio.timeout(c.SETTINGS_CHECK_INTERVAL_SECONDS):
                    await self._told.wait()
            except TimeoutError:
                pass
            is_told = self._told.is_set()
            self._told.clear()
            self.check(is_told)

    def check(self, is_told: bool = False) -> None:
        """Read the file and judge it if it is not as it was."""
        assert self._path is not None
        try:
            data = self._path.read_bytes()
        except OSError as err:
            self._note_unreadable(err, is_told)
            return
        if data == self._seen:
            if is_told:
                log_event("settings_unchanged", is_told=is_told)
            return
        self._seen = data
        try:
            found = parse_gateway_settings(data)
        except SettingsError as err:
            self._state.metrics.count("settings_refused")
            log_event("settings_refused", level=logging.ERROR, error=str(err))
            return
        self._take_over(found, is_told)

    def _note_unreadable(self, err: OSError, is_told: bool) -> None:
        # Said once: a file that is gone would else cost a line a second.
        if self._seen != b"" or is_told:
            log_event("settings_unreadable", level=logging.ERROR, error=str(err))
        self._seen = b""

    def _take_over(self, found: GatewaySettings, is_told: bool) -> None:
        change = merge_settings(self._state.settings, found)
        self._state.settings = change.settings
        if change.taken or change.kept_back or is_told:
            log_event(
                "settings_taken_over",
                taken=",".join(change.taken) or None,
                need_restart=",".join(change.kept_back) or None,
                is_told=is_told,
            )
        if change.taken:
            for notify in self.on_change:
                notify()
