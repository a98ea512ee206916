"""Read the table of proofs: a safeguard each, and the tests that must fail without."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from .edits import Edit, EditError

__all__ = ["Row", "RowError", "load_rows", "remove_safeguard"]


class RowError(Exception):
    """Report a row that cannot be played as it stands."""


@dataclass(frozen=True)
class Row:
    """A promise, the fault that it is held against, and the safeguard that holds it.

    lines stand exactly once in the file, as whole lines; instead replaces them.
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

    Raise KeyError for a field that is missing, RowError for a row without a test.
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
            raise RowError(f"a row proves nothing: {row.promise}, {row.file}")


def remove_safeguard(row: Row, source: str) -> str:
    """Return the source without the safeguard.

    Raise RowError where its lines no longer stand in the code, or stand twice, and
    where what is left is no Python.
    """
    try:
        return Edit(row.file, row.lines, row.instead).apply(source)
    except EditError as err:
        raise RowError(str(err)) from None
