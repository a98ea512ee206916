"""Serve the HTTP routes of callers."""

from __future__ import annotations

import asyncio
import math
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any

from tarragonward_config import ClientAccount
from tarragonward_core import RequestRefusedError, ResultCode, log_event
from tarragonward_requests import Reply
from tarragonward_wire import HttpHead, HttpRequest, Responder

from . import const as c
from .answers import CompletionAnswer
from .calls import ServiceCall, ServiceCalls, translate_refusal
from .completions import Completion, fit_to_context, parse_chat, parse_completion
from .core import HostState
from .models import ModelRequests

__all__ = ["CallerContext", "CallerRoutes"]

METHODS = {
    c.ROUTE_CHAT: ("POST",),
    c.ROUTE_COMPLETIONS: ("POST",),
    c.ROUTE_KEY_PREFIX: ("GET", "POST"),
    c.ROUTE_MODELS: ("GET",),
}
METHODS_BY_PREFIX = {f"{c.ROUTE_MODELS}/": ("GET",), c.ROUTE_SERVICES: ("POST",)}
PARSERS = {c.ROUTE_CHAT: parse_chat, c.ROUTE_COMPLETIONS: parse_completion}


@dataclass(frozen=True)
class CallerContext:
    """What the head of a request specifies; times are event loop time, in seconds."""

    request_id: str
    account: ClientAccount
    started_at: float
    deadline: float
    headers: dict[str, str]


class CallerRoutes:
    """Check a caller's request, run it, and answer with a result code."""

    def __init__(
        self, host: HostState, models: ModelRequests, calls: ServiceCalls
    ) -> None:
        self._host = host
        self._models = models
        self._calls = calls

    def check_head(self, head: HttpHead) -> CallerContext:
        """Refuse an invalid request by its head, before its body is buffered."""
        account = self._host.authenticate(head.headers.get("authorization"))
        _check_route(head)
        if head.path in PARSERS:
            self._host.check_admitting()
        now = asyncio.get_running_loop().time()
        headers = {
            c.HEADER_REQUEST_ID: head.request_id,
            c.HEADER_KEY_PREFIX: self._calls.mint_prefix(),
        }
        deadline = now + self._read_time_limit(head)
        return CallerContext(head.request_id, account, now, deadline, headers)

    def translate_refusal(
        self, head: HttpHead, error: RequestRefusedError
    ) -> RequestRefusedError:
        """Return the refusal to send if the body of a request was not read."""
        return translate_refusal(error, c.HEADER_CALL_KEY in head.headers)

    def log_refused(self, request_id: str, code: ResultCode) -> None:
        """Log and count a request that was refused before it was routed."""
        self._log_end(request_id, "", code)

    async def async_handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one request."""
        context: CallerContext = request.context
        responder.write_deadline = context.deadline
        with ExitStack() as stack:
            self._host.enter_request()
            stack.callback(self._host.leave_request)
            try:
                await self._async_route(context, request, responder)
            except RequestRefusedError as refusal:
                err = translate_refusal(refusal, c.HEADER_CALL_KEY in request.headers)
                self._log_context_end(context, err.code)
                await responder.async_send_error(
                    err.code,
                    err.detail,
                    retry_after_seconds=err.retry_after_seconds,
                    headers=context.headers,
                )
            except (OSError, TimeoutError, asyncio.CancelledError):
                self._log_context_end(context, ResultCode.CALLER_LEFT)
                raise

    async def _async_route(
        self, context: CallerContext, request: HttpRequest, responder: Responder
    ) -> None:
        if request.path in PARSERS:
            completion = PARSERS[request.path](request.body)
            await self._async_complete(context, completion, responder)
        elif request.path.startswith(c.ROUTE_SERVICES):
            await self._async_call(context, request, responder)
        elif request.path == c.ROUTE_KEY_PREFIX:
            prefix = {"key_prefix": context.headers[c.HEADER_KEY_PREFIX]}
            await responder.async_send_json(200, prefix, context.headers)
        else:
            models = self._build_models(request.path)
            await responder.async_send_json(200, models, context.headers)

    def _read_time_limit(self, head: HttpHead) -> float:
        """Return the caller's time limit in seconds, at most the configured maximum."""
        limits = self._host.settings.limits
        value = head.headers.get(c.HEADER_TIME_LIMIT)
        if value is None:
            return limits.time_limit_seconds
        try:
            seconds = float(value)
        except ValueError:
            seconds = math.nan
        if not math.isfinite(seconds):
            detail = f"{c.HEADER_TIME_LIMIT}: expected a number of seconds"
            raise RequestRefusedError(ResultCode.INVALID_REQUEST, detail)
        if seconds <= 0:
            raise RequestRefusedError(ResultCode.DEADLINE_IN_PAST)
        return min(seconds, limits.max_time_limit_seconds)

    def _build_models(self, path: str) -> dict[str, Any]:
        models = {
            name: {"id": name, "object": "model", "owned_by": "operators", "created": 0}
            for name in self._host.configuration.models
        }
        if path == c.ROUTE_MODELS:
            return {"object": "list", "data": list(models.values())}
        name = path.removeprefix(f"{c.ROUTE_MODELS}/")
        if name not in models:
            raise RequestRefusedError(ResultCode.UNKNOWN_MODEL)
        return models[name]

    async def _async_complete(
        self, context: CallerContext, completion: Completion, responder: Responder
    ) -> None:
        self._host.check_admitting()
        model = self._host.configuration.models.get(completion.model)
        if model is None:
            raise RequestRefusedError(ResultCode.UNKNOWN_MODEL)
        completion = fit_to_context(completion, model.context_tokens)
        answer = CompletionAnswer(
            completion, context.request_id, context.headers, responder
        )
        end = await self._models.async_run(
            context.request_id, context.account, completion, context.deadline, answer
        )
        # Without a timeout, a caller that stops reading would keep its request in
        # progress and block a drain. The timeout closes the caller's connection.
        async with asyncio.timeout(c.END_ANSWER_TIMEOUT_SECONDS):
            await answer.async_end(end)
        self._log_context_end(
            context,
            end.code,
            target=answer.target or None,
            prompt_tokens=completion.prompt_tokens,
            completion_tokens=answer.tokens,
        )

    async def _async_call(
        self, context: CallerContext, request: HttpRequest, responder: Responder
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
        await _async_send_reply(reply, context, responder)
        self._log_context_end(
            context, reply.code, service=call.service, operation=call.operation
        )

    def _log_context_end(
        self, context: CallerContext, code: ResultCode, **fields: Any
    ) -> None:
        seconds = asyncio.get_running_loop().time() - context.started_at
        account = context.account.name
        self._host.metrics.observe("request_duration", seconds, account)
        self._log_end(
            context.request_id, account, code, duration_seconds=seconds, **fields
        )

    def _log_end(
        self, request_id: str, account: str, code: ResultCode, **fields: Any
    ) -> None:
        self._host.metrics.count("requests", str(code.number), account)
        log_event(
            "request_ended",
            request_id=request_id,
            client_account=account or None,
            code=code.number,
            name=code.name,
            **fields,
        )


def _check_route(head: HttpHead) -> None:
    methods = METHODS.get(head.path)
    for prefix, prefix_methods in METHODS_BY_PREFIX.items():
        if head.path.startswith(prefix):
            methods = prefix_methods
    if methods is None:
        raise RequestRefusedError(ResultCode.UNKNOWN_ROUTE)
    if head.method not in methods:
        detail = f"The route takes {' and '.join(methods)}."
        raise RequestRefusedError(ResultCode.METHOD_NOT_ALLOWED, detail)


async def _async_send_reply(
    reply: Reply, context: CallerContext, responder: Responder
) -> None:
    if reply.answer is None:
        await responder.async_send_error(
            reply.code,
            retry_after_seconds=reply.retry_after_seconds,
            headers=context.headers,
        )
        return
    headers = {
        **context.headers,
        "content-type": reply.answer.content_type,
        c.HEADER_RESULT_CODE: str(reply.code.number),
    }
    await responder.async_send_bytes(reply.answer.status, reply.answer.body, headers)
