"""Admit callers' requests by route and key, and forward them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

from tarragonward_core import RequestRefusedError, ResultCode, log_event
from tarragonward_routes import Account, Route, RoutingTable
from tarragonward_wire import HttpHead, HttpRequest, Responder

from . import const as c
from .answers import async_send_refusal
from .clock import read_clock
from .context import ForwardContext
from .headers import parse_count
from .reservations import ReservationTask
from .run import ForwardedRequest
from .state import GatewayState
from .suspects import SuspectMonitor
from .targets import TargetChooser

__all__ = ["Forwarder"]

MILLISECONDS_PER_SECOND = 1_000

AnyHead = HttpHead | HttpRequest


class Forwarder:
    """Handle the callers' requests of one host."""

    def __init__(
        self,
        state: GatewayState,
        chooser: TargetChooser,
        reservations: ReservationTask,
    ) -> None:
        self._state = state
        self._reservations = reservations
        self._chooser = chooser
        self.suspects = SuspectMonitor(state, chooser.probes)
        self.in_flight = 0
        # Called with whether a request got the answer of a target.
        self.on_outcome: list[Callable[[bool], None]] = []

    def check_head(self, head: HttpHead) -> ForwardContext:
        """Return the route and account of a request, or the reason for refusing it.

        A refusal is sent only after the body has been read: an earlier answer would
        cost the caller its connection.
        """
        return self._check(head, asyncio.get_running_loop().time())

    def _check(self, head: AnyHead, received_at: float) -> ForwardContext:
        try:
            return self._admit(head, received_at)
        except RequestRefusedError as err:
            return ForwardContext(received_at=received_at, refusal=err)

    async def async_handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        if self._state.table is None and self._state.is_admitting:
            request = await self._async_wait_for_table(request)
        context: ForwardContext = request.context
        responder.request_id = request.headers.get(
            self._state.headers.request_id, request.request_id
        )
        if context.refusal is not None:
            self._log_refusal(responder.request_id, request, context.refusal)
            await async_send_refusal(
                responder, context.refusal.code, context.refusal.retry_after_seconds
            )
            return
        forwarded = ForwardedRequest(
            self._state,
            self._chooser,
            self._reservations,
            self.suspects,
            request,
            responder,
        )
        self.in_flight += 1
        try:
            await forwarded.async_run()
        finally:
            self.in_flight -= 1
            if forwarded.is_served is not None:
                for notify in self.on_outcome:
                    notify(forwarded.is_served)

    async def _async_wait_for_table(self, request: HttpRequest) -> HttpRequest:
        """Wait for the first routing table, and check the request against it.

        After a power loss on all hosts, callers reach hosts that are starting. For many
        of them a refusal would use up the last attempt, while the table arrives within
        tenths of a second.
        """
        state, received_at = self._state, request.context.received_at
        seconds_left = state.started_at + c.STARTUP_SECONDS - read_clock()
        limit = parse_count(request.headers.get(state.headers.deadline_ms, ""))
        if limit is not None:
            seconds_left = min(
                seconds_left, c.START_HOLD_SHARE * limit / MILLISECONDS_PER_SECOND
            )
        with suppress(TimeoutError):
            async with asyncio.timeout(min(seconds_left, c.START_HOLD_SECONDS)):
                await state.has_table.wait()
        return replace(request, context=self._check(request, received_at))

    def _log_refusal(
        self, request_id: str, request: HttpRequest, refusal: RequestRefusedError
    ) -> None:
        state = self._state
        state.metrics.count("requests", refusal.code.name)
        age = read_clock() - state.table_confirmed_at
        log_event(
            "request_ended",
            request_id=request_id,
            outcome=refusal.code.name,
            status=refusal.code.http_status,
            sends=0,
            host_header=request.headers.get("host"),
            path=request.path,
            table=state.table.version if state.table else None,
            table_age=age if age < float("inf") else None,
        )

    def _admit(self, head: AnyHead, now: float) -> ForwardContext:
        if not self._state.is_admitting:
            raise RequestRefusedError(
                ResultCode.DRAINING, retry_after_seconds=c.DRAINING_RETRY_SECONDS
            )
        table = self._state.table
        if table is None:
            raise RequestRefusedError(
                ResultCode.NOT_READY, retry_after_seconds=c.NOT_READY_RETRY_SECONDS
            )
        route = table.select_route(head.headers.get("host", ""), head.path)
        if route is None:
            raise self._build_denial(ResultCode.UNKNOWN_ROUTE)
        account = self._authenticate(table, route, head)
        deadline = now + self._get_time_limit(route, head)
        service = route.choose_service(self._state.random.random())
        return ForwardContext(now, None, route, account, service, deadline, table)

    def _authenticate(
        self, table: RoutingTable, route: Route, head: AnyHead
    ) -> Account | None:
        key = head.headers.get(self._state.headers.caller_key, "")
        account = table.find_account(key)
        if account is None and table.needs_key and not route.is_public:
            code = ResultCode.TOKEN_WRONG if key else ResultCode.TOKEN_MISSING
            raise self._build_denial(code)
        return account

    def _get_time_limit(self, route: Route, head: AnyHead) -> float:
        limit = parse_count(head.headers.get(self._state.headers.deadline_ms, ""))
        if limit is None:
            return route.timeout_seconds
        return min(limit / MILLISECONDS_PER_SECOND, route.timeout_seconds)

    def _build_denial(self, code: ResultCode) -> RequestRefusedError:
        # A host with an outdated table does not know new routes and keys. A 404 or 401
        # is final to callers, so it is sent only while the table is known to be fresh;
        # otherwise the caller is told to retry.
        age = read_clock() - self._state.table_confirmed_at
        if age <= c.MAX_FRESH_TABLE_AGE_SECONDS:
            return RequestRefusedError(code)
        return RequestRefusedError(
            ResultCode.NOT_READY, retry_after_seconds=c.ROUTE_UNSURE_RETRY_SECONDS
        )
