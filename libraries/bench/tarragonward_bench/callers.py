"""Send requests through a health-checking load balancer and classify the outcomes."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass, replace

from tarragonward_core import Conclusion, Repeat, ResultCode, TargetError
from tarragonward_standins.client import (
    LATE_MARGIN_SECONDS,
    CallResult,
    CompletionResult,
    Outcome,
    async_call,
    async_complete,
    async_get_key_prefix,
    compute_body_hash,
)
from tarragonward_standins.site import Site, SiteHost
from tarragonward_wire import async_send_http

__all__ = ["Balancer", "CallEnd", "Caller"]

CHECK_SECONDS = 0.25
CHECK_TIMEOUT_SECONDS = 0.5
FIRST_BACKOFF_SECONDS = 0.3
REPEATABLE_ADVICE = (Repeat.AFTER_DELAY, Repeat.SAME_KEY)


class Balancer:
    """Load balancer that picks among hosts whose last health check passed."""

    def __init__(self, site: Site, choices: random.Random) -> None:
        self._site = site
        self._choices = choices
        self._healthy = set(site.hosts)

    async def async_check(self) -> None:
        """Check the health of all hosts periodically until cancelled."""
        while True:
            await asyncio.gather(
                *(self._async_check(name) for name in self._site.hosts)
            )
            await asyncio.sleep(CHECK_SECONDS)

    async def _async_check(self, name: str) -> None:
        address = self._site.hosts[name].operators
        is_healthy = False
        with suppress(TargetError):
            answer = await async_send_http(
                address, "GET", "/health", timeout=CHECK_TIMEOUT_SECONDS
            )
            is_healthy = answer.status == 200
        if is_healthy:
            self._healthy.add(name)
        else:
            self._healthy.discard(name)

    def pick(self, tried: set[str]) -> SiteHost:
        """Return a healthy host, preferably one that has not been tried."""
        names = sorted(self._healthy - tried) or sorted(self._healthy)
        return self._site.hosts[self._choices.choice(names or sorted(self._site.hosts))]


@dataclass(frozen=True)
class CallEnd:
    """Outcome of a call; conclusion is the one in the last answer to its caller."""

    key: str
    outcome: Outcome
    conclusion: Conclusion
    detail: str = ""


class Caller:
    """Caller of one client account that repeats requests where the answer allows it."""

    def __init__(self, site: Site, balancer: Balancer, account: str) -> None:
        self._site = site
        self._balancer = balancer
        self._token = site.tokens[account]

    async def async_complete(
        self, prompt: str, max_tokens: int, time_limit: float
    ) -> CompletionResult:
        """Request a completion; retry other hosts until the time limit expires."""
        loop = asyncio.get_running_loop()
        started, tried = loop.time(), set()
        wait = FIRST_BACKOFF_SECONDS
        while True:
            host = self._balancer.pick(tried)
            tried.add(host.name)
            attempt_started = loop.time()
            result = await async_complete(
                host.callers,
                self._token,
                self._site.plan.model,
                prompt,
                max_tokens,
                time_limit - (attempt_started - started),
            )
            wait = max(wait, result.retry_after_seconds)
            remaining = time_limit - (loop.time() - started)
            if not _may_repeat(result) or remaining <= wait:
                break
            await asyncio.sleep(wait)
            wait *= 2
        ttft = result.ttft_seconds
        return replace(
            result,
            seconds=loop.time() - started,
            ttft_seconds=None if ttft is None else ttft + attempt_started - started,
        )

    async def async_call(self, body: bytes, part: str, time_limit: float) -> CallEnd:
        """Make a call and repeat it until its outcome is known, then once more."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + time_limit
        tried: set[str] = set()
        try:
            async with asyncio.timeout(time_limit):
                key = f"{await self._async_get_prefix(tried)}.{part}"
        except TimeoutError:
            return CallEnd("", Outcome.FAILED_IN_TIME, Conclusion.NOT_RUN, "no prefix")
        result, has_attempted = None, False
        while loop.time() < give_up_at:
            result = await self._async_send(body, key, tried, give_up_at - loop.time())
            if result is not None and result.code == ResultCode.OK.number:
                return await self._async_repeat(body, key, tried, result)
            code = None if result is None else ResultCode.from_number(result.code)
            if code is not None and code.conclusion is Conclusion.NOT_RUN:
                if code.repeat not in REPEATABLE_ADVICE or not has_attempted:
                    break
            has_attempted = True
            await asyncio.sleep(min(FIRST_BACKOFF_SECONDS, give_up_at - loop.time()))
        return self._build_failed_end(key, result, loop.time() - give_up_at)

    def _build_failed_end(
        self, key: str, result: CallResult | None, late_by: float
    ) -> CallEnd:
        is_late = late_by > LATE_MARGIN_SECONDS
        outcome = Outcome.LATE if is_late else Outcome.FAILED_IN_TIME
        if result is None:
            return CallEnd(key, outcome, Conclusion.UNKNOWN, "no answer")
        code = ResultCode.from_number(result.code)
        return CallEnd(key, outcome, code.conclusion, f"{code.number} {code.name}")

    async def _async_get_prefix(self, tried: set[str]) -> str:
        while True:
            host = self._balancer.pick(tried)
            tried.add(host.name)
            with suppress(TargetError):
                return await async_get_key_prefix(host.callers, self._token)
            await asyncio.sleep(FIRST_BACKOFF_SECONDS)

    async def _async_send(
        self, body: bytes, key: str, tried: set[str], remaining: float
    ) -> CallResult | None:
        host = self._balancer.pick(tried)
        tried.add(host.name)
        with suppress(TargetError):
            return await async_call(
                host.callers, self._token, "approve", body, key, remaining
            )
        return None

    async def _async_repeat(
        self, body: bytes, key: str, tried: set[str], first: CallResult
    ) -> CallEnd:
        """Repeat a completed call through another host.

        The answer must have the same bytes, unless it is an error.
        """
        repeat = await self._async_send(body, key, tried, 5.0)
        is_own = compute_body_hash(body).encode() in first.body
        is_ok = repeat is not None and repeat.code == ResultCode.OK.number
        is_same = not is_ok or repeat.body == first.body
        outcome = Outcome.WHOLE if is_own and is_same else Outcome.WRONG
        return CallEnd(key, outcome, Conclusion.RUN)


def _may_repeat(result: CompletionResult) -> bool:
    if result.outcome is not Outcome.FAILED_IN_TIME:
        return False
    # No result code: the connection was lost. Model requests are idempotent.
    if not result.code:
        return True
    return ResultCode.from_number(result.code).repeat in REPEATABLE_ADVICE
