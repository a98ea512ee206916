"""Create copies of the workspace with a mechanism disabled or at another commit."""

from __future__ import annotations

import subprocess
import tomllib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from ..proofs.edits import Edit

__all__ = ["Variant", "VariantError", "load_variants", "make_copy"]

AS_IT_IS = "as it is"


class VariantError(Exception):
    """Raised if a variant cannot be created."""


@dataclass(frozen=True)
class Variant:
    """Code of a commit with edits applied; the default is the unchanged HEAD."""

    name: str
    mechanism: str = AS_IT_IS
    commit: str = "HEAD"
    edits: tuple[Edit, ...] = ()

    @property
    def is_reference(self) -> bool:
        """Return whether this is the variant that others are compared with."""
        return self.mechanism == AS_IT_IS


def load_variants(path: Path) -> list[Variant]:
    """Return the variants of a table; raise KeyError if a field is missing."""
    table = tomllib.loads(path.read_text("utf-8"))
    return [
        Variant(
            name=entry["name"],
            mechanism=entry["mechanism"],
            edits=tuple(
                Edit(
                    edit["file"], edit["lines"].strip("\n"), edit["instead"].strip("\n")
                )
                for edit in entry["edit"]
            ),
        )
        for entry in table["variant"]
    ]


def make_copy(root: Path, folder: Path, variant: Variant) -> Path:
    """Clone the repository into a sub-folder, apply the edits and return its path."""
    copy = folder / variant.name
    if not copy.exists():
        _run("git", "clone", "--quiet", str(root), str(copy))
    _run("git", "fetch", "--quiet", "origin", cwd=copy)
    commit = _run("git", "rev-parse", variant.commit, cwd=root).strip()
    _run("git", "checkout", "--quiet", "--force", commit, cwd=copy)
    apply_edits(copy, variant.edits)
    return copy


def apply_edits(copy: Path, edits: Iterable[Edit]) -> None:
    """Apply edits to the files of a copy."""
    for edit in edits:
        path = copy / edit.file
        path.write_text(edit.apply(path.read_text("utf-8")), "utf-8")


def _run(*command: str, cwd: Path | None = None) -> str:
    done = subprocess.run(command, cwd=cwd, capture_output=True, text=True)
    if done.returncode:
        raise VariantError(f"{_format_command(command)}: {done.stderr.strip()}")
    return done.stdout


def _format_command(command: Sequence[str]) -> str:
    return " ".join(command[:2])
