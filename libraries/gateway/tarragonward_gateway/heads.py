"""Check from an answer's head whether it may be forwarded to the caller."""

from __future__ import annotations

from collections.abc import Mapping

from tarragonward_core import ConnectionLostError
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import Evidence
from tarragonward_wire import HttpStream

from .const import HEADER_RETRY_AFTER
from .headers import parse_load
from .ports import HeaderNames

__all__ = [
    "AnswerHeadCheck",
    "SpoiledAnswerError",
    "is_event_stream",
    "is_from_other_boot",
    "is_not_run",
    "is_out_of_places",
]

STATUS_OK = 200
STATUS_CLIENT_ERROR = 400
STATUS_MISDIRECTED = 421
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503
NOT_RUN_STATUSES = (408, 429, 503)
CONTENT_ENCODING = "content-encoding"
CONTENT_TYPE = "content-type"
EVENT_STREAM = "text/event-stream"


def is_event_stream(stream: HttpStream) -> bool:
    """Return whether an answer is a series of events."""
    is_stream = stream.headers.get(CONTENT_TYPE, "").startswith(EVENT_STREAM)
    return is_stream and stream.status == STATUS_OK


def is_from_other_boot(
    names: HeaderNames,
    target: RegisteredTarget,
    status: int,
    headers: Mapping[str, str],
) -> bool:
    """Return whether another boot than the expected one uses the target's address."""
    # A crashed target stays registered until its record expires, and a new one may
    # already use its address. An idle target is chosen first, so it would refuse every
    # request and use up their attempts. It is ejected like a target that accepts no
    # connection. If a helper is at fault instead, the answer names it.
    failed_address = headers.get(names.failed_target)
    is_own_fault = failed_address is None or failed_address == str(target.address)
    return status == STATUS_MISDIRECTED and is_own_fault


def is_not_run(names: HeaderNames, status: int, headers: Mapping[str, str]) -> bool:
    """Return whether an answer states that the target has not run the request."""
    is_failure = status >= STATUS_CLIENT_ERROR
    return status == STATUS_MISDIRECTED or (is_failure and names.not_run in headers)


def is_out_of_places(
    names: HeaderNames, status: int, headers: Mapping[str, str]
) -> bool:
    """Return whether a refusal shows that the target itself has no free place.

    A target that asks for a cooldown has its own reasons, and one at which nothing
    waits is not full.
    """
    if status != STATUS_UNAVAILABLE or names.failed_target in headers:
        return False
    load = parse_load(headers.get(names.load, ""))
    is_waiting = load is None or load[1] > 0
    return is_waiting and HEADER_RETRY_AFTER not in headers


class SpoiledAnswerError(ConnectionLostError):
    """Report an answer that is incomplete or does not belong to this request."""


class AnswerHeadCheck:
    """Checks on the heads of the answers to one request."""

    def __init__(self, names: HeaderNames, request_id: str) -> None:
        self._names = names
        self._request_id = request_id

    def is_refusal(self, stream: HttpStream) -> bool:
        """Return whether the target states that it has not run the request."""
        names = self._names
        answered_id = stream.headers.get(names.request_id, self._request_id)
        if answered_id != self._request_id:
            raise SpoiledAnswerError("answer has the id of another request")
        return is_not_run(names, stream.status, stream.headers)

    def classify(self, target: RegisteredTarget, stream: HttpStream) -> Evidence:
        """Return what an answer's head tells of the health of its target."""
        # A head does not count as an answer: a faulty target may send a good head and
        # a bad body, and its failures would then never be consecutive.
        if is_from_other_boot(self._names, target, stream.status, stream.headers):
            return Evidence.REPLACED
        if self.is_refusal(stream):
            return Evidence.ANSWERED
        if stream.status >= STATUS_SERVER_ERROR:
            return Evidence.FAILED
        return Evidence.CONNECTED

    def check(self, stream: HttpStream) -> None:
        """Raise SpoiledAnswerError if the answer cannot be forwarded."""
        names = self._names
        if names.request_id not in stream.headers:
            raise SpoiledAnswerError("answer has no request id")
        # Callers take these statuses to mean that the request has not run, and send it
        # again. Without an explicit header from the target it may have run.
        if stream.status in NOT_RUN_STATUSES:
            raise SpoiledAnswerError("status means not run, but no header confirms it")
        if stream.status < STATUS_CLIENT_ERROR and names.seal not in stream.headers:
            raise SpoiledAnswerError("answer has no seal")
        if CONTENT_ENCODING in stream.headers:
            raise SpoiledAnswerError("answer body has a content encoding")
