"""Send requests to a host as a client does, and classify the answers."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import Any

import orjson

from tarragonward_core import Address, ResultCode, TargetError
from tarragonward_wire import async_open_http, async_send_http

from .answers import expect_answer

__all__ = ["CallResult", "CompletionResult", "Outcome", "async_call", "async_complete"]

LATE_MARGIN_SECONDS = 1.0
RESULT_HEADER = "x-result-code"


class Outcome(Enum):
    """How a request ended from its client's point of view."""

    WHOLE = "whole"
    FAILED_IN_TIME = "failed_in_time"
    LATE = "late"
    WRONG = "wrong"


@dataclass(frozen=True)
class CompletionResult:
    """The result of a completion; ttft_seconds is None if no token was received."""

    outcome: Outcome
    code: int
    seconds: float
    ttft_seconds: float | None
    detail: str = ""
    retry_after_seconds: float = 0.0


@dataclass(frozen=True)
class CallResult:
    """The result of a service call; body is the target's answer, or empty."""

    code: int
    status: int
    body: bytes
    key_prefix: str = ""


async def async_complete(
    address: Address,
    token: str,
    model: str,
    prompt: str,
    max_tokens: int,
    time_limit: float,
) -> CompletionResult:
    """Stream a completion and compare it with the answer the engine must give."""
    reader = _StreamReader()
    loop = asyncio.get_running_loop()
    started = loop.time()
    detail = ""
    try:
        async with asyncio.timeout(time_limit + LATE_MARGIN_SECONDS):
            await _async_read_completion(
                reader, address, token, model, prompt, max_tokens, time_limit
            )
    except (TargetError, TimeoutError, OSError) as err:
        detail = repr(err)
    seconds = loop.time() - started
    ttft = None if reader.first_token_at is None else reader.first_token_at - started
    outcome = _classify(reader, prompt, max_tokens, seconds, time_limit)
    return CompletionResult(
        outcome, reader.code, seconds, ttft, detail, reader.retry_after_seconds
    )


def _classify(
    reader: _StreamReader,
    prompt: str,
    max_tokens: int,
    seconds: float,
    time_limit: float,
) -> Outcome:
    expected = expect_answer(prompt, max_tokens)
    text = "".join(reader.parts)
    if seconds > time_limit + LATE_MARGIN_SECONDS / 2:
        return Outcome.LATE
    if reader.finish_reason is not None:
        is_whole = (text, reader.finish_reason) == (
            expected.text,
            expected.finish_reason,
        )
        return Outcome.WHOLE if is_whole else Outcome.WRONG
    # A partial answer that ends with an error or a lost connection is a failure, not a
    # wrong answer, as long as it is a prefix of the expected one.
    return Outcome.FAILED_IN_TIME if expected.text.startswith(text) else Outcome.WRONG


class _StreamReader:
    """Collects the server-sent events of one answer."""

    def __init__(self) -> None:
        self.parts: list[str] = []
        self.finish_reason: str | None = None
        self.code = 0
        self.retry_after_seconds = 0.0
        self.first_token_at: float | None = None

    def feed(self, line: bytes) -> None:
        """Process one line of the stream."""
        if not line.startswith(b"data: ") or line == b"data: [DONE]":
            return
        event = orjson.loads(line.removeprefix(b"data: "))
        if "error" in event:
            self.record_error(event["error"])
            return
        choice = event["choices"][0]
        if choice["text"]:
            if self.first_token_at is None:
                self.first_token_at = asyncio.get_running_loop().time()
            self.parts.append(choice["text"])
        if choice["finish_reason"] is not None:
            self.finish_reason = choice["finish_reason"]

    def record_error(self, error: dict[str, Any]) -> None:
        """Record the error that ended the answer."""
        self.code = error["code"]
        self.retry_after_seconds = error["retry_after_seconds"] or 0.0


async def _async_read_completion(
    reader: _StreamReader,
    address: Address,
    token: str,
    model: str,
    prompt: str,
    max_tokens: int,
    time_limit: float,
) -> None:
    body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
    headers = {
        "authorization": f"Bearer {token}",
        "x-time-limit-seconds": str(time_limit),
    }
    async with async_open_http(
        address, "POST", "/v1/completions", headers=headers, body=orjson.dumps(body)
    ) as stream:
        if stream.status != 200:
            error: Any = orjson.loads(await stream.async_read_body())
            reader.record_error(error["error"])
            return
        async for line in stream.async_iterate_lines():
            reader.feed(line)


async def async_get_key_prefix(address: Address, token: str) -> str:
    """Fetch the call-key prefix of a host; raise TargetError on failure."""
    answer = await async_send_http(
        address,
        "GET",
        "/v1/key-prefix",
        headers={"authorization": f"Bearer {token}"},
        timeout=5.0,
    )
    if answer.status != 200:
        raise TargetError(f"no key prefix: {answer.status}")
    return answer.parse_json()["key_prefix"]


async def async_call(
    address: Address,
    token: str,
    operation: str,
    body: bytes,
    key: str | None,
    time_limit: float = 5.0,
    service: str = "approvals",
) -> CallResult:
    """Send one service call; raise TargetError if there is no answer."""
    headers = {
        "authorization": f"Bearer {token}",
        "x-time-limit-seconds": str(time_limit),
    }
    if key is not None:
        headers["x-call-key"] = key
    answer = await async_send_http(
        address,
        "POST",
        f"/v1/services/{service}/{operation}",
        headers=headers,
        body=body,
        timeout=time_limit + LATE_MARGIN_SECONDS,
    )
    code = int(answer.headers.get(RESULT_HEADER, ResultCode.INTERNAL_ERROR.number))
    return CallResult(
        code, answer.status, answer.body, answer.headers.get("x-key-prefix", "")
    )


def compute_body_hash(body: bytes) -> str:
    """Return the hash of a body that the service stand-in reports."""
    return hashlib.sha256(body).hexdigest()
