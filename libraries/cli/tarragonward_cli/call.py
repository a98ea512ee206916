"""Call an operation of a plain service, at most once."""

from __future__ import annotations

import secrets
from dataclasses import dataclass

from cleo.helpers import argument, option

from tarragonward_core import (
    Address,
    Conclusion,
    NotConnectedError,
    Repeat,
    ResultCode,
    TargetError,
)
from tarragonward_wire import HttpAnswer, async_send_http

from . import const as c
from .client import HostCycle, Problem, async_ask_any, build_headers, read_problem
from .command import (
    JSON_OPTION,
    TIME_LIMIT_OPTION,
    TOKEN_FILE_OPTION,
    ToolCommand,
    make_host_option,
)

__all__ = ["CallCommand"]

KEY_BYTES = 8
# Sent only by the key's owner, and final for the key. Other refusals concern a single
# attempt: an earlier attempt with the same key may have run.
FINAL_FOR_KEY = (ResultCode.CALL_NOT_RUN, ResultCode.TARGET_REFUSED)
RETRYABLE = (Repeat.AFTER_DELAY, Repeat.SAME_KEY)


@dataclass
class CallProgress:
    """State of a call; may_have_run is set once an attempt's outcome is unknown."""

    key: str
    may_have_run: bool = False
    unknown_answers: int = 0
    last_error: str = "the time limit is over"
    code: ResultCode | None = None


class CallCommand(ToolCommand):
    """Call an operation, with retries that cannot run it twice."""

    name = "call"
    description = "Calls an operation of a plain service, at most once."
    arguments = [
        argument("service", "The service's name."),
        argument("operation", "The operation's name."),
        argument("body", "The body of the call.", optional=True),
    ]
    options = [
        make_host_option(c.DEFAULT_HOST, "callers"),
        option("body-file", None, "A file that holds the body.", flag=False),
        option(
            "content-type",
            None,
            "The body's type.",
            flag=False,
            default="application/json",
        ),
        option("key", None, "The key of a call made before, to learn its end.", False),
        TIME_LIMIT_OPTION,
        TOKEN_FILE_OPTION,
        JSON_OPTION,
    ]
    help = f"""\
The token is read from {c.ENV_TOKEN} or from --token-file.
The key is printed to standard error before the call is sent: after an unknown outcome,
or if this tool is killed, give it with --key to learn what became of the call.
Exit codes: 0 run, 1 not run, 2 usage, 3 outcome unknown, 4 no host answered (not run),
5 run, and the service answered with an error."""

    async def async_run(self) -> int:
        """Retry the call until its outcome is known or the time limit has passed."""
        token, body = self.read_token(c.ENV_TOKEN), self._read_body()
        cycle = HostCycle(self.get_hosts(), self.read_number("time-limit"))
        key = self.option("key")
        progress = CallProgress(key or await self._async_make_key(cycle, token))
        progress.may_have_run = key is not None
        for host in cycle:
            wait = 0.0
            try:
                answer = await self._async_send(host, token, body, cycle, progress.key)
            except TargetError as err:
                progress.last_error = f"{host}: {err}"
                if not isinstance(err, NotConnectedError):
                    progress.may_have_run = True
            else:
                if answer.headers.get(c.HEADER_RESULT_CODE) == "0":
                    return self._finish_run(answer, progress)
                problem = read_problem(answer)
                if not await self._async_should_retry(problem, progress, cycle, token):
                    break
                wait = problem.retry_after
            await cycle.async_wait(wait)
        return self._finish_without_answer(progress)

    def _read_body(self) -> bytes:
        if self.option("body-file"):
            return self.read_file("body-file", self.option("body-file"))
        return (self.argument("body") or "").encode()

    async def _async_make_key(self, cycle: HostCycle, token: str) -> str:
        answer = await async_ask_any(cycle, token, "GET", c.ROUTE_KEY_PREFIX)
        key = f"{answer['key_prefix']}.{secrets.token_hex(KEY_BYTES)}"
        self.line_error(f"key {key}")
        return key

    async def _async_send(
        self, host: Address, token: str, body: bytes, cycle: HostCycle, key: str
    ) -> HttpAnswer:
        service, operation = self.argument("service"), self.argument("operation")
        headers = build_headers(
            token,
            cycle.remaining,
            content_type=self.option("content-type"),
            x_call_key=key,
        )
        return await async_send_http(
            host,
            "POST",
            f"{c.ROUTE_SERVICES}{service}/{operation}",
            headers=headers,
            body=body,
            timeout=cycle.remaining,
        )

    async def _async_should_retry(
        self, problem: Problem, progress: CallProgress, cycle: HostCycle, token: str
    ) -> bool:
        """Record a numbered error; return whether to retry."""
        progress.code, progress.last_error = problem.code, str(problem)
        if problem.code in FINAL_FOR_KEY:
            progress.may_have_run = False
            if self.option("key"):
                return False
            progress.key = await self._async_make_key(cycle, token)
            return True
        if problem.code.conclusion is not Conclusion.NOT_RUN:
            progress.may_have_run = True
            progress.unknown_answers += 1
        is_exhausted = progress.unknown_answers >= c.MAX_UNKNOWN_OUTCOMES
        return problem.code.repeat in RETRYABLE and not is_exhausted

    def _finish_run(self, answer: HttpAnswer, progress: CallProgress) -> int:
        text = answer.body.decode("utf-8", "replace")
        if self.option("json"):
            self._print_outcome(Conclusion.RUN, ResultCode.OK, progress, answer, text)
        else:
            self.write_text(text + "\n")
            self.line_error(f"outcome run, code 0 OK, status {answer.status}")
        return c.EXIT_TARGET_ERROR if answer.status >= 400 else c.EXIT_OK

    def _finish_without_answer(self, progress: CallProgress) -> int:
        conclusion = Conclusion.NOT_RUN
        if progress.may_have_run:
            conclusion = Conclusion.UNKNOWN
        if self.option("json"):
            self._print_outcome(conclusion, progress.code, progress, None, "")
        self.line_error(
            f"outcome {conclusion.value}, {progress.last_error}", style="error"
        )
        if progress.may_have_run:
            return c.EXIT_UNKNOWN_OUTCOME
        return c.EXIT_NO_HOST if progress.code is None else c.EXIT_FAILED

    def _print_outcome(
        self,
        conclusion: Conclusion,
        code: ResultCode | None,
        progress: CallProgress,
        answer: HttpAnswer | None,
        text: str,
    ) -> None:
        self.print_json(
            {
                "outcome": conclusion.value,
                "code": None if code is None else code.number,
                "name": None if code is None else code.name,
                "key": progress.key,
                "status": None if answer is None else answer.status,
                "body": text,
            }
        )
