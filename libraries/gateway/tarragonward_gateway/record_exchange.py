"""Serve published records to peers, and pull them from peers."""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict
from collections.abc import Callable
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
    """Records from a peer, and the time since the source confirmed them to any host.

    size is that of the answer, in bytes.
    """

    batch: RecordBatch
    confirmed_age: float
    size: int


def pack_age(seconds: float) -> int | None:
    """Return an age in wire form, rounded up; None stands for an infinite age.

    Hosts send ages back and forth. If an age lost a little with each transfer, hosts
    that only hear each other would consider their data ever younger. The transit time
    is not known, so each transfer adds more than its minimum.
    """
    if not math.isfinite(seconds):
        return None
    return math.ceil((seconds + c.AGE_HOP_ALLOWANCE_SECONDS) * MILLISECONDS)


def unpack_age(item: Any) -> float:
    """Return the age from its wire form; raise FrameError if it is invalid."""
    if item is None:
        return math.inf
    if type(item) is not int or item < 0:
        raise FrameError("age is not a non-negative integer")
    return item / MILLISECONDS


class RecordHandler:
    """Answers the record requests of peers at the control address."""

    def __init__(self, state: GatewayState, record_store: RecordStore) -> None:
        self._state = state
        self._record_store = record_store
        self._answers_in_progress = 0
        self._cached_bodies: OrderedDict[tuple[int, int, int], bytes] = OrderedDict()

    async def async_handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request for the records after a revision."""
        after = request.query.get(PARAMETER_AFTER, "")
        if request.path != c.RECORDS_PATH or not after.isdecimal():
            await responder.async_send_error(ResultCode.UNKNOWN_ROUTE)
            return
        # Hosts that start together all ask the few hosts that have the records. Without
        # a limit these links would be saturated and no answer would arrive in time. A
        # refused host asks again, mostly another host, and each host that has received
        # the records serves them as well.
        if self._answers_in_progress >= c.MAX_CONCURRENT_RECORD_ANSWERS:
            await responder.async_send_error(ResultCode.OVERLOADED)
            return
        self._answers_in_progress += 1
        try:
            body = self._pack(int(after))
            await responder.async_send_bytes(STATUS_OK, body, BODY_HEADERS)
        finally:
            self._answers_in_progress -= 1

    def _pack(self, after: int) -> bytes:
        age = pack_age(read_clock() - self._state.table_confirmed_at)
        return msgpack.packb((c.RECORDS_FORMAT, age, self._pack_batch(after)))

    def _pack_batch(self, after: int) -> bytes:
        """Return the records after a revision, compressed, from a small cache.

        Uncompressed, a large table would not reach a host on a thin link before the
        pull times out.
        """
        key = (
            after,
            self._record_store.latest_revision,
            self._record_store.complete_revision,
        )
        if key not in self._cached_bodies:
            batch = self._record_store.get_since(after)
            records = [(r.key, r.revision, r.value) for r in batch.records]
            body = msgpack.packb((batch.complete_revision, batch.is_snapshot, records))
            self._cached_bodies[key] = zlib.compress(body, c.RECORDS_COMPRESSION)
            while len(self._cached_bodies) > c.MAX_CACHED_RECORD_BODIES:
                self._cached_bodies.popitem(last=False)
        return self._cached_bodies[key]


async def async_pull_records(
    address: Address, after: int, on_progress: Callable[[], None] | None = None
) -> PeerRecords:
    """Request a peer's records after a revision; raise TargetError or FrameError.

    on_progress is called whenever a part of the answer arrives.
    """
    answer = await async_send_http(
        address,
        METHOD_GET,
        f"{c.RECORDS_PATH}?{PARAMETER_AFTER}={after}",
        timeout=c.PEER_PULL_TIMEOUT_SECONDS,
        inactivity_timeout=c.PEER_PULL_TIMEOUT_SECONDS,
        on_progress=on_progress,
        max_bytes=c.MAX_RECORDS_BYTES,
    )
    if answer.status != STATUS_OK:
        raise TargetError(f"no usable records, status {answer.status}")
    try:
        format_number, age, packed = msgpack.unpackb(answer.body)
        if format_number != c.RECORDS_FORMAT:
            raise ValueError("unknown format of records")
        complete_revision, is_snapshot, items = msgpack.unpackb(_decompress(packed))
        if type(complete_revision) is not int:
            raise ValueError("revision is not an integer")
        records = tuple(_unpack_record(item) for item in items)
    except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as err:
        raise FrameError(f"malformed records from a peer: {err}") from None
    batch = RecordBatch(records, complete_revision, is_snapshot is True)
    return PeerRecords(batch, unpack_age(age), len(answer.body))


def _decompress(packed: bytes) -> bytes:
    """Return the decompressed bytes; raise ValueError if they exceed the limit."""
    unpacking = zlib.decompressobj()
    body = unpacking.decompress(packed, c.MAX_RECORDS_BYTES)
    if not unpacking.eof:
        raise ValueError("compressed data is truncated or too large")
    return body


def _unpack_record(item: Any) -> Record:
    key, revision, value = item
    is_valid = type(key) is str and type(revision) is int and revision > 0
    if not is_valid or not isinstance(value, bytes | None):
        raise ValueError("malformed record")
    return Record(key, revision, value)
