"""Replace lines of a source file that stand there once, as whole lines."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Edit", "EditError"]


class EditError(Exception):
    """Report an edit that does not fit the code as it stands."""


@dataclass(frozen=True)
class Edit:
    """Lines that stand once in a file, and what replaces them."""

    file: str
    lines: str
    instead: str

    def apply(self, source: str) -> str:
        """Return the changed source.

        Raise EditError where the lines no longer stand in it, or stand twice, and where
        what is left is no Python: each run of that would only fail to start.
        """
        old, new = self.lines.split("\n"), self.instead.split("\n")
        all_lines = source.split("\n")
        starts = [
            start
            for start in range(len(all_lines) - len(old) + 1)
            if all_lines[start : start + len(old)] == old
        ]
        if len(starts) != 1:
            raise EditError(f"the lines stand {len(starts)} times in {self.file}")
        rest = all_lines[starts[0] + len(old) :]
        kept = new if self.instead else []
        changed = "\n".join([*all_lines[: starts[0]], *kept, *rest])
        try:
            compile(changed, self.file, "exec")
        except SyntaxError as err:
            raise EditError(f"no Python is left of {self.file}: {err}") from None
        return changed
