"""Run the command-line tool `tarragonward`."""

from __future__ import annotations

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from .call import CallCommand
from .codes import CodesCommand
from .config import ConfigCheckCommand, ConfigDiffCommand, ConfigShowCommand
from .const import EXIT_USAGE
from .explain import ExplainCommand
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
    ExplainCommand,
    RequestCommand,
    SettingsCheckCommand,
    StatusCommand,
    TargetsCommand,
)


def build_application() -> Application:
    """Return the application with all commands."""
    application = Application("tarragonward", VERSION)
    for command in COMMANDS:
        application.add(command())
    return application


def run() -> int:
    """Run the tool; return its exit code."""
    application = build_application()
    application.auto_exits(False)
    application.catch_exceptions(False)
    try:
        return application.run()
    except CleoError as err:
        # cleo would exit with 1, which means "not run" for a call.
        print(f"{application.name}: {err}", file=sys.stderr)
        return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(run())
