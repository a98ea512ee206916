"""Base class of the commands: common options, tokens, output and exit codes."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type as OutputType

from tarragonward_core import Address

from .const import DEFAULT_TIME_LIMIT_SECONDS
from .exceptions import ToolError, UsageError

__all__ = [
    "JSON_OPTION",
    "TIME_LIMIT_OPTION",
    "TOKEN_FILE_OPTION",
    "ToolCommand",
    "make_host_option",
]

JSON_OPTION = option("json", None, "Print JSON.")
TIME_LIMIT_OPTION = option(
    "time-limit",
    None,
    "Seconds until the request must have ended.",
    flag=False,
    default=str(DEFAULT_TIME_LIMIT_SECONDS),
)
TOKEN_FILE_OPTION = option(
    "token-file", None, "A file that holds the token, in place of the variable.", False
)


def make_host_option(default: str, kind: str) -> Any:
    """Return the repeatable option that names hosts."""
    return option(
        "host",
        None,
        f"IP:port of a host for {kind}; may be given several times.",
        flag=False,
        multiple=True,
        default=[default],
    )


class ToolCommand(Command):
    """A command that reports errors by a message and a documented exit code."""

    def handle(self) -> int:
        """Run the command; return its exit code."""
        try:
            return asyncio.run(self.async_run())
        except ToolError as err:
            self.line_error(f"{self.name}: {err}", style="error")
            return err.exit_code

    async def async_run(self) -> int:
        """Execute the command; return its exit code or raise ToolError."""
        raise NotImplementedError

    def get_hosts(self) -> list[Address]:
        """Return the hosts named on the command line."""
        try:
            return [Address.parse(text) for text in self.option("host")]
        except ValueError as err:
            raise UsageError(f"--host: {err}") from None

    def read_token(self, variable: str) -> str:
        """Return the token; never from the command line, which other users can see."""
        file = self.option("token-file")
        if not file:
            token = os.environ.get(variable, "")
            if not token.strip():
                raise UsageError(f"set {variable}, or give --token-file")
            return token.strip()
        return self.read_file("token-file", file).decode("utf-8", "replace").strip()

    def read_file(self, name: str, path: str) -> bytes:
        """Return a file's bytes; name is the option or argument it came from."""
        try:
            return Path(path).read_bytes()
        except OSError as err:
            raise UsageError(f"{name}: {err}") from None

    def read_number(self, name: str) -> float:
        """Return an option's value as a number above 0."""
        try:
            value = float(self.option(name))
        except ValueError:
            value = 0.0
        if not 0 < value < float("inf"):
            found = self.option(name)
            raise UsageError(f"--{name}: found {found!r}: expected a number above 0")
        return value

    def print_json(self, data: Any) -> None:
        """Print data as JSON."""
        self.write_text(json.dumps(data, indent=2, ensure_ascii=False) + "\n")

    def write_text(self, text: str) -> None:
        """Print text verbatim; an answer may contain cleo style tags."""
        self.io.write(text, type=OutputType.RAW)
        self.io.flush()

    def print_table(self, rows: list[dict[str, Any]]) -> None:
        """Print rows as a table with a header."""
        names = list(rows[0]) if rows else []
        lines = [[str(row[name]) for name in names] for row in rows]
        widths = [
            max(len(cell) for cell in column)
            for column in zip(names, *lines, strict=True)
        ]
        for line in [names, *lines] if rows else []:
            cells = [c.ljust(w) for c, w in zip(line, widths, strict=True)]
            self.write_text("  ".join(cells).rstrip() + "\n")
