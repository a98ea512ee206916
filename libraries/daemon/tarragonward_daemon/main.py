"""Run the daemon `tarragonwardd`."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from pathlib import Path

from tarragonward_config import Settings, load_settings
from tarragonward_core import SettingsError, log_event, setup_logging

from .app import Daemon

__all__ = ["run"]

# Documented in docs/OPERATIONS.md.
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
EXIT_CUT_OFF = 3


def run(arguments: list[str] | None = None) -> int:
    """Run one entry host; return the process's exit code."""
    parser = argparse.ArgumentParser(prog="tarragonwardd", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="a TOML file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and end"
    )
    options = parser.parse_args(arguments)
    setup_logging()
    try:
        settings = load_settings(options.settings)
    except SettingsError as err:
        print(err, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check:
        return EXIT_OK
    return asyncio.run(_async_run(settings))


async def _async_run(settings: Settings) -> int:
    """Serve until a signal starts a drain; a second one, or its timeout, ends it."""
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.request_drain)
    try:
        await daemon.async_run()
    except OSError as err:
        log_event("host_failed", error=repr(err))
        return EXIT_FAILED
    return EXIT_CUT_OFF if daemon.unfinished_requests else EXIT_OK


if __name__ == "__main__":
    sys.exit(run())
