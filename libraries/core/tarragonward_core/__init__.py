"""Identities, result codes, errors, logs, metrics and invariants for all libraries."""

from .background import BackgroundTasks
from .code_page import build_code_page
from .codes import Conclusion, Repeat, ResultCode
from .core import (
    Address,
    HostIdentity,
    estimate_tokens,
    new_incarnation,
    new_request_id,
)
from .exceptions import (
    ConfigurationError,
    ConnectionLostError,
    FrameError,
    InvariantViolationError,
    NotConnectedError,
    RequestRefusedError,
    SettingsError,
    TargetError,
    TarragonwardError,
)
from .invariants import Invariants, invariants
from .line_budget import LineBudget
from .logs import EventLog, LogEvent, event_log, format_event, log_event, setup_logging
from .metrics import LENGTH_CLASSES, Metrics, get_length_class
from .shared_checks import SharedChecks

__all__ = [
    "LENGTH_CLASSES",
    "Address",
    "BackgroundTasks",
    "Conclusion",
    "ConfigurationError",
    "ConnectionLostError",
    "EventLog",
    "FrameError",
    "LogEvent",
    "HostIdentity",
    "InvariantViolationError",
    "Invariants",
    "LineBudget",
    "Metrics",
    "NotConnectedError",
    "Repeat",
    "RequestRefusedError",
    "ResultCode",
    "SettingsError",
    "SharedChecks",
    "TargetError",
    "TarragonwardError",
    "build_code_page",
    "estimate_tokens",
    "event_log",
    "format_event",
    "get_length_class",
    "invariants",
    "log_event",
    "new_incarnation",
    "new_request_id",
    "setup_logging",
]
