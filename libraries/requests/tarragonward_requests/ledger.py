"""Decide, on the owner of its key, how a call is run at most once."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from tarragonward_core import ResultCode, invariants

from . import const as c

__all__ = ["CallLedger", "CallState", "RecordedAnswer", "Reply", "Send", "Wait"]


class CallState(Enum):
    """The state of a call on its owner."""

    ACCEPTED = "accepted"
    SENT = "sent"
    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


IN_FLIGHT = frozenset({CallState.ACCEPTED, CallState.SENT})


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """A target's answer, replayed byte for byte to each repeat of the call."""

    status: int
    content_type: str
    body: bytes = field(repr=False)


@dataclass(frozen=True)
class Send:
    """Decision: send the call to a target."""


@dataclass(frozen=True)
class Wait:
    """Decision: an earlier copy is in flight; wait for it to end, then call read()."""


@dataclass(frozen=True)
class Reply:
    """Decision: answer the caller with a code and the recorded answer, if any."""

    code: ResultCode
    answer: RecordedAnswer | None = None
    retry_after_seconds: float | None = None


@dataclass(slots=True)
class _Record:
    digest: bytes
    deadline: float
    state: CallState = CallState.ACCEPTED
    answer: RecordedAnswer | None = None
    code: ResultCode = ResultCode.IN_PROGRESS
    ended_at: float = 0.0


class CallLedger:
    """Idempotency records of one incarnation of one host, the only owner of its keys.

    All times, including minted_at, are in seconds of the owner's monotonic clock, as
    the wall clock may jump. A key accepts a new call for the retention time after its
    prefix was minted. A record is kept for the retention time after its call ended, so
    it does not expire while its key could still run.
    """

    def __init__(
        self,
        retention_seconds: float,
        max_records: int = c.MAX_RECORDS,
        max_recorded_bytes: int = c.MAX_RECORDED_BYTES,
    ) -> None:
        self._retention = retention_seconds
        self._max_records = max_records
        self._max_recorded_bytes = max_recorded_bytes
        self._in_flight: dict[str, _Record] = {}
        self._ended: OrderedDict[str, _Record] = OrderedDict()
        # Keys whose prefix was minted up to this time accept no new call.
        self._closed_through = -1.0
        self._recorded_bytes = 0

    def __len__(self) -> int:
        return len(self._in_flight) + len(self._ended)

    @property
    def in_flight(self) -> int:
        """Return the number of calls in flight."""
        return len(self._in_flight)

    @property
    def recorded_bytes(self) -> int:
        """Return the total size of the recorded answers in bytes."""
        return self._recorded_bytes

    def choose_mint_time(self, now: float) -> int:
        """Return a mint time with which a new prefix accepts calls."""
        if self._closed_through == float("inf"):
            return int(now)
        return max(int(now), int(self._closed_through) + 1)

    def accept(
        self, key: str, digest: bytes, minted_at: float, now: float, deadline: float
    ) -> Send | Wait | Reply:
        """Decide what to do with a copy of a call, the first one or a repeat."""
        self._expire_records(now)
        record = self._find(key)
        if record is not None:
            return self._answer_repeat(record, key, digest, now)
        if now >= minted_at + self._retention:
            return Reply(ResultCode.KEY_EXPIRED)
        if minted_at <= self._closed_through:
            return Reply(
                ResultCode.CALL_NOT_RUN,
                retry_after_seconds=c.NEW_KEY_RETRY_AFTER_SECONDS,
            )
        if not self._has_room():
            return self._refuse_when_full(minted_at, now)
        self._in_flight[key] = _Record(digest, deadline)
        if now >= deadline:
            return self.record_not_run(key, ResultCode.CALL_NOT_RUN, now)
        return Send()

    def close(self) -> None:
        """Refuse new calls under all keys; repeats are still answered."""
        self._closed_through = float("inf")

    def read(self, key: str, now: float) -> Reply:
        """Return the reply to a copy that has finished waiting."""
        record = self._find(key)
        if record is None:
            return Reply(ResultCode.OUTCOME_UNKNOWN)
        if record.state is CallState.ACCEPTED and now >= record.deadline:
            return self.record_not_run(key, ResultCode.CALL_NOT_RUN, now)
        return _build_reply(record)

    def mark_sent(self, key: str, now: float) -> bool:
        """Mark a call as sent before its first byte is written; False forbids it."""
        record = self._in_flight.get(key)
        # After a process pause the deadline may have passed, and a repeat may have been
        # told "not run" already. Sent now, the call would run after that reply. No
        # await separates this check from the write.
        if record is None or record.state is not CallState.ACCEPTED:
            return False
        if now >= record.deadline:
            self.record_not_run(key, ResultCode.CALL_NOT_RUN, now)
            return False
        record.state = CallState.SENT
        return True

    def is_sent(self, key: str) -> bool:
        """Return whether a call in flight may have reached its target."""
        record = self._in_flight.get(key)
        return record is not None and record.state is CallState.SENT

    def mark_refused(self, key: str) -> None:
        """Undo mark_sent: the target answered that it did not run the call."""
        record = self._in_flight[key]
        invariants.check(record.state is CallState.SENT, "refused_after_sent", key=key)
        record.state = CallState.ACCEPTED

    def record_answer(self, key: str, answer: RecordedAnswer, now: float) -> Reply:
        """Record the target's answer for repeats; return the first copy's reply."""
        record = self._end(key, CallState.ANSWERED, ResultCode.OK, now)
        size = len(answer.body)
        if size > c.MAX_RECORDED_ANSWER_BYTES or not self._has_bytes_for(size):
            record.code = ResultCode.ANSWER_NOT_KEPT
        else:
            record.answer = answer
            self._recorded_bytes += size
        return Reply(ResultCode.OK, answer)

    def record_not_run(self, key: str, code: ResultCode, now: float) -> Reply:
        """Leave a tombstone: the call did not run, and its key never will."""
        record = self._in_flight.get(key)
        has_not_run = record is not None and record.state is CallState.ACCEPTED
        invariants.check(has_not_run, "not_run_only_where_never_sent", key=key)
        if not has_not_run:
            return self.read(key, now)
        return _build_reply(self._end(key, CallState.NOT_RUN, code, now))

    def record_unknown(self, key: str, now: float) -> Reply:
        """End a call that may have run; it is never sent again."""
        code = ResultCode.OUTCOME_UNKNOWN
        return _build_reply(self._end(key, CallState.UNKNOWN, code, now))

    def record_failure(self, key: str, now: float) -> Reply:
        """End a call whose sending failed at any point, unless it has ended already."""
        if key not in self._in_flight:
            return self.read(key, now)
        if self.is_sent(key):
            return self.record_unknown(key, now)
        return self.record_not_run(key, ResultCode.CALL_NOT_RUN, now)

    def _find(self, key: str) -> _Record | None:
        return self._in_flight.get(key) or self._ended.get(key)

    def _answer_repeat(
        self, record: _Record, key: str, digest: bytes, now: float
    ) -> Wait | Reply:
        if record.digest != digest:
            return Reply(ResultCode.KEY_REUSED)
        reply = self.read(key, now)
        return Wait() if reply.code is ResultCode.IN_PROGRESS else reply

    def _end(self, key: str, state: CallState, code: ResultCode, now: float) -> _Record:
        record = self._in_flight.pop(key)
        invariants.check(record.state in IN_FLIGHT, "ends_once", key=key)
        record.state, record.code, record.ended_at = state, code, now
        self._ended[key] = record
        return record

    def _has_room(self) -> bool:
        has_bytes = self._has_bytes_for(c.RESERVED_ANSWER_BYTES)
        return len(self) < self._max_records and has_bytes

    def _has_bytes_for(self, size: int) -> bool:
        """Return whether size bytes fit beside the reservations of calls in flight."""
        reserved = len(self._in_flight) * c.RESERVED_ANSWER_BYTES
        return self._recorded_bytes + size + reserved <= self._max_recorded_bytes

    def _refuse_when_full(self, minted_at: float, now: float) -> Reply:
        # A refused call leaves no record, so its delayed copy could run after the
        # caller was told "not run" and used a new key. To prevent that, the ledger is
        # closed for all unknown keys of that age and older, which takes only one
        # number.
        self._closed_through = max(self._closed_through, minted_at)
        wait = c.NEW_KEY_RETRY_AFTER_SECONDS
        if self._ended:
            oldest = next(iter(self._ended.values()))
            wait = max(wait, oldest.ended_at + self._retention - now)
        return Reply(ResultCode.OVERLOADED, retry_after_seconds=wait)

    def _expire_records(self, now: float) -> None:
        while self._ended:
            key, record = next(iter(self._ended.items()))
            if now < record.ended_at + self._retention:
                return
            del self._ended[key]
            if record.answer is not None:
                self._recorded_bytes -= len(record.answer.body)


def _build_reply(record: _Record) -> Reply:
    wait = (
        c.NEW_KEY_RETRY_AFTER_SECONDS
        if record.state is not CallState.ANSWERED
        else None
    )
    return Reply(record.code, record.answer, wait)
