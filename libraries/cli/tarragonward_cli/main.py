"""Run the command-line tool `tarragonward`."""

from __future__ import annotations

import sys

from cleo.application import Application

from .call import CallCommand
from .codes import CodesCommand
from .config import ConfigCheckCommand, ConfigDiffCommand, ConfigShowCommand
from .request import RequestCommand
from .settings import SettingsCheckCommand
from .status import StatusCommand, TargetsCommand

__all__ = ["build_application", "run"]

VERSION = "0.1.0"
COMMANDS = (
    CallCommand,
    CodesCommand,
    ConfigCheckCommand,
    ConfigDiffCommand,
    ConfigShowCommand,
    RequestCommand,
    SettingsCheckCommand,
    StatusCommand,
    TargetsCommand,
)


def build_application() -> Application:
    """Return the tool with all its commands."""
    application = Application("tarragonward", VERSION)
    for command in COMMANDS:
        application.add(command())
    return application


def run() -> int:
    """Run the tool; return its exit code."""
    return build_application().run()


if __name__ == "__main__":
    sys.exit(run())
