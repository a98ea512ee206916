"""Check invariants at run time, in production too."""

from __future__ import annotations

from collections import Counter
from typing import Any

from absl import logging

from .exceptions import InvariantViolationError
from .logs import log_event

__all__ = ["Invariants", "invariants"]


class Invariants:
    """Count and log violations of invariants, and raise them in strict mode.

    A daemon must keep serving after a violation, so there it is only counted and
    logged with its context; tests set strict to fail at once.
    """

    def __init__(self) -> None:
        self.strict = False
        self.violations: Counter[str] = Counter()

    def check(self, holds: bool, name: str, **trace: Any) -> bool:
        """Return holds; if it is False, report a violation of the invariant name."""
        if holds:
            return True
        self.violations[name] += 1
        log_event("invariant_violated", level=logging.ERROR, invariant=name, **trace)
        if self.strict:
            raise InvariantViolationError(f"{name}: {trace}")
        return False

    @property
    def count(self) -> int:
        """Return the number of violations in this process."""
        return self.violations.total()


invariants = Invariants()
