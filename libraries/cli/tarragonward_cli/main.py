"""Run the command-line tool `tarragonward`."""

from __future__ import annotations

import sys

from cleo.application import Application

from .codes import CodesCommand
from .settings import SettingsCheckCommand

__all__ = ["build_application", "run"]

VERSION = "0.1.0"


def build_application() -> Application:
    """Return the tool with all its commands."""
    application = Application("tarragonward", VERSION)
    for command in (CodesCommand(), SettingsCheckCommand()):
        application.add(command)
    return application


def run() -> int:
    """Run the tool; return its exit code."""
    return build_application().run()


if __name__ == "__main__":
    sys.exit(run())
