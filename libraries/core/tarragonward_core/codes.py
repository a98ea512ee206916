"""Define the numbered result codes that are shown to callers and operators."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["Conclusion", "Repeat", "ResultCode"]


class Conclusion(Enum):
    """Whether the request was run, as far as the caller can know."""

    RUN = "run"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Repeat(Enum):
    """Whether and how a caller may retry its request."""

    NOT_NEEDED = "not needed"
    NO = "no, change the request first"
    AFTER_DELAY = "yes, after the Retry-After header's seconds"
    SAME_KEY = "yes, with the same key, to learn the outcome"
    NEW_KEY = "yes, with a new key"
    ASK_SERVICE = "no, look the outcome up in the service itself"


@dataclass(frozen=True)
class _Code:
    number: int
    http_status: int
    conclusion: Conclusion
    repeat: Repeat
    text: str


def _not_run(number: int, status: int, text: str, repeat: Repeat = Repeat.NO) -> _Code:
    return _Code(number, status, Conclusion.NOT_RUN, repeat, text)


class ResultCode(Enum):
    """A numbered result code.

    1xxx: the request. 2xxx: the fleet. 3xxx: the run. 4xxx: non-idempotent calls.
    5xxx: between hosts, and patches.
    """

    OK = _Code(0, 200, Conclusion.RUN, Repeat.NOT_NEEDED, "The whole answer was given.")

    MALFORMED_HTTP = _not_run(1001, 400, "The request is not valid HTTP/1.1.")
    MALFORMED_JSON = _not_run(1002, 400, "The body is not valid JSON.")
    INVALID_REQUEST = _not_run(1003, 400, "A field is missing, unknown or not valid.")
    HEAD_TOO_LARGE = _not_run(1004, 431, "The request's head is too large.")
    BODY_TOO_LARGE = _not_run(1005, 413, "The request's body is too large.")
    SLOW_SENDER = _not_run(
        1006, 408, "The request did not arrive in time.", Repeat.AFTER_DELAY
    )
    UNKNOWN_ROUTE = _not_run(1007, 404, "There is no such route.")
    METHOD_NOT_ALLOWED = _not_run(1008, 405, "The route does not take this method.")
    TOKEN_MISSING = _not_run(1009, 401, "No bearer token was given.")
    TOKEN_WRONG = _not_run(1010, 401, "The bearer token belongs to no client account.")
    UNKNOWN_MODEL = _not_run(1011, 404, "The model is not published.")
    UNKNOWN_SERVICE = _not_run(1012, 404, "The service or operation is not published.")
    PROMPT_TOO_LONG = _not_run(
        1013, 400, "Prompt and answer are over the model's context."
    )
    DEADLINE_IN_PAST = _not_run(1014, 400, "The time limit is not in the future.")
    KEY_MISSING = _not_run(
        1015, 400, "A non-idempotent call needs a key.", Repeat.NEW_KEY
    )
    KEY_INVALID = _not_run(
        1016, 400, "The key's prefix was not given out by this system.", Repeat.NEW_KEY
    )
    KEY_REUSED = _not_run(
        1017, 422, "The key was used before with another body; this call was not run."
    )
    KEY_EXPIRED = _Code(
        1018,
        410,
        Conclusion.UNKNOWN,
        Repeat.ASK_SERVICE,
        "The key is older than the retention; what became of it is not known.",
    )

    OVERLOADED = _not_run(
        2001, 503, "The fleet has no room for this request.", Repeat.AFTER_DELAY
    )
    ACCOUNT_LIMIT = _not_run(
        2002, 429, "The client account's share is used up.", Repeat.AFTER_DELAY
    )
    CANNOT_FINISH = _not_run(
        2003, 503, "The answer would not be whole in time.", Repeat.AFTER_DELAY
    )
    DRAINING = _not_run(
        2004, 503, "This host is leaving; another one serves.", Repeat.AFTER_DELAY
    )
    NO_TARGET = _not_run(
        2005, 503, "No target for this work is in reach.", Repeat.AFTER_DELAY
    )
    NOT_READY = _not_run(
        2006, 503, "This host has no configuration yet.", Repeat.AFTER_DELAY
    )
    TARGET_REFUSED = _not_run(
        2007, 503, "The target refused the call before running it.", Repeat.AFTER_DELAY
    )
    CALL_NOT_RUN = _not_run(
        2008,
        503,
        "The call was not sent and will not be under this key.",
        Repeat.NEW_KEY,
    )
    CRASHES_TARGETS = _not_run(
        2009, 503, "Targets ended under this request; it was sent to none now."
    )
    ON_TRIAL = _not_run(
        2010,
        503,
        "A target ended under this request; another host may try it.",
        Repeat.AFTER_DELAY,
    )

    DEADLINE_EXCEEDED = _Code(
        3001,
        504,
        Conclusion.RUN,
        Repeat.AFTER_DELAY,
        "The time limit passed before the answer was whole.",
    )
    ENGINES_FAILED = _Code(
        3002,
        502,
        Conclusion.RUN,
        Repeat.AFTER_DELAY,
        "Every attempt failed or the retry budget is used up.",
    )
    TARGET_FAILED = _Code(
        3003, 502, Conclusion.RUN, Repeat.NO, "The target answered with an error."
    )
    CALLER_LEFT = _Code(
        3004, 499, Conclusion.RUN, Repeat.AFTER_DELAY, "The caller left first."
    )
    HOST_STOPPED = _Code(
        3005,
        503,
        Conclusion.RUN,
        Repeat.AFTER_DELAY,
        "The host's time to drain was over.",
    )
    INTERNAL_ERROR = _Code(
        3006,
        500,
        Conclusion.UNKNOWN,
        Repeat.SAME_KEY,
        "A fault in this host; its log has the request's trace.",
    )

    OUTCOME_UNKNOWN = _Code(
        4001,
        503,
        Conclusion.UNKNOWN,
        Repeat.SAME_KEY,
        "The call may or may not have run; it is not sent again under this key.",
    )
    IN_PROGRESS = _Code(
        4002,
        409,
        Conclusion.UNKNOWN,
        Repeat.SAME_KEY,
        "The first call with this key has not ended yet.",
    )
    ANSWER_NOT_KEPT = _Code(
        4003,
        410,
        Conclusion.RUN,
        Repeat.ASK_SERVICE,
        "The call has run; its answer was too large to keep for repeats.",
    )

    FORWARD_OUTCOME_UNKNOWN = _Code(
        4004,
        502,
        Conclusion.UNKNOWN,
        Repeat.ASK_SERVICE,
        "A target may have run the request; no answer that can be passed on came.",
    )
    FORWARD_TIMEOUT = _Code(
        4005,
        504,
        Conclusion.UNKNOWN,
        Repeat.ASK_SERVICE,
        "The time limit passed after the request was sent to a target.",
    )
    FORWARD_CRASHED_TARGETS = _Code(
        4006,
        502,
        Conclusion.RUN,
        Repeat.NO,
        "Targets ended while they ran this request; it is sent to no more.",
    )

    BAD_FRAME = _not_run(5001, 400, "A frame between hosts was refused.")
    WRONG_VERSION = _not_run(5002, 400, "The peer speaks another protocol version.")
    STALE_PATCH = _not_run(
        5003, 409, "The patch was written against an old number.", Repeat.NO
    )
    INVALID_PATCH = _not_run(5004, 422, "The patch gives an invalid configuration.")

    @property
    def number(self) -> int:
        """Return the number used in responses and logs."""
        return self.value.number

    @property
    def http_status(self) -> int:
        """Return the HTTP status of a response with this code."""
        return self.value.http_status

    @property
    def conclusion(self) -> Conclusion:
        """Return what the caller may conclude about its request."""
        return self.value.conclusion

    @property
    def repeat(self) -> Repeat:
        """Return whether and how the request may be retried."""
        return self.value.repeat

    @property
    def text(self) -> str:
        """Return the human-readable message."""
        return self.value.text

    @classmethod
    def from_number(cls, number: int) -> ResultCode:
        """Return the code with this number; raise ValueError if unknown."""
        for code in cls:
            if code.number == number:
                return code
        raise ValueError(f"no result code {number}")
