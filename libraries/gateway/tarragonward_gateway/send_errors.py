"""Tell which fault an error of a send is."""

from __future__ import annotations

import errno
from functools import singledispatch

from tarragonward_core import ConnectionLostError, NotConnectedError, TargetError
from tarragonward_requests import SendFault
from tarragonward_wire import RelayLostError

from .heads import SpoiledAnswerError
from .idle_timeout import StreamMovedError, TargetSilentError

__all__ = ["SEND_ERRORS", "SendWithheldError", "get_send_fault", "is_link_fault"]

LINK_TIMEOUT_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


class SendWithheldError(TargetError):
    """Report a send that was stopped before anything was written."""


SEND_ERRORS = (
    ConnectionLostError,
    NotConnectedError,
    SendWithheldError,
    StreamMovedError,
    TargetSilentError,
)


@singledispatch
def get_send_fault(error: Exception) -> SendFault:
    """Return the fault of one of SEND_ERRORS."""
    raise TypeError(f"no error of a send: {error!r}")


@get_send_fault.register
def _(error: NotConnectedError) -> SendFault:
    return SendFault.NOT_CONNECTED


@get_send_fault.register
def _(error: SendWithheldError) -> SendFault:
    return SendFault.WITHHELD


@get_send_fault.register
def _(error: StreamMovedError) -> SendFault:
    return SendFault.MOVED


@get_send_fault.register
def _(error: TargetSilentError) -> SendFault:
    return SendFault.SILENT


@get_send_fault.register
def _(error: SpoiledAnswerError) -> SendFault:
    return SendFault.SPOILED


@get_send_fault.register
def _(error: ConnectionLostError) -> SendFault:
    return SendFault.LOST


def is_link_fault(error: Exception) -> bool:
    """Return whether a connection was lost by its link, not by the target."""
    cause = error.__cause__
    if isinstance(cause, RelayLostError):
        return True
    return isinstance(cause, OSError) and cause.errno in LINK_TIMEOUT_ERRORS
