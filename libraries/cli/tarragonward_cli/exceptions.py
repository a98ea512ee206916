"""Exceptions of the tool, each with its exit code."""

from __future__ import annotations

from tarragonward_core import TarragonwardError

from .const import EXIT_FAILED, EXIT_NO_HOST, EXIT_USAGE

__all__ = ["HostsUnreachableError", "RefusedError", "ToolError", "UsageError"]


class ToolError(TarragonwardError):
    """Base of errors that end a command with a message and an exit code."""

    exit_code = EXIT_FAILED


class UsageError(ToolError):
    """An option, file or variable is missing or invalid."""

    exit_code = EXIT_USAGE


class HostsUnreachableError(ToolError):
    """No host answered."""

    exit_code = EXIT_NO_HOST


class RefusedError(ToolError):
    """A host answered with a numbered error that ends the command."""
