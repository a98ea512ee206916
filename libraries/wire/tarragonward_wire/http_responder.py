"""Write HTTP answers, with numbered errors, at the pace of their reader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import h11
import orjson

from tarragonward_core import Repeat, ResultCode

from .const import DEFAULT_RETRY_AFTER_SECONDS, WRITE_BUFFER_BYTES
from .http_messages import Headers, RawHeaders, encode_headers

__all__ = ["Responder", "build_error_body", "compute_retry_after"]

JSON_HEADERS = {"content-type": "application/json"}
REPEATS_LATER = (Repeat.AFTER_DELAY, Repeat.NEW_KEY, Repeat.SAME_KEY)
METHOD_HEAD = "HEAD"
# Answers that never have a body. Source: RFC 9110, sections 15.3.5 and 15.4.5.
BODILESS_STATUSES = (204, 304)


def compute_retry_after(code: ResultCode, seconds: float | None) -> int | None:
    """Return the whole seconds until a repeat makes sense, None where it makes none."""
    if code.repeat not in REPEATS_LATER:
        return None
    wait = DEFAULT_RETRY_AFTER_SECONDS if seconds is None else seconds
    return max(1, round(wait))


def build_error_body(
    code: ResultCode,
    detail: str = "",
    request_id: str = "",
    retry_after_seconds: float | None = None,
) -> dict[str, Any]:
    """Return the JSON error that goes with a result code, as stock clients read it."""
    return {
        "error": {
            "code": code.number,
            "type": code.name,
            "message": detail or code.text,
            "param": None,
            "conclusion": code.conclusion.value,
            "repeat": code.repeat.value,
            "retry_after_seconds": compute_retry_after(code, retry_after_seconds),
            "request_id": request_id,
        }
    }


def _add_length(
    status: int, headers: Headers | RawHeaders, length: int
) -> Headers | RawHeaders:
    if status in BODILESS_STATUSES:
        return headers
    if isinstance(headers, dict):
        return {**headers, "content-length": str(length)}
    # An answer to HEAD comes with the length of the body that it stands for.
    if any(name.lower() == b"content-length" for name, _ in headers):
        return headers
    return (*headers, (b"content-length", str(length).encode("ascii")))


class Responder:
    """Write one answer; a slow reader holds its writer back, not memory.

    A reader that takes nothing for write_timeout seconds, or until give_up_at in the
    loop's time, loses its connection.
    """

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        write_timeout: float,
        is_closing: Callable[[], bool] = lambda: False,
    ) -> None:
        self._connection = connection
        self._writer = writer
        self._write_timeout = write_timeout
        self._is_closing = is_closing
        self._unsent: list[bytes] = []
        self.request_id = ""
        self.method = ""
        self.give_up_at: float | None = None
        self.is_started = False
        self.is_finished = False

    async def async_send_json(
        self, status: int, payload: Any, headers: Headers | None = None
    ) -> None:
        """Send a whole JSON answer."""
        body = orjson.dumps(payload)
        await self.async_send_bytes(status, body, {**JSON_HEADERS, **(headers or {})})

    async def async_send_bytes(
        self, status: int, body: bytes, headers: Headers | RawHeaders
    ) -> None:
        """Send a whole answer."""
        self.start(status, _add_length(status, headers, len(body)))
        is_bodiless = self.method == METHOD_HEAD or status in BODILESS_STATUSES
        await self.async_finish(b"" if is_bodiless else body)

    async def async_send_error(
        self,
        code: ResultCode,
        detail: str = "",
        request_id: str = "",
        retry_after_seconds: float | None = None,
        headers: Headers | None = None,
    ) -> None:
        """Send a numbered error; a code that may be repeated says when."""
        all_headers = {**(headers or {}), "x-result-code": str(code.number)}
        retry_after = compute_retry_after(code, retry_after_seconds)
        if retry_after is not None:
            all_headers["retry-after"] = str(retry_after)
        if code in (ResultCode.TOKEN_MISSING, ResultCode.TOKEN_WRONG):
            all_headers["www-authenticate"] = "Bearer"
        request_id = request_id or self.request_id
        body = build_error_body(code, detail, request_id, retry_after_seconds)
        await self.async_send_json(code.http_status, body, all_headers)

    async def async_start(self, status: int, headers: Headers | RawHeaders) -> None:
        """Send the head; without a content-length the body goes in chunks."""
        self.start(status, headers)
        self._flush()

    def start(self, status: int, headers: Headers | RawHeaders) -> None:
        """Begin an answer whose head goes out together with what follows at once."""
        self.is_started = True
        encoded = encode_headers(headers)
        if self._is_closing():
            encoded.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=encoded)
        self._add(response)

    async def async_send_chunk(self, data: bytes) -> None:
        """Send a part of the body and wait until the reader has room."""
        if not data:
            return
        self._add(h11.Data(data=data))
        self._flush()
        await self._async_wait_for_room()

    async def async_finish(self, data: bytes = b"") -> None:
        """End the answer, with its last data where some is left."""
        if data:
            self._add(h11.Data(data=data))
        self._add(h11.EndOfMessage())
        self.is_finished = True
        self._flush()
        await self._async_wait_for_room()

    async def _async_wait_for_room(self) -> None:
        transport = self._writer.transport
        if transport.is_closing():
            raise ConnectionResetError("the reader left")
        if transport.get_write_buffer_size() <= WRITE_BUFFER_BYTES:
            return
        give_up_at = asyncio.get_running_loop().time() + self._write_timeout
        if self.give_up_at is not None:
            give_up_at = min(give_up_at, self.give_up_at)
        async with asyncio.timeout_at(give_up_at):
            await self._writer.drain()

    def _add(self, event: h11.Event) -> None:
        data = self._connection.send(event)
        if data:
            self._unsent.append(data)

    def _flush(self) -> None:
        # One write, and so one system call and packet, for all that is ready: sends
        # are the host's largest cost.
        unsent = self._unsent
        self._writer.write(unsent[0] if len(unsent) == 1 else b"".join(unsent))
        unsent.clear()
