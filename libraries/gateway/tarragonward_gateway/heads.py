"""Tell from the head of a target's answer whether it may be this request's."""

from __future__ import annotations

from tarragonward_core import ConnectionLostError
from tarragonward_membership import RegisteredTarget
from tarragonward_wire import HttpStream

from .ports import HeaderNames

__all__ = ["AnswerHeadCheck", "SpoiledAnswerError"]

STATUS_CLIENT_ERROR = 400
STATUS_MISDIRECTED = 421
NOT_RUN_STATUSES = (408, 429, 503)
CONTENT_ENCODING = "content-encoding"


class SpoiledAnswerError(ConnectionLostError):
    """Report an answer that is not the whole answer to this request."""


class AnswerHeadCheck:
    """What the heads of answers to one request say."""

    def __init__(self, names: HeaderNames, request_id: str) -> None:
        self._names = names
        self._request_id = request_id

    def is_misdirected(self, target: RegisteredTarget, stream: HttpStream) -> bool:
        """Return whether the target itself refuses as another one than was meant."""
        # The address of a target that crashed is used by another one, while its own
        # record stands until it lapses. Symptom: being idle it is chosen first by each
        # request, refuses all, and their sends are used up. It rests like one that
        # takes no connection; a helper at fault is named, and is not this target.
        at_fault = stream.headers.get(self._names.failed_target)
        is_own = at_fault is None or at_fault == str(target.address)
        return stream.status == STATUS_MISDIRECTED and is_own

    def is_refusal(self, stream: HttpStream) -> bool:
        """Return whether the target says that it has not run the request."""
        names = self._names
        answered_id = stream.headers.get(names.request_id, self._request_id)
        if answered_id != self._request_id:
            raise SpoiledAnswerError("the answer is to another request")
        is_failure = stream.status >= STATUS_CLIENT_ERROR
        return stream.status == STATUS_MISDIRECTED or (
            is_failure and names.not_run in stream.headers
        )

    def check(self, stream: HttpStream) -> None:
        """Raise SpoiledAnswerError where the head can't be the request's answer."""
        names = self._names
        if names.request_id not in stream.headers:
            raise SpoiledAnswerError("the answer does not say to which request")
        # The caller reads these as "not run and never will be". A target that does not
        # say so itself may have run the request, and the caller would send it again.
        if stream.status in NOT_RUN_STATUSES:
            raise SpoiledAnswerError("the answer promises what it does not say")
        if stream.status < STATUS_CLIENT_ERROR and names.seal not in stream.headers:
            raise SpoiledAnswerError("the answer has no seal")
        if CONTENT_ENCODING in stream.headers:
            raise SpoiledAnswerError("the body is encoded")
