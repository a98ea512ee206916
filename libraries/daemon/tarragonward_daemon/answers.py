"""Write a model request's answer to its caller, streamed or in one piece."""

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
    """Write an answer that always ends with a finish reason or an error.

    target is the engine of the latest attempt, "" before the first; tokens is the
    number of tokens delivered so far.
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
        """Set the engine that produces the answer, for the logs."""
        self.target = target

    async def async_deliver(self, text: str, tokens: int) -> None:
        """Deliver text with its number of tokens to the caller."""
        self.tokens += tokens
        if not self._completion.is_streaming:
            self._parts.append(text)
            return
        self._start()
        await self._responder.async_send_chunk(self._writer.build_event(text))

    async def async_end(self, end: EndRequest) -> None:
        """Finish the answer with a finish reason, or with an error."""
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
