"""Run calls to plain services: once at most where they may not be repeated."""

from __future__ import annotations

import asyncio
import hashlib
import time
from dataclasses import dataclass, field

from tarragonward_config import Operation, Target
from tarragonward_core import (
    ConnectionLostError,
    NotConnectedError,
    RequestRefusedError,
    ResultCode,
    log_event,
)
from tarragonward_requests import (
    CallKey,
    CallLedger,
    RecordedAnswer,
    Reply,
    mint_key_prefix,
    parse_key,
)
from tarragonward_wire import PeerLinks, async_send_http, register_message

from . import const as c
from .core import HostState
from .membership import MembershipTask

__all__ = ["CallAnswer", "ForwardCall", "ServiceCall", "ServiceCalls"]

DIGEST_SEPARATOR = b"\0"


@dataclass(frozen=True)
class ServiceCall:
    """A call as it came; deadline is in this process's loop time."""

    account: str
    service: str
    operation: str
    content_type: str
    body: bytes = field(repr=False)
    deadline: float = 0.0

    def compute_digest(self) -> bytes:
        """Return what tells this call from another one under the same key."""
        head = f"{self.account}\0{self.service}\0{self.operation}".encode()
        return hashlib.sha256(head + DIGEST_SEPARATOR + self.body).digest()


@register_message
@dataclass(frozen=True)
class ForwardCall:
    """A call on its way to its key's owner; remaining_seconds, not a clock, travels."""

    key: str
    account: str
    service: str
    operation: str
    content_type: str
    body: bytes
    remaining_seconds: float


@register_message
@dataclass(frozen=True)
class CallAnswer:
    """The owner's answer; status 0 means that there is no answer of the target."""

    code: int
    status: int
    content_type: str
    body: bytes


class ServiceCalls:
    """Run idempotent calls, and own the ledger of those that are not."""

    def __init__(
        self, host: HostState, links: PeerLinks, membership: MembershipTask
    ) -> None:
        self._host = host
        self._links = links
        self._membership = membership
        self._secret = host.settings.peer_key
        self.ledger = CallLedger(host.settings.limits.key_retention_seconds)

    def mint_prefix(self) -> str:
        """Return a key prefix that names this host and incarnation as owner."""
        return mint_key_prefix(self._host.identity, int(time.time()), self._secret)

    async def async_run(self, call: ServiceCall, key_text: str | None) -> Reply:
        """Run a call that a caller sent to this host."""
        operation = self._find_operation(call)
        if operation.is_idempotent:
            return await self._async_run_idempotent(call, operation)
        if key_text is None:
            raise RequestRefusedError(ResultCode.KEY_MISSING)
        key = parse_key(key_text, self._secret)
        if key.owner == self._host.identity:
            return await self.async_run_owned(call, key)
        return await self._async_forward(call, key)

    async def async_handle_forwarded(self, message: ForwardCall) -> CallAnswer:
        """Run a call that another host forwarded to this one as its key's owner."""
        now = asyncio.get_running_loop().time()
        call = ServiceCall(
            message.account,
            message.service,
            message.operation,
            message.content_type,
            message.body,
            now + message.remaining_seconds,
        )
        try:
            key = parse_key(message.key, self._secret)
            if key.owner != self._host.identity:
                reply = Reply(ResultCode.OUTCOME_UNKNOWN)
            else:
                reply = await self.async_run_owned(call, key)
        except RequestRefusedError as err:
            reply = Reply(err.code)
        answer = reply.answer or RecordedAnswer(0, "", b"")
        return CallAnswer(
            reply.code.number, answer.status, answer.content_type, answer.body
        )

    async def async_run_owned(self, call: ServiceCall, key: CallKey) -> Reply:
        """Run a call under a key that this incarnation owns, at most once."""
        operation = self._find_operation(call)
        decision = self.ledger.accept(
            key.text, call.compute_digest(), key.minted_at, time.time()
        )
        if isinstance(decision, Reply):
            return decision
        return await self._async_send_once(call, key, operation)

    async def _async_send_once(
        self, call: ServiceCall, key: CallKey, operation: Operation
    ) -> Reply:
        for target in self._get_targets(call.service):
            remaining = call.deadline - asyncio.get_running_loop().time()
            # A paused owner wakes after the caller was told "unknown" or given up on.
            # Symptom: a booking appears long after its time limit. No await stands
            # between this check, the write of "sent" and the connection's start.
            if remaining <= 0 or not self.ledger.mark_sent(key.text):
                break
            try:
                answer = await self._async_send(call, target, remaining, key.text)
            except NotConnectedError:
                self.ledger.mark_unsent(key.text)
                continue
            except ConnectionLostError as err:
                log_event("call_outcome_unknown", key=key.text, error=repr(err))
                return self.ledger.record_unknown(key.text)
            if answer.status in operation.not_run_statuses:
                return self.ledger.record_not_run(key.text, ResultCode.TARGET_REFUSED)
            return self.ledger.record_answer(key.text, answer)
        return self.ledger.record_not_run(key.text, ResultCode.CALL_NOT_RUN)

    async def _async_run_idempotent(
        self, call: ServiceCall, operation: Operation
    ) -> Reply:
        for target in self._get_targets(call.service):
            remaining = call.deadline - asyncio.get_running_loop().time()
            if remaining <= 0:
                return Reply(ResultCode.DEADLINE_EXCEEDED)
            try:
                answer = await self._async_send(call, target, remaining, "")
            except (NotConnectedError, ConnectionLostError):
                continue
            if answer.status not in operation.not_run_statuses:
                return Reply(ResultCode.OK, answer)
        return Reply(ResultCode.NO_TARGET)

    async def _async_forward(self, call: ServiceCall, key: CallKey) -> Reply:
        remaining = call.deadline - asyncio.get_running_loop().time()
        message = ForwardCall(
            key.text,
            call.account,
            call.service,
            call.operation,
            call.content_type,
            call.body,
            max(0.0, remaining - c.FORWARD_MARGIN_SECONDS),
        )
        try:
            answer = await self._links.async_ask(
                key.owner.address, message, remaining, key.owner.incarnation
            )
        except (NotConnectedError, ConnectionLostError) as err:
            # An earlier copy of the call may have reached the owner through another
            # host, so not even a failed connection here proves that it did not run.
            log_event("owner_out_of_reach", owner=key.owner, error=repr(err))
            return Reply(ResultCode.OUTCOME_UNKNOWN)
        recorded = None
        if answer.status:
            recorded = RecordedAnswer(answer.status, answer.content_type, answer.body)
        return Reply(ResultCode.from_number(answer.code), recorded)

    async def _async_send(
        self, call: ServiceCall, target: Target, remaining: float, key: str
    ) -> RecordedAnswer:
        answer = await async_send_http(
            target.address,
            "POST",
            f"/operations/{call.operation}",
            headers={"content-type": call.content_type, c.HEADER_CALL_KEY: key},
            body=call.body,
            timeout=remaining,
            connect_timeout=c.SERVICE_CONNECT_SECONDS,
        )
        content_type = answer.headers.get("content-type", "application/octet-stream")
        return RecordedAnswer(answer.status, content_type, answer.body)

    def _find_operation(self, call: ServiceCall) -> Operation:
        service = self._host.configuration.services.get(call.service)
        if service is None or call.operation not in service.operations:
            raise RequestRefusedError(ResultCode.UNKNOWN_SERVICE)
        return service.operations[call.operation]

    def _get_targets(self, service: str) -> list[Target]:
        """Return the service's targets, those of this failure domain first."""
        domain = self._host.settings.failure_domain
        leaving = self._membership.leaving_targets
        targets = [
            target
            for target in self._host.configuration.get_service_targets(service)
            if target.name not in leaving
        ]
        return sorted(targets, key=lambda target: target.failure_domain != domain)
