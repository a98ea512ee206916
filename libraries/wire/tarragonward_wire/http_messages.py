"""Define HTTP requests and the limits of an HTTP server."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import h11

from tarragonward_core import RequestRefusedError, ResultCode

from .const import (
    DEFAULT_BODY_TIMEOUT_SECONDS,
    DEFAULT_HEAD_TIMEOUT_SECONDS,
    DEFAULT_IDLE_TIMEOUT_SECONDS,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_MAX_HEAD_BYTES,
    DEFAULT_WRITE_TIMEOUT_SECONDS,
)

__all__ = [
    "Headers",
    "HttpHead",
    "HttpLimits",
    "HttpRequest",
    "RawHeaders",
    "encode_headers",
    "measure_head",
    "parse_head",
]

Headers = dict[str, str]
RawHeaders = tuple[tuple[bytes, bytes], ...]

# Request line: two spaces, the HTTP version, its line ending and that of the head.
LINE_EXTRA_BYTES = 14
# Header line: a colon, a space and a line ending.
HEADER_EXTRA_BYTES = 4


@dataclass(frozen=True)
class HttpLimits:
    """The limits of each connection; times in seconds, sizes in bytes.

    head_timeout and body_timeout are total times, not times between reads.
    idle_timeout is the wait for the next request on a persistent connection.
    """

    max_head_bytes: int = DEFAULT_MAX_HEAD_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    head_timeout: float = DEFAULT_HEAD_TIMEOUT_SECONDS
    body_timeout: float = DEFAULT_BODY_TIMEOUT_SECONDS
    idle_timeout: float = DEFAULT_IDLE_TIMEOUT_SECONDS
    write_timeout: float = DEFAULT_WRITE_TIMEOUT_SECONDS


@dataclass(frozen=True)
class HttpHead:
    """The head of a request; header names are in lower case."""

    request_id: str
    method: str
    path: str
    query: dict[str, str]
    headers: Headers
    target: bytes = b""
    raw_headers: RawHeaders = ()


@dataclass(frozen=True)
class HttpRequest:
    """A complete request; context is the return value of the server's check_head.

    target and raw_headers are as sent by the caller, for forwarding the request
    unchanged.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: Headers
    body: bytes = field(repr=False)
    request_id: str = ""
    context: Any = None
    target: bytes = b""
    raw_headers: RawHeaders = ()


def measure_head(request: h11.Request) -> int:
    """Return the size of a request's head in bytes, ignoring extra whitespace."""
    line = len(request.method) + len(request.target) + LINE_EXTRA_BYTES
    return line + sum(
        len(name) + len(value) + HEADER_EXTRA_BYTES
        for name, value in request.headers.raw_items()
    )


def parse_head(request_id: str, request: h11.Request) -> HttpHead:
    """Parse the head of a request; raise RequestRefusedError if it is ambiguous."""
    headers = _join_headers(request)
    # Proxies disagree on the length of a body with both headers, so the rest of one
    # caller's body could be taken for another caller's request (request smuggling).
    # The request is refused and its connection closed, so nothing after it is read.
    if "transfer-encoding" in headers and "content-length" in headers:
        raise RequestRefusedError(
            ResultCode.MALFORMED_HTTP, "Both content-length and transfer-encoding."
        )
    try:
        path, query = _split_target(request.target.decode("latin-1"))
    except ValueError as err:
        raise RequestRefusedError(ResultCode.MALFORMED_HTTP, str(err)) from None
    method = request.method.decode("ascii")
    raw_headers = tuple(request.headers.raw_items())
    return HttpHead(
        request_id, method, path, query, headers, request.target, raw_headers
    )


def encode_headers(headers: Headers | RawHeaders) -> list[tuple[bytes, bytes]]:
    """Return encoded headers; raw headers are returned unchanged."""
    if not isinstance(headers, dict):
        return list(headers)
    return [
        (name.encode("ascii"), value.encode("latin-1"))
        for name, value in headers.items()
    ]


def _join_headers(request: h11.Request) -> Headers:
    headers: Headers = {}
    for raw_name, raw_value in request.headers:
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers


def _split_target(target: str) -> tuple[str, dict[str, str]]:
    if target.startswith("/"):
        path, _, query = target.partition("?")
        return path, dict(parse_qsl(query))
    parts = urlsplit(target)
    return parts.path, dict(parse_qsl(parts.query))
