"""Ask hosts in turn until one gives a final answer or the time is over."""

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

REPEATS_ANYWHERE = (Repeat.AFTER_DELAY,)


@dataclass(frozen=True)
class Problem:
    """A numbered error as a host gave it; retry_after is in seconds."""

    code: ResultCode
    message: str
    retry_after: float

    @property
    def is_repeatable(self) -> bool:
        """Return whether the same request may go to another host."""
        return self.code.repeat in REPEATS_ANYWHERE

    def __str__(self) -> str:
        conclusion = self.code.conclusion.value
        return f"{self.code.number} {self.code.name}: {self.message} ({conclusion})"


class HostCycle:
    """The hosts in an order of their own for each command, with growing waits.

    All hosts are tried once without a wait, then the waits double: callers that lost
    one host don't all come to the next one, again and again, at the same moment.
    """

    def __init__(self, hosts: list[Address], time_limit: float) -> None:
        self._hosts = random.sample(hosts, len(hosts))
        self._deadline = asyncio.get_running_loop().time() + time_limit
        self._tries = 0
        self._backoff = c.FIRST_BACKOFF_SECONDS

    @property
    def remaining(self) -> float:
        """Return the seconds left of the time limit."""
        return self._deadline - asyncio.get_running_loop().time()

    def __iter__(self) -> Iterator[Address]:
        """Give hosts while there is time."""
        while self.remaining > 0:
            yield self._hosts[self._tries % len(self._hosts)]
            self._tries += 1

    async def async_wait(self, at_least: float = 0.0) -> None:
        """Wait before the next host: not at all in the first round."""
        if (self._tries + 1) % len(self._hosts):
            return
        wait = max(at_least, self._backoff * random.uniform(0.5, 1.0))
        self._backoff = min(2 * self._backoff, c.MAX_BACKOFF_SECONDS)
        await asyncio.sleep(max(0.0, min(wait, self.remaining)))


def build_headers(token: str, remaining: float, **headers: str) -> dict[str, str]:
    """Return a request's headers; names are given with _ for -."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return {
        "authorization": f"Bearer {token}",
        c.HEADER_TIME_LIMIT: f"{remaining:.3f}",
        **named,
    }


def read_problem(answer: HttpAnswer) -> Problem:
    """Return the numbered error in an answer, whatever else answers in its place."""
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
    """Return the JSON of the first host that answers; only for what runs nothing."""
    last = "the time limit is over"
    for host in cycle:
        headers = build_headers(token, cycle.remaining)
        try:
            answer = await async_send_http(
                host, method, path, headers=headers, timeout=cycle.remaining
            )
        except TargetError as err:
            last = f"{host}: {err}"
            await cycle.async_wait()
            continue
        if answer.status == 200:
            return answer.parse_json()
        problem = read_problem(answer)
        if not problem.is_repeatable:
            raise RefusedError(f"{host}: {problem}")
        last = f"{host}: {problem}"
        await cycle.async_wait(problem.retry_after)
    raise HostsUnreachableError(last)
