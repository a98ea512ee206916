"""Bound the total size of request bodies held by a process."""

from __future__ import annotations

from .const import DEFAULT_MAX_BODIES_BYTES

__all__ = ["BodyBudget"]


class BodyBudget:
    """Reserve up to max_bytes for bodies, over all servers that share the budget.

    Without a bound a few hundred callers with prompts of megabytes would exhaust the
    host's memory, and the kernel would kill the process with all requests in progress.
    Bytes are reserved before they are read, so the sum never exceeds the bound.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BODIES_BYTES) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve size bytes, or return False if they would exceed the bound."""
        if self.held_bytes + size > self.max_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.held_bytes -= size
