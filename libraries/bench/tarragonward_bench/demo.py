"""Run a mixed load on a small site and kill an engine and a host meanwhile."""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import tempfile
import uuid
from collections import Counter
from contextlib import AsyncExitStack, suppress
from pathlib import Path

from tarragonward_core import Conclusion, TargetError, get_length_class
from tarragonward_standins.client import CompletionResult, Outcome
from tarragonward_standins.site import Site, SitePlan
from tarragonward_wire import async_send_http

from .callers import Balancer, CallEnd, Caller

__all__ = ["Demo"]

LOAD_SECONDS = 10
PROMPTS_PER_SECOND = 6
CALLS_PER_SECOND = 4
CALL_LIMIT_SECONDS = 8.0
PROMPT_LIMIT_SECONDS = 30.0
MAX_TOKENS = 24
BYTES_PER_TOKEN = 4
# (cumulative weight out of LENGTHS_TOTAL, range of tokens): of 20 prompts, one is very
# long and two are of medium length.
LENGTHS_TOKENS = ((1, (120_000, 200_000)), (3, (8_000, 30_000)), (20, (1_000, 4_000)))
LENGTHS_TOTAL = 20
MAX_RELEASE_SECONDS = 15.0
RELEASE_POLL_SECONDS = 0.5
SEED = 1
EXIT_INTERRUPTED = 130


class Demo:
    """Generates the load, counts outcomes, and kills one engine and one host."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._random = random.Random(SEED)
        self._balancer = Balancer(site, self._random)
        self._score: Counter[str] = Counter()
        self._conclusions: dict[str, Conclusion] = {}
        self._ttft: dict[tuple[str, str], list[float]] = {}

    async def async_run(self) -> bool:
        """Run the demo; return whether all guarantees held."""
        checking = asyncio.create_task(self._balancer.async_check())
        async with asyncio.TaskGroup() as group:
            group.create_task(self._async_inject_faults())
            group.create_task(self._async_load(group))
        checking.cancel()
        print("progress waiting for the engines' memory")
        leaked = await self._async_count_leaked_tokens() * BYTES_PER_TOKEN
        doubled = await self._async_count_duplicate_runs()
        self._print_table()
        score = self._score
        print(
            f"sent={score['sent']} whole={score['whole']}"
            f" failed_in_time={score['failed_in_time']} late={score['late']}"
            f" wrong={score['wrong']} doubled={doubled} leaked_bytes={leaked}"
        )
        broken = score["late"] + score["wrong"] + doubled + leaked
        ended = score["whole"] + score["failed_in_time"]
        return not broken and score["whole"] > 0 and score["sent"] == ended

    async def _async_load(self, group: asyncio.TaskGroup) -> None:
        kinds = [self._async_send_prompt] * PROMPTS_PER_SECOND
        kinds += [self._async_send_call] * CALLS_PER_SECOND
        for second in range(LOAD_SECONDS):
            print(
                f"progress second={second + 1}/{LOAD_SECONDS}"
                f" sent={self._score['sent']} whole={self._score['whole']}"
            )
            self._random.shuffle(kinds)
            for send in kinds:
                group.create_task(send())
                await asyncio.sleep(1 / len(kinds))

    async def _async_inject_faults(self) -> None:
        await asyncio.sleep(LOAD_SECONDS * 0.4)
        engine = next(iter(self._site.engines))
        print(f"progress killing target={engine}")
        await self._site.async_kill(engine)
        await asyncio.sleep(LOAD_SECONDS * 0.2)
        host = next(iter(self._site.hosts))
        print(f"progress killing host={host}")
        await self._site.async_kill(host)

    def _pick_caller(self) -> tuple[str, Caller]:
        account = self._random.choice(list(self._site.tokens))
        return account, Caller(self._site, self._balancer, account)

    def _pick_tokens(self) -> int:
        number = self._random.randrange(LENGTHS_TOTAL)
        bounds = next(bounds for below, bounds in LENGTHS_TOKENS if number < below)
        return self._random.randint(*bounds)

    async def _async_send_prompt(self) -> None:
        tokens = self._pick_tokens()
        start = f"{uuid.UUID(int=self._random.getrandbits(128))} "
        size = tokens * BYTES_PER_TOKEN
        prompt = (start * (size // len(start) + 1))[:size]
        account, caller = self._pick_caller()
        self._score["sent"] += 1
        result = await caller.async_complete(prompt, MAX_TOKENS, PROMPT_LIMIT_SECONDS)
        self._record_prompt(account, tokens, result)

    def _record_prompt(
        self, account: str, tokens: int, result: CompletionResult
    ) -> None:
        self._score[result.outcome.value] += 1
        if result.outcome is not Outcome.WHOLE:
            print(
                f"progress prompt={result.outcome.value} tokens={tokens}"
                f" code={result.code} {result.detail}"
            )
        elif result.ttft_seconds is not None:
            key = (get_length_class(tokens), account)
            self._ttft.setdefault(key, []).append(result.ttft_seconds)

    async def _async_send_call(self) -> None:
        _, caller = self._pick_caller()
        part = f"{self._random.getrandbits(64):x}"
        self._score["sent"] += 1
        end = await caller.async_call(f"slot {part}".encode(), part, CALL_LIMIT_SECONDS)
        self._record_call(end)

    def _record_call(self, end: CallEnd) -> None:
        self._score[end.outcome.value] += 1
        if end.key:
            self._conclusions[end.key] = end.conclusion
        if end.outcome is not Outcome.WHOLE:
            conclusion = end.conclusion.value
            print(f"progress call={end.outcome.value} told={conclusion!r} {end.detail}")

    async def _async_count_leaked_tokens(self) -> int:
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + MAX_RELEASE_SECONDS
        while True:
            held_tokens = await self._async_count_held_tokens()
            if held_tokens == 0 or loop.time() > give_up_at:
                return held_tokens
            await asyncio.sleep(RELEASE_POLL_SECONDS)

    async def _async_count_held_tokens(self) -> int:
        held_tokens = 0
        for address in self._site.engines.values():
            with suppress(TargetError):
                answer = await async_send_http(address, "GET", "/v1/load", timeout=2.0)
                report = answer.parse_json()
                held_tokens += report["kv_tokens"] - report["free_kv_tokens"]
        return held_tokens

    async def _async_count_duplicate_runs(self) -> int:
        """Return how many calls ran more than once.

        Calls whose caller got the wrong conclusion are added to the score as wrong.
        """
        runs: Counter[str] = Counter()
        for address in self._site.services.values():
            answer = await async_send_http(address, "GET", "/runs", timeout=2.0)
            runs.update(answer.parse_json())
        for key, conclusion in self._conclusions.items():
            ran_despite_not_run = conclusion is Conclusion.NOT_RUN and runs[key] > 0
            not_run_despite_run = conclusion is Conclusion.RUN and runs[key] == 0
            self._score["wrong"] += ran_despite_not_run or not_run_despite_run
        return sum(count > 1 for key, count in runs.items() if key)

    def _print_table(self) -> None:
        print("time to first token, from the caller's first attempt, in seconds")
        print(f"{'length':10} {'client account':16} {'n':>5} {'p50':>8} {'p95':>8}")
        for (length, account), values in sorted(self._ttft.items()):
            values.sort()
            middle = values[len(values) // 2]
            high = values[int(len(values) * 0.95)]
            print(f"{length:10} {account:16} {len(values):5} {middle:8.3f} {high:8.3f}")


async def _async_main(keep: bool) -> bool:
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        site = Site(folder, SitePlan())
        stack.push_async_callback(site.async_unload)
        print("progress starting the site")
        await site.async_setup()
        if keep:
            _print_usage(site)
            await asyncio.Event().wait()
        return await Demo(site).async_run()


def _print_usage(site: Site) -> None:
    hosts = list(site.hosts.values())
    account, token = next(iter(site.tokens.items()))
    first, model = hosts[0], site.plan.model
    callers = " ".join(f"--host={host.callers}" for host in hosts)
    operators = " ".join(f"--host={host.operators}" for host in hosts)
    print(
        f"""\
The site is up until Ctrl-C; its files are in {site.folder}. In another terminal:

# client account {account}; the tool picks among all hosts
export TARRAGONWARD_TOKEN={token}
export TARRAGONWARD_OPERATOR_TOKEN={site.operator_token}

curl -N http://{first.callers}/v1/completions \\
  -H "Authorization: Bearer $TARRAGONWARD_TOKEN" \\
  -d '{{"model": "{model}", "prompt": "Rewrite bay 4", "max_tokens": 20, \
"stream": true}}'

.venv/bin/tarragonward request {model} "Rewrite bay 4" {callers}
.venv/bin/tarragonward call approvals approve "slot 7" {callers}
.venv/bin/tarragonward status {operators}
.venv/bin/tarragonward targets {operators}
.venv/bin/tarragonward config show {operators}"""
    )


async def _async_run_until_signal(keep: bool) -> int:
    # A signal cancels the main task, so that its exit stack stops the site's processes
    # instead of leaving them behind.
    main_task = asyncio.current_task()
    assert main_task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, main_task.cancel)
    try:
        return 0 if await _async_main(keep) else 1
    except asyncio.CancelledError:
        return 0 if keep else EXIT_INTERRUPTED


def main() -> None:
    """Run the demo as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="keep the site running")
    arguments = parser.parse_args()
    sys.stdout.reconfigure(line_buffering=True)
    sys.exit(asyncio.run(_async_run_until_signal(arguments.keep)))


if __name__ == "__main__":
    main()
