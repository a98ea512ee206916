"""Stand-in for a client: sends one request, and tells what came back."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from .http import async_read_head


@dataclass
class Outcome:
    """What a client saw; is_whole: the answer ended as its framing says."""

    request: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    error: str = ""
    began_at: float = 0.0
    ended_at: float = 0.0

    @property
    def event_ids(self) -> list[int]:
        """Return the ids of the events of a stream."""
        lines = self.body.split(b"\n")
        return [int(line[3:]) for line in lines if line.startswith(b"id:")]


async def async_request(
    address: tuple[str, int],
    request_id: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    patience: float,
) -> Outcome:
    """Send a request on its own connection; patience is its deadline in seconds."""
    outcome = Outcome(request_id, began_at=time.time())
    try:
        async with asyncio.timeout(patience):
            await _async_exchange(address, outcome, method, path, headers, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as err:
        outcome.error = repr(err)
    outcome.ended_at = time.time()
    return outcome


async def _async_exchange(
    address: tuple[str, int],
    outcome: Outcome,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> None:
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"X-Request-Id: {outcome.request}", f"Content-Length: {len(body)}"]
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        head = await async_read_head(reader)
        if head is None:
            raise ConnectionResetError("closed before an answer")
        outcome.status = int(head[0].split(" ")[1])
        outcome.headers = head[1]
        if head[1].get("transfer-encoding") == "chunked":
            await _async_read_chunks(reader, outcome)
        else:
            length = int(head[1].get("content-length", "0"))
            outcome.body = await reader.readexactly(length)
        outcome.is_whole = True
    finally:
        writer.transport.abort()


async def _async_read_chunks(reader: asyncio.StreamReader, outcome: Outcome) -> None:
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionResetError("cut within the answer")
        size = int(line, 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        outcome.body += data[:-2]
