"""Send requests to hosts in turn until one gives a final answer or time runs out."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from tarragonward_core import Address, Repeat, ResultCode, TargetError
from tarragonward_wire import HttpAnswer, async_send_http

from . import const as c
from .exceptions import HostsUnreachableError, RefusedError

__all__ = ["HostCycle", "Problem", "async_ask_any", "build_headers", "read_problem"]

RETRYABLE_ANYWHERE = (Repeat.AFTER_DELAY,)


@dataclass(frozen=True)
class Problem:
    """A numbered error from a host; retry_after is in seconds."""

    code: ResultCode
    message: str
    retry_after: float

    @property
    def is_retryable(self) -> bool:
        """Return whether the same request may go to another host."""
        return self.code.repeat in RETRYABLE_ANYWHERE

    def __str__(self) -> str:
        conclusion = self.code.conclusion.value
        return f"{self.code.number} {self.code.name}: {self.message} ({conclusion})"


class HostCycle:
    """Iterates over the hosts in random order, with exponential backoff.

    Each host is tried once without delay, then the delays double. The random order and
    the jitter keep callers that lost a host from hitting the next one simultaneously.
    """

    def __init__(self, hosts: list[Address], time_limit: float) -> None:
        self._hosts = random.sample(hosts, len(hosts))
        self._deadline = asyncio.get_running_loop().time() + time_limit
        self._attempts = 0
        self._backoff = c.FIRST_BACKOFF_SECONDS

    @property
    def remaining(self) -> float:
        """Return the remaining seconds of the time limit."""
        return self._deadline - asyncio.get_running_loop().time()

    def __iter__(self) -> Iterator[Address]:
        """Yield hosts until the time limit has passed."""
        while self.remaining > 0:
            yield self._hosts[self._attempts % len(self._hosts)]
            self._attempts += 1

    async def async_wait(self, at_least: float = 0.0) -> None:
        """Wait before the next host; no delay within a round."""
        if (self._attempts + 1) % len(self._hosts):
            return
        wait = max(at_least, self._backoff * random.uniform(0.5, 1.0))
        self._backoff = min(2 * self._backoff, c.MAX_BACKOFF_SECONDS)
        await asyncio.sleep(max(0.0, min(wait, self.remaining)))


def build_headers(token: str, remaining: float, **headers: str) -> dict[str, str]:
    """Return a request's headers; keyword names use _ for -."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return {
        "authorization": f"Bearer {token}",
        c.HEADER_TIME_LIMIT: f"{remaining:.3f}",
        **named,
    }


def read_problem(answer: HttpAnswer) -> Problem:
    """Return the numbered error of an answer, or INTERNAL_ERROR if it has none."""
    try:
        error: dict[str, Any] = answer.parse_json()["error"]
        code = ResultCode.from_number(error["code"])
        message = str(error["message"])
    except (TargetError, KeyError, TypeError, ValueError):
        code = ResultCode.INTERNAL_ERROR
        message = f"status {answer.status}, and no numbered error: not a host?"
    try:
        retry_after = float(answer.headers.get(c.HEADER_RETRY_AFTER, "0"))
    except ValueError:
        retry_after = 0.0
    return Problem(code, message, retry_after)


async def async_ask_any(cycle: HostCycle, token: str, method: str, path: str) -> Any:
    """Return the JSON of the first host that answers; for safe requests only."""
    last_error = "the time limit is over"
    for host in cycle:
        headers = build_headers(token, cycle.remaining)
        try:
            answer = await async_send_http(
                host, method, path, headers=headers, timeout=cycle.remaining
            )
        except TargetError as err:
            last_error = f"{host}: {err}"
            await cycle.async_wait()
            continue
        if answer.status == 200:
            return answer.parse_json()
        problem = read_problem(answer)
        if not problem.is_retryable:
            raise RefusedError(f"{host}: {problem}")
        last_error = f"{host}: {problem}"
        await cycle.async_wait(problem.retry_after)
    raise HostsUnreachableError(last_error)
