"""Read and write the usual completion shapes."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

import orjson
import voluptuous as vol

from tarragonward_core import RequestRefusedError, ResultCode, estimate_tokens

from .const import DEFAULT_MAX_TOKENS

__all__ = ["Completion", "CompletionWriter", "parse_chat", "parse_completion"]

MAX_ANSWER_TOKENS = 1_000_000
DONE_EVENT = b"data: [DONE]\n\n"

_COMMON = {
    vol.Required("model"): str,
    vol.Optional("max_tokens"): vol.All(int, vol.Range(min=1, max=MAX_ANSWER_TOKENS)),
    vol.Optional("stream"): bool,
    vol.Optional("priority"): vol.All(int, vol.Range(min=-100, max=100)),
    # What stock clients send besides changes nothing about where a prompt runs.
    vol.Extra: object,
}
COMPLETION_SCHEMA = vol.Schema({vol.Required("prompt"): str, **_COMMON})
CHAT_SCHEMA = vol.Schema(
    {
        vol.Required("messages"): vol.All(
            [
                vol.Schema(
                    {vol.Required("role"): str, vol.Required("content"): str},
                    extra=vol.ALLOW_EXTRA,
                )
            ],
            vol.Length(min=1),
        ),
        vol.Optional("max_completion_tokens"): vol.All(
            int, vol.Range(min=1, max=MAX_ANSWER_TOKENS)
        ),
        **_COMMON,
    }
)


@dataclass(frozen=True)
class Completion:
    """A model request as the caller wrote it, in one form for both routes."""

    model: str
    prompt: str = field(repr=False)
    prompt_tokens: int
    max_tokens: int
    is_streaming: bool
    is_chat: bool
    priority: int | None


def parse_completion(body: bytes) -> Completion:
    """Return the request in a body of /v1/completions; refuse what is not valid."""
    data = _parse(body, COMPLETION_SCHEMA)
    return _build(data, data["prompt"], is_chat=False)


def parse_chat(body: bytes) -> Completion:
    """Return the request in a body of /v1/chat/completions; refuse if not valid."""
    data = _parse(body, CHAT_SCHEMA)
    turns = [f"{turn['role']}: {turn['content']}\n" for turn in data["messages"]]
    return _build(data, "".join(turns) + "assistant:", is_chat=True)


def _parse(body: bytes, schema: vol.Schema) -> dict[str, Any]:
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as err:
        raise RequestRefusedError(ResultCode.MALFORMED_JSON, str(err)) from None
    try:
        return schema(data)
    except vol.Invalid as err:
        raise RequestRefusedError(ResultCode.INVALID_REQUEST, str(err)) from None


def _build(data: dict[str, Any], prompt: str, is_chat: bool) -> Completion:
    max_tokens = data.get("max_completion_tokens") or data.get("max_tokens")
    return Completion(
        model=data["model"],
        prompt=prompt,
        prompt_tokens=estimate_tokens(len(prompt.encode())),
        max_tokens=max_tokens or DEFAULT_MAX_TOKENS,
        is_streaming=data.get("stream", False),
        is_chat=is_chat,
        priority=data.get("priority"),
    )


class CompletionWriter:
    """Write one answer's JSON, whole or as server-sent events."""

    def __init__(self, completion: Completion, request_id: str) -> None:
        self._completion = completion
        self._is_chat = completion.is_chat
        prefix = "chatcmpl" if self._is_chat else "cmpl"
        self._base = {
            "id": f"{prefix}-{request_id}",
            "created": int(time.time()),
            "model": completion.model,
        }

    def build_event(self, text: str, finish_reason: str | None = None) -> bytes:
        """Return one server-sent event."""
        if self._is_chat:
            delta = {"role": "assistant", "content": text}
            choice: dict[str, Any] = {"index": 0, "delta": delta}
            kind = "chat.completion.chunk"
        else:
            choice = {"index": 0, "text": text, "logprobs": None}
            kind = "text_completion"
        choice["finish_reason"] = finish_reason
        event = {**self._base, "object": kind, "choices": [choice]}
        return b"data: " + orjson.dumps(event) + b"\n\n"

    def build_end(self, finish_reason: str) -> bytes:
        """Return the events that end a whole answer."""
        return self.build_event("", finish_reason) + DONE_EVENT

    def build_error(self, error: dict[str, Any]) -> bytes:
        """Return the event that ends an answer that is not whole."""
        return b"data: " + orjson.dumps(error) + b"\n\n"

    def build_whole(self, text: str, tokens: int, finish_reason: str) -> dict[str, Any]:
        """Return the JSON of an answer that was not streamed."""
        if self._is_chat:
            message = {"role": "assistant", "content": text}
            choice: dict[str, Any] = {"index": 0, "message": message}
            kind = "chat.completion"
        else:
            choice = {"index": 0, "text": text, "logprobs": None}
            kind = "text_completion"
        choice["finish_reason"] = finish_reason
        prompt_tokens = self._completion.prompt_tokens
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        }
        return {**self._base, "object": kind, "choices": [choice], "usage": usage}
