"""Make copies of the workspace, each with a mechanism switched off or of a commit."""

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
    """Report a variant that cannot be made."""


@dataclass(frozen=True)
class Variant:
    """The code of a commit with edits; without either, the code as it is."""

    name: str
    mechanism: str = AS_IT_IS
    commit: str = "HEAD"
    edits: tuple[Edit, ...] = ()

    @property
    def is_reference(self) -> bool:
        """Return whether the others are compared with this one."""
        return self.mechanism == AS_IT_IS


def load_variants(path: Path) -> list[Variant]:
    """Return the variants of a table; raise KeyError for a field that is missing."""
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
    """Return a clone of the repository below a folder, with the variant's edits."""
    copy = folder / variant.name
    if not copy.exists():
        _run("git", "clone", "--quiet", str(root), str(copy))
    _run("git", "fetch", "--quiet", "origin", cwd=copy)
    commit = _run("git", "rev-parse", variant.commit, cwd=root).strip()
    _run("git", "checkout", "--quiet", "--force", commit, cwd=copy)
    apply_edits(copy, variant.edits)
    return copy


def apply_edits(copy: Path, edits: Iterable[Edit]) -> None:
    """Change the files of a copy."""
    for edit in edits:
        path = copy / edit.file
        path.write_text(edit.apply(path.read_text("utf-8")), "utf-8")


def _run(*command: str, cwd: Path | None = None) -> str:
    done = subprocess.run(command, cwd=cwd, capture_output=True, text=True)
    if done.returncode:
        raise VariantError(f"{_show(command)}: {done.stderr.strip()}")
    return done.stdout


def _show(command: Sequence[str]) -> str:
    return " ".join(command[:2])
