"""Send non-idempotent calls whose keys this host owns, each at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import ExitStack
from typing import TYPE_CHECKING

from tarragonward_config import Operation, Target
from tarragonward_core import (
    ConnectionLostError,
    NotConnectedError,
    ResultCode,
    TargetError,
    log_event,
)
from tarragonward_requests import CallKey, CallLedger, RecordedAnswer, Reply, Send, Wait
from tarragonward_wire import async_send_http

from . import const as c
from .core import HostState

if TYPE_CHECKING:
    from .calls import ServiceCall

__all__ = ["OwnedCalls"]


class _NotSentError(Exception):
    """Abort before the first byte: the ledger no longer allows sending the call."""


class OwnedCalls:
    """Own the call ledger, and one task for each call that is being sent.

    The task is not bound to a caller's connection: if a caller that disconnects ended
    it, no host would know the outcome.
    """

    def __init__(
        self, host: HostState, get_targets: Callable[[str], list[Target]]
    ) -> None:
        self._host = host
        self._get_targets = get_targets
        self.ledger = CallLedger(host.settings.limits.key_retention_seconds)
        self._sending: dict[str, asyncio.Task[None]] = {}

    async def async_unload(self) -> None:
        """Cancel the calls that are still being sent."""
        tasks = list(self._sending.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def choose_mint_time(self) -> int:
        """Return the mint time for a new key prefix of this host."""
        return self.ledger.choose_mint_time(_now())

    def close(self) -> None:
        """Accept no new calls; still answer repeats."""
        self.ledger.close()

    async def async_run(self, call: ServiceCall, key: CallKey) -> Reply:
        """Run a call at most once, or wait for its earlier copy until the deadline."""
        decision = self.ledger.accept(
            key.text, call.compute_digest(), key.minted_at, _now(), call.deadline
        )
        match decision:
            case Reply():
                return decision
            case Send():
                self._start_sending(call, key.text)
            case Wait():
                self._host.metrics.count("calls_repeated_in_flight")
        sending = self._sending.get(key.text)
        if sending is not None:
            remaining = call.deadline - _now() - c.ANSWER_MARGIN_SECONDS
            await asyncio.wait({sending}, timeout=max(0.0, remaining))
        return self.ledger.read(key.text, _now())

    def _start_sending(self, call: ServiceCall, key: str) -> None:
        task = asyncio.create_task(self._async_send_once(call, key))
        self._sending[key] = task
        task.add_done_callback(lambda _: self._sending.pop(key, None))

    async def _async_send_once(self, call: ServiceCall, key: str) -> None:
        with ExitStack() as stack:
            # A drain waits for this call even if its caller has disconnected.
            self._host.enter_request()
            stack.callback(self._host.leave_request)
            try:
                reply = await self._async_try_targets(call, key)
            except Exception as err:
                log_event("call_failed", key=key, error=repr(err))
                reply = self.ledger.record_failure(key, _now())
            log_event(
                "call_ended",
                key=key,
                client_account=call.account,
                service=call.service,
                operation=call.operation,
                code=reply.code.number,
            )

    async def _async_try_targets(self, call: ServiceCall, key: str) -> Reply:
        operation = self._host.configuration.find_operation(
            call.service, call.operation
        )
        if operation is None:
            return self._record_not_run(key, ResultCode.UNKNOWN_SERVICE)
        code = ResultCode.CALL_NOT_RUN
        for target in self._get_targets(call.service):
            try:
                answer = await self._async_send(call, target, key)
            except _NotSentError:
                break
            except NotConnectedError:
                continue
            except TargetError as err:
                log_event(
                    "call_outcome_unknown",
                    key=key,
                    client_account=call.account,
                    target=target.name,
                    error=repr(err),
                )
                return self.ledger.record_unknown(key, _now())
            if not _is_refused(answer, operation):
                return self.ledger.record_answer(key, answer, _now())
            self.ledger.mark_refused(key)
            code = ResultCode.TARGET_REFUSED
        return self._record_not_run(key, code)

    def _record_not_run(self, key: str, code: ResultCode) -> Reply:
        # A repeat that read the record after the deadline may have ended it already.
        reply = self.ledger.read(key, _now())
        if reply.code is not ResultCode.IN_PROGRESS:
            return reply
        return self.ledger.record_not_run(key, code, _now())

    async def _async_send(
        self, call: ServiceCall, target: Target, key: str
    ) -> RecordedAnswer:
        def mark_sent() -> None:
            if not self.ledger.mark_sent(key, _now()):
                raise _NotSentError
            log_event(
                "call_sent", key=key, client_account=call.account, target=target.name
            )

        remaining = max(0.0, call.deadline - _now())
        try:
            answer = await async_send_http(
                target.address,
                "POST",
                f"/operations/{call.operation}",
                headers={"content-type": call.content_type, c.HEADER_CALL_KEY: key},
                body=call.body,
                # A call that was sent may be answered after the caller's deadline;
                # repeats then get that answer instead of "unknown".
                timeout=remaining + c.SENT_CALL_GRACE_SECONDS,
                connect_timeout=min(c.SERVICE_CONNECT_TIMEOUT_SECONDS, remaining),
                before_write=mark_sent,
                connect=self._host.get_connector(target),
            )
        except ConnectionLostError as err:
            if self.ledger.is_sent(key):
                raise
            raise NotConnectedError(str(err)) from err
        content_type = answer.headers.get("content-type", c.DEFAULT_CONTENT_TYPE)
        return RecordedAnswer(answer.status, content_type, answer.body)


def _is_refused(answer: RecordedAnswer, operation: Operation) -> bool:
    return answer.status in operation.not_run_statuses


def _now() -> float:
    return asyncio.get_running_loop().time()
