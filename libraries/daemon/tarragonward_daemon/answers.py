"""Write a model request's answer to its caller, streamed or whole."""

from __future__ import annotations

from tarragonward_core import ResultCode
from tarragonward_requests import EndRequest
from tarragonward_wire import Responder, build_error_body

from .completions import Completion, CompletionWriter

__all__ = ["CompletionAnswer"]

EVENT_STREAM_HEADERS = {
    "content-type": "text/event-stream",
    "cache-control": "no-cache",
}


class CompletionAnswer:
    """The answer so far; it ends with its finish reason or an error, never silently.

    target is the engine that gave the last text, "" before the first attempt; tokens
    counts what was given out.
    """

    def __init__(
        self,
        completion: Completion,
        request_id: str,
        headers: dict[str, str],
        responder: Responder,
    ) -> None:
        self._completion = completion
        self._writer = CompletionWriter(completion, request_id)
        self._request_id = request_id
        self._headers = headers
        self._responder = responder
        self._parts: list[str] = []
        self.target = ""
        self.tokens = 0

    def set_target(self, target: str) -> None:
        """Note which engine the answer comes from, for the logs."""
        self.target = target

    async def async_deliver(self, text: str, tokens: int) -> None:
        """Give text of so many tokens to the caller."""
        self.tokens += tokens
        if not self._completion.is_streaming:
            self._parts.append(text)
            return
        self._start()
        await self._responder.async_send_chunk(self._writer.build_event(text))

    async def async_end(self, end: EndRequest) -> None:
        """End the answer."""
        if end.code is not ResultCode.OK:
            await self._async_end_with_error(end)
        elif self._completion.is_streaming:
            self._start()
            events = self._writer.build_end(end.finish_reason, self.tokens)
            await self._responder.async_finish(events)
        else:
            text = "".join(self._parts)
            body = self._writer.build_whole(text, self.tokens, end.finish_reason)
            await self._responder.async_send_json(200, body, self._headers)

    def _start(self) -> None:
        if not self._responder.is_started:
            self._responder.start(200, {**EVENT_STREAM_HEADERS, **self._headers})

    async def _async_end_with_error(self, end: EndRequest) -> None:
        if not self._responder.is_started:
            await self._responder.async_send_error(
                end.code,
                retry_after_seconds=end.retry_after_seconds,
                headers=self._headers,
            )
            return
        error = build_error_body(
            end.code,
            request_id=self._request_id,
            retry_after_seconds=end.retry_after_seconds,
        )
        await self._responder.async_finish(self._writer.build_error(error))
