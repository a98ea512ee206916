"""Show the table of result codes."""

from __future__ import annotations

import json

from cleo.commands.command import Command
from cleo.helpers import option

from tarragonward_core import ResultCode

__all__ = ["CodesCommand"]


class CodesCommand(Command):
    """Print each result code, what may be concluded, and whether to repeat."""

    name = "codes"
    description = "Shows the table of result codes."
    options = [option("json", None, "Print JSON.")]

    def handle(self) -> int:
        """Print the table; return the exit code."""
        rows = [
            {
                "number": code.number,
                "name": code.name,
                "http_status": code.http_status,
                "conclusion": code.conclusion.value,
                "repeat": code.repeat.value,
                "text": code.text,
            }
            for code in ResultCode
        ]
        if self.option("json"):
            self.line(json.dumps(rows, indent=2))
            return 0
        table = self.table(
            ["number", "name", "conclusion", "repeat"],
            [
                [str(row["number"]), row["name"], row["conclusion"], row["repeat"]]
                for row in rows
            ],
        )
        table.render()
        return 0
