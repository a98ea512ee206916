"""Parse completion requests and write answers in the OpenAI format."""

from __future__ import annotations

import time
from dataclasses import dataclass, field, replace
from typing import Any

import orjson
import voluptuous as vol

from tarragonward_core import RequestRefusedError, ResultCode, estimate_tokens

from .const import DEFAULT_MAX_TOKENS

__all__ = [
    "Completion",
    "CompletionWriter",
    "fit_to_context",
    "parse_chat",
    "parse_completion",
]

MAX_ANSWER_TOKENS = 1_000_000
MAX_MESSAGES = 4_096
MAX_PRIORITY = 100
DONE_EVENT = b"data: [DONE]\n\n"
SAMPLING_FIELDS = (
    "frequency_penalty",
    "presence_penalty",
    "seed",
    "temperature",
    "top_p",
)


@dataclass(frozen=True)
class Completion:
    """A model request, in the same form for both completion routes.

    max_tokens is a default if is_max_tokens_given is False; sampling holds the fields
    that are passed to the engine unchanged.
    """

    model: str
    prompt: str = field(repr=False)
    prompt_tokens: int
    max_tokens: int
    is_streaming: bool
    is_chat: bool
    priority: int | None
    is_max_tokens_given: bool = True
    includes_usage: bool = False
    sampling: dict[str, Any] = field(default_factory=dict)


def _integer(minimum: int, maximum: int) -> Any:
    def check(value: Any) -> int | None:
        if value is None:
            return None
        if type(value) is not int or not minimum <= value <= maximum:
            raise vol.Invalid(f"expected a whole number from {minimum} to {maximum}")
        return value

    return check


def _one_string(value: Any) -> str:
    if not isinstance(value, str):
        raise vol.Invalid("expected one string; lists and token ids are not supported")
    return value


def _text_content(value: Any) -> str:
    if isinstance(value, str):
        return value
    parts = value if isinstance(value, list) else [None]
    texts = [p.get("text") for p in parts if isinstance(p, dict)]
    if len(texts) != len(parts) or not all(isinstance(t, str) for t in texts):
        raise vol.Invalid("expected a string or a list of text parts")
    return "".join(texts)


def _limit_messages(value: Any) -> list[Any]:
    # Validating a message takes some microseconds. Without a bound, a body of 16 MB
    # of empty messages blocks all streams of the host for seconds.
    if not isinstance(value, list) or not 1 <= len(value) <= MAX_MESSAGES:
        raise vol.Invalid(f"expected a list of 1 to {MAX_MESSAGES} messages")
    return value


def _unsupported(*allowed: Any) -> Any:
    # A field that changes the answer must not be ignored: the caller would get an
    # answer to a request other than its own.
    def check(value: Any) -> Any:
        if value not in (None, *allowed):
            raise vol.Invalid(f"not supported; expected one of {[None, *allowed]}")
        return value

    return check


_STREAM_OPTIONS = vol.Any(
    None,
    vol.Schema({vol.Optional("include_usage"): bool}, extra=vol.ALLOW_EXTRA),
)
_COMMON = {
    vol.Required("model"): str,
    vol.Optional("max_tokens"): _integer(1, MAX_ANSWER_TOKENS),
    vol.Optional("stream"): vol.Any(None, bool),
    vol.Optional("stream_options"): _STREAM_OPTIONS,
    vol.Optional("priority"): _integer(-MAX_PRIORITY, MAX_PRIORITY),
    vol.Optional("n"): _unsupported(1),
    vol.Optional("stop"): _unsupported([]),
    vol.Optional("logit_bias"): _unsupported({}),
    # Other fields that common clients send do not change the text of the answer.
    vol.Extra: object,
}
COMPLETION_SCHEMA = vol.Schema(
    {
        vol.Required("prompt"): _one_string,
        vol.Optional("best_of"): _unsupported(1),
        vol.Optional("echo"): _unsupported(False),
        vol.Optional("logprobs"): _unsupported(),
        vol.Optional("suffix"): _unsupported(""),
        **_COMMON,
    }
)
CHAT_SCHEMA = vol.Schema(
    {
        vol.Required("messages"): vol.All(
            _limit_messages,
            [
                vol.Schema(
                    {vol.Required("role"): str, vol.Required("content"): _text_content},
                    extra=vol.ALLOW_EXTRA,
                )
            ],
        ),
        vol.Optional("max_completion_tokens"): _integer(1, MAX_ANSWER_TOKENS),
        vol.Optional("functions"): _unsupported([]),
        vol.Optional("logprobs"): _unsupported(False),
        vol.Optional("modalities"): _unsupported(["text"]),
        vol.Optional("response_format"): _unsupported({"type": "text"}),
        vol.Optional("tools"): _unsupported([]),
        **_COMMON,
    }
)


def parse_completion(body: bytes) -> Completion:
    """Parse a body of /v1/completions; raise RequestRefusedError if it is invalid."""
    data = _parse(body, COMPLETION_SCHEMA)
    return _build(data, data["prompt"], is_chat=False)


def parse_chat(body: bytes) -> Completion:
    """Parse a body of /v1/chat/completions; raise RequestRefusedError if invalid."""
    data = _parse(body, CHAT_SCHEMA)
    lines = [
        f"{message['role']}: {message['content']}\n" for message in data["messages"]
    ]
    return _build(data, "".join(lines) + "assistant:", is_chat=True)


def fit_to_context(completion: Completion, context_tokens: int) -> Completion:
    """Limit the answer to the context; refuse a prompt that is too long.

    Prompt and answer share context_tokens. A max_tokens given by the caller is never
    reduced, as the caller would get a shorter answer than it requested.
    """
    available_tokens = context_tokens - completion.prompt_tokens
    min_answer_tokens = completion.max_tokens if completion.is_max_tokens_given else 1
    if available_tokens < min_answer_tokens:
        raise RequestRefusedError(
            ResultCode.PROMPT_TOO_LONG,
            f"The prompt of {completion.prompt_tokens} tokens and an answer of"
            f" {min_answer_tokens} are over the model's {context_tokens}.",
        )
    return replace(completion, max_tokens=min(completion.max_tokens, available_tokens))


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
        is_streaming=bool(data.get("stream")),
        is_chat=is_chat,
        priority=data.get("priority"),
        is_max_tokens_given=max_tokens is not None,
        includes_usage=bool((data.get("stream_options") or {}).get("include_usage")),
        sampling={
            name: data[name] for name in SAMPLING_FIELDS if data.get(name) is not None
        },
    )


class CompletionWriter:
    """Write one answer as a JSON document or as server-sent events."""

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
        else:
            choice = {"index": 0, "text": text, "logprobs": None}
        choice["finish_reason"] = finish_reason
        return self._build_event([choice])

    def build_end(self, finish_reason: str, tokens: int) -> bytes:
        """Return the events that end a complete answer with this number of tokens."""
        usage = b""
        if self._completion.includes_usage:
            usage = self._build_event([], usage=self._build_usage(tokens))
        return self.build_event("", finish_reason) + usage + DONE_EVENT

    def build_error(self, error: dict[str, Any]) -> bytes:
        """Return the event that ends an incomplete answer."""
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
        usage = self._build_usage(tokens)
        return {**self._base, "object": kind, "choices": [choice], "usage": usage}

    def _build_event(self, choices: list[dict[str, Any]], **fields: Any) -> bytes:
        kind = "chat.completion.chunk" if self._is_chat else "text_completion"
        event = {**self._base, "object": kind, "choices": choices, **fields}
        return b"data: " + orjson.dumps(event) + b"\n\n"

    def _build_usage(self, tokens: int) -> dict[str, int]:
        prompt_tokens = self._completion.prompt_tokens
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        }
