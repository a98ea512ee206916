"""Show the table of result codes."""

from __future__ import annotations

from tarragonward_core import ResultCode

from .command import JSON_OPTION, ToolCommand
from .const import EXIT_OK

__all__ = ["CodesCommand"]


class CodesCommand(ToolCommand):
    """Print each result code, its conclusion, and whether to retry."""

    name = "codes"
    description = "Shows the table of result codes."
    options = [JSON_OPTION]

    async def async_run(self) -> int:
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
            self.print_json(rows)
            return EXIT_OK
        shown = ("number", "name", "conclusion", "repeat")
        self.print_table([{name: row[name] for name in shown} for row in rows])
        return EXIT_OK
