"""Read and write the little of HTTP/1.1 that the stand-ins need."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

MAX_LINE_BYTES = 64 * 1024
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone"}


@dataclass(frozen=True)
class Request:
    """A whole request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the fields of the query."""
        return dict(parse_qsl(urlsplit(self.target).query))


async def async_read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers; None if the peer closed before."""
    first = await reader.readline()
    if not first.endswith(b"\n"):
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            return None
        text = line.decode("latin-1").strip()
        if not text:
            return first.decode("latin-1").strip(), headers
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()


async def async_read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection; None at its end."""
    head = await async_read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    body = b""
    if "content-length" in head[1]:
        body = await reader.readexactly(int(head[1]["content-length"]))
    return Request(method, target, head[1], body)


def build_head(status: int, headers: Mapping[str, object]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def build_answer(status: int, body: bytes, headers: Mapping[str, object]) -> bytes:
    """Return a whole answer with a length."""
    return build_head(status, {**headers, "Content-Length": len(body)}) + body
