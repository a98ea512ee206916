"""Load the table of safeguards and of the tests that must fail without them."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from .edits import Edit, EditError

__all__ = ["Row", "RowError", "load_rows", "remove_safeguard"]


class RowError(Exception):
    """Raised if a row is invalid or does not apply to the code."""


@dataclass(frozen=True)
class Row:
    """Guarantee, the fault it must hold under, and the safeguard that ensures it.

    lines are whole lines that occur exactly once in the file; instead replaces them.
    """

    promise: str
    fault: str
    file: str
    lines: str
    instead: str
    tests: tuple[str, ...]
    seen: str
    is_quick: bool = False


def load_rows(path: Path) -> list[Row]:
    """Return the rows of a table.

    Raise KeyError for a missing field, RowError for a row without tests or effect.
    """
    table = tomllib.loads(path.read_text("utf-8"))
    rows = [
        Row(
            promise=entry["promise"],
            fault=entry["fault"],
            file=entry["file"],
            lines=entry["lines"].strip("\n"),
            instead=entry["instead"].strip("\n"),
            tests=tuple(entry["tests"]),
            seen=entry["seen"],
            is_quick=entry.get("quick", False),
        )
        for entry in table["row"]
    ]
    _check(rows)
    return rows


def _check(rows: Iterable[Row]) -> None:
    for row in rows:
        if not row.tests or not row.lines or row.lines == row.instead:
            raise RowError(
                f"a row has no tests, no lines or no change: {row.promise}, {row.file}"
            )


def remove_safeguard(row: Row, source: str) -> str:
    """Return the source without the safeguard.

    Raise RowError if its lines don't occur exactly once in the code, or if the result
    is not valid Python.
    """
    try:
        return Edit(row.file, row.lines, row.instead).apply(source)
    except EditError as err:
        raise RowError(str(err)) from None
