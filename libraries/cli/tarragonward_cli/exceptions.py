"""Hold the tool's own errors, each with the exit code that it ends with."""

from __future__ import annotations

from tarragonward_core import TarragonwardError

from .const import EXIT_FAILED, EXIT_NO_HOST, EXIT_USAGE

__all__ = ["HostsUnreachableError", "RefusedError", "ToolError", "UsageError"]


class ToolError(TarragonwardError):
    """Be the root of what ends a command with a message and an exit code."""

    exit_code = EXIT_FAILED


class UsageError(ToolError):
    """Report an option, file or variable that is missing or not valid."""

    exit_code = EXIT_USAGE


class HostsUnreachableError(ToolError):
    """Report that none of the hosts gave an answer."""

    exit_code = EXIT_NO_HOST


class RefusedError(ToolError):
    """Report a numbered answer that ends the command."""
