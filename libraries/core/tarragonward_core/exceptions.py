"""Hold the one tree of exceptions."""

from __future__ import annotations

from .codes import ResultCode

__all__ = [
    "ConfigurationError",
    "ConnectionLostError",
    "FrameError",
    "InvariantViolationError",
    "NotConnectedError",
    "RequestRefusedError",
    "SettingsError",
    "TargetError",
    "TarragonwardError",
]


class TarragonwardError(Exception):
    """Be the root of all errors that the system raises itself."""

    code: ResultCode = ResultCode.INTERNAL_ERROR


class RequestRefusedError(TarragonwardError):
    """Refuse a request before any of it ran.

    retry_after_seconds tells the caller when to come back, where that helps.
    """

    def __init__(
        self,
        code: ResultCode,
        detail: str = "",
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(detail or code.text)
        self.code = code
        self.detail = detail or code.text
        self.retry_after_seconds = retry_after_seconds


class SettingsError(TarragonwardError):
    """Report settings that are not valid, with file, key, found and allowed."""


class ConfigurationError(TarragonwardError):
    """Report a published configuration or patch that is not valid."""

    code = ResultCode.INVALID_PATCH


class FrameError(TarragonwardError):
    """Refuse a frame between hosts: wrong key, cut short, too large or replayed."""

    code = ResultCode.BAD_FRAME


class TargetError(TarragonwardError):
    """Report that a target did not do what it was asked."""

    code = ResultCode.TARGET_FAILED


class NotConnectedError(TargetError):
    """Report that no connection was made, so that nothing was sent."""


class ConnectionLostError(TargetError):
    """Report a connection lost after something may have been sent."""


class InvariantViolationError(TarragonwardError):
    """Report a broken invariant; raised only where a test run asks for it."""
