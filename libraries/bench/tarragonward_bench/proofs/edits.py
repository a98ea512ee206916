"""Replace whole lines that occur exactly once in a source file."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Edit", "EditError"]


class EditError(Exception):
    """Raised if an edit does not apply to the code."""


@dataclass(frozen=True)
class Edit:
    """Lines that occur once in a file, and their replacement."""

    file: str
    lines: str
    instead: str

    def apply(self, source: str) -> str:
        """Return the changed source.

        Raise EditError if the lines don't occur exactly once, or if the result is not
        valid Python, with which any test would fail.
        """
        old, new = self.lines.split("\n"), self.instead.split("\n")
        all_lines = source.split("\n")
        starts = [
            start
            for start in range(len(all_lines) - len(old) + 1)
            if all_lines[start : start + len(old)] == old
        ]
        if len(starts) != 1:
            raise EditError(f"the lines occur {len(starts)} times in {self.file}")
        rest = all_lines[starts[0] + len(old) :]
        kept = new if self.instead else []
        changed = "\n".join([*all_lines[: starts[0]], *kept, *rest])
        try:
            compile(changed, self.file, "exec")
        except SyntaxError as err:
            raise EditError(
                f"{self.file} is not valid Python after the edit: {err}"
            ) from None
        return changed
