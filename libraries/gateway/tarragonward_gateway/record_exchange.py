"""Give peers the published records that they lack, and ask peers for them."""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

import msgpack

from tarragonward_core import Address, FrameError, ResultCode, TargetError
from tarragonward_wire import HttpRequest, Responder, async_send_http

from . import const as c
from .clock import read_clock
from .ports import Record
from .record_store import RecordBatch, RecordStore
from .state import GatewayState

__all__ = [
    "PeerRecords",
    "RecordHandler",
    "async_pull_records",
    "pack_age",
    "unpack_age",
]

STATUS_OK = 200
METHOD_GET = "GET"
PARAMETER_AFTER = "after"
MILLISECONDS = 1_000
BODY_HEADERS = {"content-type": "application/msgpack"}


@dataclass(frozen=True)
class PeerRecords:
    """What a peer gave; confirmed_age is since the source answered it or its peers."""

    portion: RecordBatch
    confirmed_age: float


def pack_age(seconds: float) -> int | None:
    """Return an age as it travels, never less than it is; None is never.

    Ages are told to and fro. Symptom: what each way takes off adds up, and hosts that
    hear only each other find what they know ever younger. What a datagram takes at
    best is not measured, so each way adds more than that.
    """
    if not math.isfinite(seconds):
        return None
    return math.ceil((seconds + c.AGE_HOP_ALLOWANCE_SECONDS) * MILLISECONDS)


def unpack_age(item: Any) -> float:
    """Return the age that pack_age gave; raise FrameError where it is not one."""
    if item is None:
        return math.inf
    if type(item) is not int or item < 0:
        raise FrameError("not an age")
    return item / MILLISECONDS


class RecordHandler:
    """The control address: what peers ask this host for."""

    def __init__(self, state: GatewayState, book: RecordStore) -> None:
        self._state = state
        self._book = book
        self._given = 0
        self._packed: OrderedDict[tuple[int, int, int], bytes] = OrderedDict()

    async def async_handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer with the records after a revision."""
        after = request.query.get(PARAMETER_AFTER, "")
        if request.path != c.RECORDS_PATH or not after.isdecimal():
            await responder.async_send_error(ResultCode.UNKNOWN_ROUTE)
            return
        # All that start at once ask the few hosts that hold the records. Symptom: their
        # links are full, and no asker has its answer in time. Those refused ask again,
        # most often another host, and each that was given the records gives them on.
        if self._given >= c.MAX_CONCURRENT_RECORD_ANSWERS:
            await responder.async_send_error(ResultCode.OVERLOADED)
            return
        self._given += 1
        try:
            body = self._pack(int(after))
            await responder.async_send_bytes(STATUS_OK, body, BODY_HEADERS)
        finally:
            self._given -= 1

    def _pack(self, after: int) -> bytes:
        age = pack_age(read_clock() - self._state.table_confirmed_at)
        return msgpack.packb((c.RECORDS_FORMAT, age, self._pack_portion(after)))

    def _pack_portion(self, after: int) -> bytes:
        """Return the records after a revision, compressed; kept for the next asker.

        Hosts may have thin links. Symptom: a large table does not reach them before
        they give up the peer that gives it.
        """
        key = (after, self._book.changed, self._book.complete)
        if key not in self._packed:
            portion = self._book.get_since(after)
            records = [(r.key, r.revision, r.value) for r in portion.records]
            body = msgpack.packb((portion.complete, portion.is_whole, records))
            self._packed[key] = zlib.compress(body, c.RECORDS_COMPRESSION)
            while len(self._packed) > c.MAX_CACHED_RECORD_BODIES:
                self._packed.popitem(last=False)
        return self._packed[key]


async def async_pull_records(address: Address, after: int) -> PeerRecords:
    """Return a peer's records after a revision; raise TargetError or FrameError."""
    answer = await async_send_http(
        address,
        METHOD_GET,
        f"{c.RECORDS_PATH}?{PARAMETER_AFTER}={after}",
        timeout=c.PEER_PULL_TIMEOUT_SECONDS,
        silence_timeout=c.PEER_PULL_TIMEOUT_SECONDS,
    )
    if answer.status != STATUS_OK or len(answer.body) > c.MAX_RECORDS_BYTES:
        raise TargetError(f"status {answer.status}")
    try:
        number, age, packed = msgpack.unpackb(answer.body)
        if number != c.RECORDS_FORMAT:
            raise ValueError("another format")
        complete, is_whole, items = msgpack.unpackb(_decompress(packed))
        if type(complete) is not int:
            raise ValueError("not a revision")
        records = tuple(_unpack_record(item) for item in items)
    except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as err:
        raise FrameError(f"not a peer's records: {err}") from None
    return PeerRecords(
        RecordBatch(records, complete, is_whole is True), unpack_age(age)
    )


def _decompress(packed: bytes) -> bytes:
    """Return what was compressed; raise ValueError where it is larger than allowed."""
    unpacking = zlib.decompressobj()
    body = unpacking.decompress(packed, c.MAX_RECORDS_BYTES)
    if not unpacking.eof:
        raise ValueError("cut off, or too large")
    return body


def _unpack_record(item: Any) -> Record:
    key, revision, value = item
    is_valid = type(key) is str and type(revision) is int and revision > 0
    if not is_valid or not isinstance(value, bytes | None):
        raise ValueError("not a record")
    return Record(key, revision, value)
