"""Check a settings file."""

from __future__ import annotations

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from tarragonward_config import load_settings
from tarragonward_core import SettingsError

from .const import EXIT_FAILED

__all__ = ["SettingsCheckCommand"]


class SettingsCheckCommand(Command):
    """Say whether a daemon would start with a settings file."""

    name = "settings check"
    description = "Checks a settings file."
    arguments = [argument("file", "The settings file (TOML).")]

    def handle(self) -> int:
        """Print what is wrong, or that nothing is; return the exit code."""
        try:
            settings = load_settings(Path(self.argument("file")))
        except SettingsError as err:
            self.line_error(str(err))
            return EXIT_FAILED
        self.line(f"{self.argument('file')}: valid for host {settings.name}")
        return 0
