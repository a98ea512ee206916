"""Assert invariants inside the running program, always on."""

from __future__ import annotations

from collections import Counter
from typing import Any

from absl import logging

from .exceptions import InvariantViolationError
from .logs import log_event

__all__ = ["Invariants", "invariants"]


class Invariants:
    """Count, log and, where asked, raise violations of invariants.

    A daemon must go on serving after a violation, so there it is logged with the
    request's trace and counted; a test run sets strict and fails at once.
    """

    def __init__(self) -> None:
        self.strict = False
        self.violations: Counter[str] = Counter()

    def check(self, holds: bool, name: str, **trace: Any) -> bool:
        """Return holds; report the violation of the invariant name if it is False."""
        if holds:
            return True
        self.violations[name] += 1
        log_event("invariant_violated", level=logging.ERROR, invariant=name, **trace)
        if self.strict:
            raise InvariantViolationError(f"{name}: {trace}")
        return False

    @property
    def count(self) -> int:
        """Return how many violations were seen in this process."""
        return self.violations.total()


invariants = Invariants()
