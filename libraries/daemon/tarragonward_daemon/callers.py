"""Serve the callers' routes."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any

from tarragonward_config import ClientAccount
from tarragonward_core import (
    RequestRefusedError,
    ResultCode,
    log_event,
    new_request_id,
)
from tarragonward_requests import EndRequest, Reply
from tarragonward_wire import HttpRequest, Responder, build_error_body

from . import const as c
from .calls import ServiceCall, ServiceCalls, judge_refusal
from .completions import Completion, CompletionWriter, parse_chat, parse_completion
from .core import HostState
from .models import ModelRequests

__all__ = ["CallerRoutes"]

EVENT_STREAM = {"content-type": "text/event-stream", "cache-control": "no-cache"}


@dataclass(frozen=True)
class _Context:
    request_id: str
    account: ClientAccount
    deadline: float
    headers: dict[str, str]


class CallerRoutes:
    """Check a caller's request, run it, and answer with a numbered result."""

    def __init__(
        self, host: HostState, models: ModelRequests, calls: ServiceCalls
    ) -> None:
        self._host = host
        self._models = models
        self._calls = calls

    async def async_handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        request_id = new_request_id()
        with ExitStack() as stack:
            self._host.enter_request()
            stack.callback(self._host.leave_request)
            try:
                await self._async_route(request_id, request, responder)
            except RequestRefusedError as refusal:
                err = judge_refusal(refusal, c.HEADER_CALL_KEY in request.headers)
                self._log_end(request_id, "", err.code)
                await responder.async_send_error(
                    err.code, err.detail, request_id, err.retry_after_seconds
                )

    async def _async_route(
        self, request_id: str, request: HttpRequest, responder: Responder
    ) -> None:
        account = self._host.authenticate(request.headers.get("authorization"))
        headers = {
            c.HEADER_REQUEST_ID: request_id,
            c.HEADER_KEY_PREFIX: self._calls.mint_prefix(),
        }
        context = _Context(
            request_id, account, self._compute_deadline(request), headers
        )
        match request.method, request.path:
            case "POST", c.ROUTE_COMPLETIONS:
                completion = parse_completion(request.body)
                await self._async_complete(context, completion, responder)
            case "POST", c.ROUTE_CHAT:
                completion = parse_chat(request.body)
                await self._async_complete(context, completion, responder)
            case "GET", c.ROUTE_MODELS:
                await responder.async_send_json(200, self._list_models(), headers)
            case (("GET" | "POST"), c.ROUTE_KEY_PREFIX):
                prefix = {"key_prefix": headers[c.HEADER_KEY_PREFIX]}
                await responder.async_send_json(200, prefix, headers)
            case "POST", path if path.startswith(c.ROUTE_SERVICES):
                await self._async_call(context, request, responder)
            case _, (c.ROUTE_COMPLETIONS | c.ROUTE_CHAT | c.ROUTE_MODELS):
                raise RequestRefusedError(ResultCode.METHOD_NOT_ALLOWED)
            case _:
                raise RequestRefusedError(ResultCode.UNKNOWN_ROUTE)

    def _compute_deadline(self, request: HttpRequest) -> float:
        limits = self._host.settings.limits
        text = request.headers.get(c.HEADER_TIME_LIMIT)
        try:
            seconds = limits.time_limit_seconds if text is None else float(text)
        except ValueError:
            detail = f"{c.HEADER_TIME_LIMIT} is not a number"
            raise RequestRefusedError(ResultCode.INVALID_REQUEST, detail) from None
        if not seconds > 0:
            raise RequestRefusedError(ResultCode.DEADLINE_IN_PAST)
        seconds = min(seconds, limits.max_time_limit_seconds)
        return asyncio.get_running_loop().time() + seconds

    def _list_models(self) -> dict[str, Any]:
        models = [
            {"id": name, "object": "model", "owned_by": "tarragonward", "created": 0}
            for name in self._host.configuration.models
        ]
        return {"object": "list", "data": models}

    async def _async_complete(
        self, context: _Context, completion: Completion, responder: Responder
    ) -> None:
        self._host.check_admitting()
        writer = CompletionWriter(completion, context.request_id)
        answer = _Answer(context, completion, writer, responder)
        end = await self._models.async_run(
            context.request_id, context.account, completion, context.deadline, answer
        )
        self._log_end(context.request_id, context.account.name, end.code)
        # A caller that reads nothing must not hold its request. Symptom: a drain that
        # waits for it. Running out of time here ends the caller's connection.
        async with asyncio.timeout(c.END_ANSWER_SECONDS):
            await answer.async_end(end)

    async def _async_call(
        self, context: _Context, request: HttpRequest, responder: Responder
    ) -> None:
        parts = request.path.removeprefix(c.ROUTE_SERVICES).split("/")
        if len(parts) != 2:
            raise RequestRefusedError(ResultCode.UNKNOWN_SERVICE)
        call = ServiceCall(
            account=context.account.name,
            service=parts[0],
            operation=parts[1],
            content_type=request.headers.get(
                "content-type", "application/octet-stream"
            ),
            body=request.body,
            deadline=context.deadline,
        )
        reply = await self._calls.async_run(
            call, request.headers.get(c.HEADER_CALL_KEY)
        )
        self._log_end(context.request_id, context.account.name, reply.code)
        await _async_send_reply(reply, context, responder)

    def _log_end(self, request_id: str, account: str, code: ResultCode) -> None:
        self._host.metrics.count("requests", str(code.number), account)
        log_event(
            "request_ended",
            request_id=request_id,
            client_account=account,
            code=code.number,
            name=code.name,
        )


async def _async_send_reply(
    reply: Reply, context: _Context, responder: Responder
) -> None:
    if reply.answer is None:
        await responder.async_send_error(
            reply.code,
            "",
            context.request_id,
            reply.retry_after_seconds,
            headers=context.headers,
        )
        return
    headers = {
        **context.headers,
        "content-type": reply.answer.content_type,
        c.HEADER_RESULT_CODE: str(reply.code.number),
    }
    await responder.async_send_bytes(reply.answer.status, reply.answer.body, headers)


class _Answer:
    """Write a model request's answer, streamed or whole."""

    def __init__(
        self,
        context: _Context,
        completion: Completion,
        writer: CompletionWriter,
        responder: Responder,
    ) -> None:
        self._context = context
        self._completion = completion
        self._writer = writer
        self._responder = responder
        self._parts: list[str] = []

    async def async_deliver(self, text: str) -> None:
        """Give text to the caller."""
        if not self._completion.is_streaming:
            self._parts.append(text)
            return
        await self._async_start()
        await self._responder.async_send_chunk(self._writer.build_event(text))

    async def async_end(self, end: EndRequest) -> None:
        """End the answer with its finish reason or with an error, never silently."""
        if end.code is not ResultCode.OK:
            await self._async_end_with_error(end)
        elif self._completion.is_streaming:
            await self._async_start()
            await self._responder.async_send_chunk(
                self._writer.build_end(end.finish_reason)
            )
            await self._responder.async_finish()
        else:
            text = "".join(self._parts)
            body = self._writer.build_whole(text, len(self._parts), end.finish_reason)
            await self._responder.async_send_json(200, body, self._context.headers)

    async def _async_start(self) -> None:
        if not self._responder.is_started:
            headers = {**EVENT_STREAM, **self._context.headers}
            await self._responder.async_start(200, headers)

    async def _async_end_with_error(self, end: EndRequest) -> None:
        request_id = self._context.request_id
        if not self._responder.is_started:
            await self._responder.async_send_error(
                end.code,
                "",
                request_id,
                end.retry_after_seconds,
                headers=self._context.headers,
            )
            return
        error = build_error_body(end.code, "", request_id)
        await self._responder.async_send_chunk(self._writer.build_error(error))
        await self._responder.async_finish()
