"""Command that checks a settings file."""

from __future__ import annotations

import tomllib
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from tarragonward_config import load_settings
from tarragonward_core import SettingsError
from tarragonward_gateway import load_gateway_settings

from .const import EXIT_FAILED

__all__ = ["SettingsCheckCommand"]

SOURCE = "source"


class SettingsCheckCommand(Command):
    """Check whether a daemon would start with a settings file."""

    name = "settings check"
    description = "Checks a settings file."
    arguments = [argument("file", "The settings file (TOML).")]

    def handle(self) -> int:
        """Print the errors, or that the file is valid; return the exit code."""
        path = Path(self.argument("file"))
        load = load_gateway_settings if _is_gateway_file(path) else load_settings
        try:
            settings = load(path)
        except SettingsError as err:
            self.line_error(str(err))
            return EXIT_FAILED
        self.line(f"{self.argument('file')}: valid for host {settings.name}")
        return 0


def _is_gateway_file(path: Path) -> bool:
    """Return whether a file is for a gateway host, which forwards requests by routes.

    Only gateway settings have a single source address for all publications.
    """
    try:
        addresses = tomllib.loads(path.read_text(encoding="utf-8")).get("addresses")
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError):
        return False
    return isinstance(addresses, dict) and SOURCE in addresses
