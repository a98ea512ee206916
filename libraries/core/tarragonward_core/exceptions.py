"""Define the exception hierarchy."""

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
    """Base class of all errors that the system raises itself."""

    code: ResultCode = ResultCode.INTERNAL_ERROR


class RequestRefusedError(TarragonwardError):
    """A request was refused before any of it was run.

    retry_after_seconds tells the caller when to retry, if a retry can succeed.
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
    """Settings are not valid; names the file, key, value found and values allowed."""


class ConfigurationError(TarragonwardError):
    """A published configuration or patch is not valid."""

    code = ResultCode.INVALID_PATCH


class FrameError(TarragonwardError):
    """A frame between hosts was refused: wrong key, truncated, too large, replayed."""

    code = ResultCode.BAD_FRAME


class TargetError(TarragonwardError):
    """A target did not do what it was asked to do."""

    code = ResultCode.TARGET_FAILED


class NotConnectedError(TargetError):
    """No connection was made, so nothing was sent."""


class ConnectionLostError(TargetError):
    """The connection was lost after data may have been sent."""


class InvariantViolationError(TarragonwardError):
    """An invariant was violated; raised only in strict mode, which tests use."""
