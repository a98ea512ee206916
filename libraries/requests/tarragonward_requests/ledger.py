"""Decide, at its owner, what happens to a call under a key: run at most once."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from tarragonward_core import ResultCode, invariants

from .const import MAX_RECORDED_ANSWER_BYTES, MAX_RECORDED_BYTES

__all__ = ["CallLedger", "CallState", "RecordedAnswer", "Send", "Reply"]


class CallState(Enum):
    """How far a call has come at its owner."""

    ACCEPTED = "accepted"
    SENT = "sent"
    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class RecordedAnswer:
    """What a target answered; given again, the same bytes, for each repeat."""

    status: int
    content_type: str
    body: bytes = field(repr=False)


@dataclass(frozen=True)
class Send:
    """Decision: send the call to a target."""


@dataclass(frozen=True)
class Reply:
    """Decision: answer the caller with a code and, where there is one, an answer."""

    code: ResultCode
    answer: RecordedAnswer | None = None


@dataclass
class _Record:
    digest: bytes
    minted_at: float
    state: CallState = CallState.ACCEPTED
    answer: RecordedAnswer | None = None
    code: ResultCode = ResultCode.IN_PROGRESS


class CallLedger:
    """The records of one incarnation of one owner; nobody else runs its keys.

    Records live for the retention after their key's prefix was minted; keys older
    than that are refused, so memory is bounded and a forgotten key can't run again.
    """

    def __init__(self, retention_seconds: float) -> None:
        self._retention = retention_seconds
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._recorded_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def accept(
        self, key: str, digest: bytes, minted_at: float, now: float
    ) -> Send | Reply:
        """Decide about a call that arrived, first or again; times in wall seconds."""
        self._forget_old(now)
        if now >= minted_at + self._retention:
            return Reply(ResultCode.KEY_EXPIRED)
        record = self._records.get(key)
        if record is None:
            self._records[key] = _Record(digest, minted_at)
            return Send()
        if record.digest != digest:
            return Reply(ResultCode.KEY_REUSED)
        return Reply(record.code, record.answer)

    def mark_sent(self, key: str) -> bool:
        """Write "sent" before the first byte goes out; False forbids to send."""
        record = self._records.get(key)
        may_send = record is not None and record.state is CallState.ACCEPTED
        invariants.check(may_send, "sent_at_most_once", key=key)
        if record is None or not may_send:
            return False
        record.state = CallState.SENT
        record.code = ResultCode.OUTCOME_UNKNOWN
        return True

    def mark_unsent(self, key: str) -> None:
        """Take "sent" back: the connection was never made, nothing went out."""
        record = self._records[key]
        invariants.check(record.state is CallState.SENT, "unsent_after_sent", key=key)
        record.state = CallState.ACCEPTED
        record.code = ResultCode.IN_PROGRESS

    def record_answer(self, key: str, answer: RecordedAnswer) -> Reply:
        """Keep the target's answer for repeats."""
        record = self._records[key]
        record.state = CallState.ANSWERED
        record.code = ResultCode.OK
        if (
            len(answer.body) <= MAX_RECORDED_ANSWER_BYTES
            and self._recorded_bytes + len(answer.body) <= MAX_RECORDED_BYTES
        ):
            record.answer = answer
            self._recorded_bytes += len(answer.body)
        return Reply(ResultCode.OK, answer)

    def record_not_run(self, key: str, code: ResultCode) -> Reply:
        """Leave a tombstone: this key did not run and never will."""
        record = self._records[key]
        record.state = CallState.NOT_RUN
        record.code = code
        return Reply(code)

    def record_unknown(self, key: str) -> Reply:
        """Note that the call may have run; it is never sent again."""
        record = self._records[key]
        record.state = CallState.UNKNOWN
        record.code = ResultCode.OUTCOME_UNKNOWN
        return Reply(record.code)

    def _forget_old(self, now: float) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            if now < record.minted_at + self._retention:
                return
            del self._records[key]
            if record.answer is not None:
                self._recorded_bytes -= len(record.answer.body)
