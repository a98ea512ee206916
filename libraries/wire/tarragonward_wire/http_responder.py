"""Write HTTP responses and numbered errors, with back-pressure from the reader."""

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
RETRYABLE_REPEATS = (Repeat.AFTER_DELAY, Repeat.NEW_KEY, Repeat.SAME_KEY)
METHOD_HEAD = "HEAD"
# Responses without a body: RFC 9110, sections 15.3.5 and 15.4.5.
BODILESS_STATUSES = (204, 304)


def compute_retry_after(code: ResultCode, seconds: float | None) -> int | None:
    """Return the seconds to wait before a retry, None if the code allows no retry."""
    if code.repeat not in RETRYABLE_REPEATS:
        return None
    wait = DEFAULT_RETRY_AFTER_SECONDS if seconds is None else seconds
    return max(1, round(wait))


def build_error_body(
    code: ResultCode,
    detail: str = "",
    request_id: str = "",
    retry_after_seconds: float | None = None,
) -> dict[str, Any]:
    """Return the JSON error of a result code, in the form that common clients read."""
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
    # A response to HEAD has the length of the body that GET would return.
    if any(name.lower() == b"content-length" for name, _ in headers):
        return headers
    return (*headers, (b"content-length", str(length).encode("ascii")))


class Responder:
    """Write one response; a slow reader blocks the writer, so buffers stay bounded.

    If the reader takes nothing for write_timeout seconds, or until write_deadline (in
    the event loop's time), its connection is aborted.
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
        self.write_deadline: float | None = None
        self.is_started = False
        self.is_finished = False

    async def async_send_json(
        self, status: int, payload: Any, headers: Headers | None = None
    ) -> None:
        """Send a complete JSON response."""
        body = orjson.dumps(payload)
        await self.async_send_bytes(status, body, {**JSON_HEADERS, **(headers or {})})

    async def async_send_bytes(
        self, status: int, body: bytes, headers: Headers | RawHeaders
    ) -> None:
        """Send a complete response."""
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
        """Send a numbered error, with retry-after if the code allows a retry."""
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
        """Send the head; without a content-length the body is sent in chunks."""
        self.start(status, headers)
        self._flush()

    def start(self, status: int, headers: Headers | RawHeaders) -> None:
        """Start a response; its head is sent together with the data that follows."""
        self.is_started = True
        encoded = encode_headers(headers)
        if self._is_closing():
            encoded.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=encoded)
        self._add(response)

    async def async_send_chunk(self, data: bytes) -> None:
        """Send a part of the body and wait until the write buffer has drained."""
        if not data:
            return
        self._add(h11.Data(data=data))
        self._flush()
        await self._async_drain()

    async def async_finish(self, data: bytes = b"") -> None:
        """Send the last part of the body, if any, and end the response."""
        if data:
            self._add(h11.Data(data=data))
        self._add(h11.EndOfMessage())
        self.is_finished = True
        self._flush()
        await self._async_drain()

    async def _async_drain(self) -> None:
        transport = self._writer.transport
        if transport.is_closing():
            raise ConnectionResetError("the reader disconnected")
        if transport.get_write_buffer_size() <= WRITE_BUFFER_BYTES:
            return
        write_deadline = asyncio.get_running_loop().time() + self._write_timeout
        if self.write_deadline is not None:
            write_deadline = min(write_deadline, self.write_deadline)
        async with asyncio.timeout_at(write_deadline):
            await self._writer.drain()

    def _add(self, event: h11.Event) -> None:
        data = self._connection.send(event)
        if data:
            self._unsent.append(data)

    def _flush(self) -> None:
        # A single write, and so a single system call and packet: sending is the largest
        # part of a host's CPU time.
        unsent = self._unsent
        self._writer.write(unsent[0] if len(unsent) == 1 else b"".join(unsent))
        unsent.clear()
