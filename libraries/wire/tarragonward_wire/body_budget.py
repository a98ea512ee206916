"""Bound the bytes of request bodies that one process holds at once."""

from __future__ import annotations

from .const import DEFAULT_MAX_BODIES_BYTES

__all__ = ["BodyBudget"]


class BodyBudget:
    """Count the bytes of bodies held, up to max_bytes, over all servers that share it.

    Without it a few hundred callers with prompts of megabytes fill the host's memory,
    and the kernel kills the process with all requests in progress. Bytes are reserved
    before they are read, so the sum can't pass the bound whatever callers send.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BODIES_BYTES) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve size bytes, or change nothing and return False."""
        if self.held_bytes + size > self.max_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back bytes that were reserved."""
        self.held_bytes -= size
