"""Command that sends a prompt and streams the answer."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
from cleo.helpers import argument, option

from tarragonward_core import Address, Repeat, ResultCode, TargetError
from tarragonward_wire import HttpAnswer, HttpStream, async_open_http

from . import const as c
from .client import HostCycle, Problem, build_headers, read_problem
from .command import (
    JSON_OPTION,
    TIME_LIMIT_OPTION,
    TOKEN_FILE_OPTION,
    ToolCommand,
    make_host_option,
)
from .exceptions import HostsUnreachableError, RefusedError, ToolError, UsageError

__all__ = ["RequestCommand"]

EVENT_PREFIX = b"data: "
DONE = b"[DONE]"
RETRYABLE = (Repeat.AFTER_DELAY, Repeat.SAME_KEY)
STANDARD_INPUT = "-"


class AnswerDiffersError(RefusedError):
    """A retried answer does not continue the text already printed."""


@dataclass
class PrintedAnswer:
    """The answer printed so far, over all attempts."""

    write: Callable[[str], None]
    text: str = ""
    finish_reason: str | None = None
    attempt_text: str = ""
    usage: dict[str, Any] = field(default_factory=dict)

    def begin_attempt(self) -> None:
        """Start reading the answer from its beginning."""
        self.attempt_text = ""

    def append(self, text: str) -> None:
        """Append text of the current attempt, and print what is new.

        A retry after a lost host returns the answer from its beginning. To avoid
        duplicated text, only the part after the printed text is printed. An engine that
        samples may answer differently; that raises AnswerDiffersError.
        """
        self.attempt_text += text
        if self.attempt_text.startswith(self.text):
            self.write(self.attempt_text[len(self.text) :])
            self.text = self.attempt_text
        elif not self.text.startswith(self.attempt_text):
            raise AnswerDiffersError("the repeated answer differs from what was given")


class RequestCommand(ToolCommand):
    """Send one prompt; fail over to another host on errors."""

    name = "request"
    description = "Sends a prompt and streams the answer."
    arguments = [
        argument("model", "The model's name."),
        argument("prompt", "The prompt; - reads standard input.", optional=True),
    ]
    options = [
        make_host_option(c.DEFAULT_HOST, "callers"),
        option("prompt-file", None, "A file that holds the prompt.", flag=False),
        option(
            "max-tokens",
            None,
            "The most tokens of the answer.",
            flag=False,
            default=str(c.DEFAULT_MAX_TOKENS),
        ),
        TIME_LIMIT_OPTION,
        TOKEN_FILE_OPTION,
        JSON_OPTION,
    ]
    help = f"""\
The token is read from {c.ENV_TOKEN} or from --token-file.
A host that fails or refuses is left for the next one until the time limit is over.
Exit codes: 0 whole answer, 1 failed or refused, 2 usage, 4 no host answered."""

    async def async_run(self) -> int:
        """Try hosts in turn until one has given the complete answer."""
        token = self.read_token(c.ENV_TOKEN)
        body = self._build_body()
        cycle = HostCycle(self.get_hosts(), self.read_number("time-limit"))
        printed = PrintedAnswer(
            (lambda text: None) if self.option("json") else self.write_text
        )
        failure: ToolError = HostsUnreachableError("the time limit is over")
        for host in cycle:
            wait = 0.0
            try:
                async with asyncio.timeout(cycle.remaining + c.GRACE_SECONDS):
                    problem = await self._async_try(host, token, body, cycle, printed)
            except (TargetError, TimeoutError) as err:
                failure = HostsUnreachableError(f"{host}: {err or 'no answer in time'}")
            else:
                if problem is None:
                    return self._end(printed)
                failure = RefusedError(f"{host}: {problem}")
                wait = problem.retry_after
                if problem.code.repeat not in RETRYABLE:
                    raise failure
            await cycle.async_wait(wait)
        raise failure

    def _build_body(self) -> bytes:
        prompt_file, prompt = self.option("prompt-file"), self.argument("prompt")
        if (prompt_file is None) == (prompt is None):
            raise UsageError("give either a prompt or --prompt-file")
        if prompt_file is not None:
            prompt = self.read_file("prompt-file", prompt_file).decode()
        elif prompt == STANDARD_INPUT:
            prompt = sys.stdin.read()
        payload = {
            "model": self.argument("model"),
            "prompt": prompt,
            "max_tokens": int(self.read_number("max-tokens")),
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        return orjson.dumps(payload)

    async def _async_try(
        self,
        host: Address,
        token: str,
        body: bytes,
        cycle: HostCycle,
        printed: PrintedAnswer,
    ) -> Problem | None:
        headers = build_headers(token, cycle.remaining, content_type="application/json")
        printed.begin_attempt()
        async with async_open_http(
            host, "POST", c.ROUTE_COMPLETIONS, headers=headers, body=body
        ) as stream:
            if stream.status == 200:
                return await _async_read_events(stream, printed)
            answer = HttpAnswer(
                stream.status, stream.headers, await stream.async_read_body()
            )
            return read_problem(answer)

    def _end(self, printed: PrintedAnswer) -> int:
        if self.option("json"):
            self.print_json(
                {
                    "text": printed.text,
                    "finish_reason": printed.finish_reason,
                    "usage": printed.usage,
                }
            )
        else:
            self.write_text("\n")
        return c.EXIT_OK


async def _async_read_events(
    stream: HttpStream, printed: PrintedAnswer
) -> Problem | None:
    """Read an answer to its end; return the error that ended it, if any."""
    async for line in stream.async_iterate_lines():
        data = line.removeprefix(EVENT_PREFIX)
        if data == line or data == DONE:
            continue
        event = orjson.loads(data)
        if "error" in event:
            error = event["error"]
            code = ResultCode.from_number(error["code"])
            retry_after = error.get("retry_after_seconds") or 0.0
            return Problem(code, error["message"], retry_after)
        printed.usage = event.get("usage") or printed.usage
        for choice in event["choices"]:
            printed.append(choice["text"])
            printed.finish_reason = choice["finish_reason"] or printed.finish_reason
    if printed.finish_reason is None:
        raise TargetError("the answer ended without its finish reason")
    return None
