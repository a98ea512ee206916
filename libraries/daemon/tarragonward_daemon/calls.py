"""Run calls to plain services; non-idempotent calls run at most once."""

from __future__ import annotations

import asyncio
import hashlib
import random
from dataclasses import dataclass, field

from tarragonward_config import Operation, Target
from tarragonward_core import (
    ConnectionLostError,
    NotConnectedError,
    RequestRefusedError,
    ResultCode,
    TargetError,
    log_event,
)
from tarragonward_requests import (
    CallKey,
    RecordedAnswer,
    Reply,
    mint_key_prefix,
    parse_key,
)
from tarragonward_wire import (
    Connector,
    PeerLinks,
    async_accepts_connections,
    async_send_http,
    register_message,
)

from . import const as c
from .core import HostState
from .membership import MembershipTask
from .owned_calls import OwnedCalls

__all__ = [
    "CallAnswer",
    "ForwardCall",
    "ServiceCall",
    "ServiceCalls",
    "translate_refusal",
]

DIGEST_SEPARATOR = b"\0"
# Codes that a host returns before looking up a key, or without being its owner.
CODES_WITHOUT_KEY_LOOKUP = frozenset(
    {
        ResultCode.ACCOUNT_LIMIT,
        ResultCode.DRAINING,
        ResultCode.NOT_READY,
        ResultCode.OVERLOADED,
        ResultCode.SLOW_SENDER,
    }
)


@dataclass(frozen=True)
class ServiceCall:
    """A call as received; deadline is in this process's event loop time."""

    account: str
    service: str
    operation: str
    content_type: str
    body: bytes = field(repr=False)
    deadline: float = 0.0

    def compute_digest(self) -> bytes:
        """Return a digest that detects another call under the same key."""
        head = f"{self.account}\0{self.service}\0{self.operation}".encode()
        return hashlib.sha256(head + DIGEST_SEPARATOR + self.body).digest()


@register_message
@dataclass(frozen=True)
class ForwardCall:
    """A call forwarded to the owner of its key; deadline is in the owner's clock.

    The owner therefore detects a copy that the network delivers after its time limit,
    whatever the network delay was.
    """

    key: str
    account: str
    service: str
    operation: str
    content_type: str
    body: bytes
    deadline: float


@register_message
@dataclass(frozen=True)
class CallAnswer:
    """The owner's answer; status 0 means that the target gave no answer.

    retry_after_seconds is 0 if the owner gives no delay.
    """

    code: int
    status: int
    content_type: str
    body: bytes
    retry_after_seconds: float


class ServiceCalls:
    """Run idempotent calls on this host, and forward others to their key's owner."""

    def __init__(
        self, host: HostState, links: PeerLinks, membership: MembershipTask
    ) -> None:
        self._host = host
        self._links = links
        self._membership = membership
        self._secret = host.settings.peer_key
        self._owned = OwnedCalls(host, self.get_targets)

    async def async_setup(self) -> None:
        """Do nothing: calls start their own tasks."""

    async def async_unload(self) -> None:
        """Cancel the calls that are still being sent."""
        await self._owned.async_unload()

    def mint_prefix(self) -> str:
        """Return a key prefix with this host and incarnation as the owner."""
        minted_at = self._owned.choose_mint_time()
        return mint_key_prefix(self._host.identity, minted_at, self._secret)

    async def async_run(self, call: ServiceCall, key_text: str | None) -> Reply:
        """Run a call that this host received from a caller."""
        operation = self._host.configuration.find_operation(
            call.service, call.operation
        )
        if operation is not None and operation.is_idempotent:
            self._host.check_admitting()
            return await self._async_run_idempotent(call, operation)
        if key_text is None:
            code = ResultCode.KEY_MISSING if operation else ResultCode.UNKNOWN_SERVICE
            raise RequestRefusedError(code)
        # The limit is the same on every host. Otherwise a host could refuse a repeat as
        # "not run" after another host had forwarded the call and it had run.
        if len(call.body) > c.MAX_CALL_BODY_BYTES:
            raise RequestRefusedError(ResultCode.BODY_TOO_LARGE)
        key = parse_key(key_text, self._secret)
        if key.owner == self._host.identity:
            return await self._owned.async_run(call, key)
        return await self._async_forward(call, key)

    async def async_handle_forwarded(self, message: ForwardCall) -> CallAnswer:
        """Run a call that another host forwarded to this one as its key's owner."""
        call = ServiceCall(
            message.account,
            message.service,
            message.operation,
            message.content_type,
            message.body,
            message.deadline,
        )
        try:
            key = parse_key(message.key, self._secret)
            if key.owner != self._host.identity:
                reply = Reply(ResultCode.OUTCOME_UNKNOWN)
            else:
                reply = await self._owned.async_run(call, key)
        except RequestRefusedError as err:
            reply = Reply(err.code)
        return _build_answer(reply)

    async def _async_run_idempotent(
        self, call: ServiceCall, operation: Operation
    ) -> Reply:
        for target in self.get_targets(call.service):
            remaining = call.deadline - asyncio.get_running_loop().time()
            if remaining <= 0:
                return Reply(ResultCode.DEADLINE_EXCEEDED)
            try:
                connect = self._host.get_connector(target)
                answer = await _async_send(call, target, remaining, connect)
            except TargetError:
                continue
            if answer.status not in operation.not_run_statuses:
                return Reply(ResultCode.OK, answer)
        return Reply(ResultCode.NO_TARGET, retry_after_seconds=c.RETRY_AFTER_SECONDS)

    async def _async_forward(self, call: ServiceCall, key: CallKey) -> Reply:
        """Forward a call to its owner, which runs it once; retry if a link is lost."""
        for _ in range(c.FORWARD_ATTEMPTS):
            try:
                return await self._async_request_owner(call, key)
            except NotConnectedError as err:
                # A failed connection does not prove that the call did not run: an
                # earlier copy may have reached the owner through another host.
                log_event("owner_out_of_reach", owner=key.owner, error=repr(err))
                break
            except ConnectionLostError as err:
                log_event("owner_link_lost", owner=key.owner, error=repr(err))
            await asyncio.sleep(
                c.FORWARD_RETRY_DELAY_SECONDS * random.uniform(0.5, 1.5)
            )
        return _reply_unknown()

    async def _async_request_owner(self, call: ServiceCall, key: CallKey) -> Reply:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        deadline = call.deadline - c.FORWARD_MARGIN_SECONDS
        remaining = deadline - sent_at
        if remaining <= 0:
            return _reply_unknown()
        receipt = _Receipt()
        try:
            answer = await self._links.async_request_with_clock(
                key.owner.address,
                lambda offset: _build_forward(call, key, deadline + offset),
                remaining,
                key.owner.incarnation,
                on_receipt=receipt.confirm,
            )
        except ConnectionLostError:
            is_in_progress = loop.time() >= deadline and receipt.is_recent
            log_event(
                "owner_gave_no_answer",
                key=key.text,
                owner=key.owner,
                limit=remaining,
                seconds=loop.time() - sent_at,
                confirmed_age=receipt.age,
            )
            if is_in_progress:
                return _reply_in_progress()
            raise
        return _read_answer(answer)

    def get_targets(self, service: str) -> list[Target]:
        """Return the service's targets, with this host's failure domain first."""
        domain = self._host.settings.failure_domain
        leaving = self._membership.leaving_targets
        configuration = self._host.configuration
        targets = [
            target
            for target in configuration.get_service_targets(service)
            if target.name not in leaving and not configuration.is_evacuated(target)
        ]
        return sorted(targets, key=lambda target: target.failure_domain != domain)

    def start_drain(self) -> None:
        """Accept no new calls under this host's keys; still answer repeats."""
        self._owned.close()


class _Receipt:
    """When the owner of a key last confirmed that a call is in progress there."""

    def __init__(self) -> None:
        self._clock = asyncio.get_running_loop().time
        self._confirmed_at: float | None = None

    def confirm(self) -> None:
        """Record that the owner has just confirmed it."""
        self._confirmed_at = self._clock()

    @property
    def age(self) -> float | None:
        """Return the seconds since the last confirmation, None if there was none."""
        if self._confirmed_at is None:
            return None
        return self._clock() - self._confirmed_at

    @property
    def is_recent(self) -> bool:
        """Return whether the owner confirmed it within MAX_RECEIPT_AGE_SECONDS."""
        return self.age is not None and self.age <= c.MAX_RECEIPT_AGE_SECONDS


def translate_refusal(err: RequestRefusedError, has_key: bool) -> RequestRefusedError:
    """Return the refusal to send for a copy of a call that was not read.

    A host that is not ready knows only that this copy did not run. If a repeat of a
    booking that has run were answered "not run", the caller would book again with a
    new key. For a call with a key, only the key's owner may answer "not run".
    """
    if not has_key or err.code not in CODES_WITHOUT_KEY_LOOKUP:
        return err
    return RequestRefusedError(
        ResultCode.OUTCOME_UNKNOWN,
        f"{err.detail} What became of earlier copies is not known here.",
        err.retry_after_seconds or c.RETRY_AFTER_SECONDS,
    )


def _reply_unknown() -> Reply:
    return Reply(ResultCode.OUTCOME_UNKNOWN, retry_after_seconds=c.RETRY_AFTER_SECONDS)


def _reply_in_progress() -> Reply:
    return Reply(ResultCode.IN_PROGRESS, retry_after_seconds=c.RETRY_AFTER_SECONDS)


def _build_forward(call: ServiceCall, key: CallKey, deadline: float) -> ForwardCall:
    return ForwardCall(
        key.text,
        call.account,
        call.service,
        call.operation,
        call.content_type,
        call.body,
        deadline,
    )


def _build_answer(reply: Reply) -> CallAnswer:
    code, answer = reply.code, reply.answer or RecordedAnswer(0, "", b"")
    if len(answer.body) > c.MAX_FORWARDED_ANSWER_BYTES:
        code, answer = ResultCode.ANSWER_NOT_KEPT, RecordedAnswer(0, "", b"")
    return CallAnswer(
        code.number,
        answer.status,
        answer.content_type,
        answer.body,
        reply.retry_after_seconds or 0.0,
    )


def _read_answer(answer: CallAnswer) -> Reply:
    recorded = None
    if answer.status:
        recorded = RecordedAnswer(answer.status, answer.content_type, answer.body)
    code = ResultCode.from_number(answer.code)
    return Reply(code, recorded, answer.retry_after_seconds or None)


async def _async_send(
    call: ServiceCall, target: Target, remaining: float, connect: Connector | None
) -> RecordedAnswer:
    answer = await async_send_http(
        target.address,
        "POST",
        f"/operations/{call.operation}",
        headers={"content-type": call.content_type},
        body=call.body,
        timeout=remaining,
        connect_timeout=c.SERVICE_CONNECT_TIMEOUT_SECONDS,
        connect=connect,
    )
    if answer.has_ended_with_connection and not await async_accepts_connections(
        target.address, c.SERVICE_CONNECT_TIMEOUT_SECONDS, connect, c.END_CHECK_SECONDS
    ):
        raise ConnectionLostError("the target ended with its answer")
    content_type = answer.headers.get("content-type", c.DEFAULT_CONTENT_TYPE)
    return RecordedAnswer(answer.status, content_type, answer.body)
