"""Run the main job on a small site and break it on the way."""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
import uuid
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

from tarragonward_core import ResultCode, TargetError, get_length_class
from tarragonward_standins.client import (
    CompletionResult,
    Outcome,
    async_call,
    async_complete,
    async_get_key_prefix,
    compute_body_hash,
)
from tarragonward_standins.site import Site, SitePlan
from tarragonward_wire import async_send_http

__all__ = ["Demo"]

LOAD_SECONDS = 10.0
REQUESTS_PER_SECOND = 6
CALLS_PER_SECOND = 4
TIME_LIMIT_SECONDS = 20.0
SHORT_TOKENS = 1_000
LONG_TOKENS = 150_000
LONG_SHARE = 0.05
MAX_TOKENS = 24
BYTES_PER_TOKEN = 4
SETTLE_SECONDS = 20.0
SEED = 1


class Demo:
    """Send the load, keep the score, and break one host and one engine."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._random = random.Random(SEED)
        self._score: Counter[str] = Counter()
        self._ttft: dict[tuple[str, str], list[float]] = {}
        self._live_hosts = list(site.hosts)

    async def async_run(self) -> bool:
        """Run all of it; return whether every promise was kept."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._async_break())
            group.create_task(self._async_load(group))
        leaked = await self._async_count_leaked_tokens()
        doubled = await self._async_count_doubled()
        self._print_table()
        score = self._score
        print(
            f"sent={score['sent']} whole={score['whole']}"
            f" failed_in_time={score['failed_in_time']} late={score['late']}"
            f" wrong={score['wrong']} doubled={doubled}"
            f" leaked_bytes={leaked * BYTES_PER_TOKEN}"
        )
        broken = score["late"] + score["wrong"] + doubled + leaked
        ended = score["whole"] + score["failed_in_time"]
        return not broken and score["whole"] > 0 and score["sent"] == ended

    async def _async_load(self, group: asyncio.TaskGroup) -> None:
        ticks = int(LOAD_SECONDS)
        for tick in range(ticks):
            print(f"progress second={tick + 1}/{ticks} sent={self._score['sent']}")
            for _ in range(REQUESTS_PER_SECOND):
                group.create_task(self._async_send_completion())
                await asyncio.sleep(0.5 / REQUESTS_PER_SECOND)
            for _ in range(CALLS_PER_SECOND):
                group.create_task(self._async_send_call())
                await asyncio.sleep(0.5 / CALLS_PER_SECOND)

    async def _async_break(self) -> None:
        await asyncio.sleep(LOAD_SECONDS * 0.4)
        engine = next(iter(self._site.engines))
        print(f"progress killing target={engine}")
        await self._site.async_kill(engine)
        await asyncio.sleep(LOAD_SECONDS * 0.2)
        host = self._live_hosts[0]
        print(f"progress killing host={host}")
        await self._site.async_kill(host)
        await asyncio.sleep(0.5)
        self._live_hosts.remove(host)

    async def _async_send_completion(self) -> None:
        is_long = self._random.random() < LONG_SHARE
        tokens = LONG_TOKENS if is_long else self._random.randint(1, 4) * SHORT_TOKENS
        prompt = f"{uuid.UUID(int=self._random.getrandbits(128))} "
        prompt = (prompt * (tokens * BYTES_PER_TOKEN // len(prompt) + 1))[: tokens * 4]
        account = self._random.choice(list(self._site.tokens))
        host = self._site.hosts[self._random.choice(self._live_hosts)]
        self._score["sent"] += 1
        result = await async_complete(
            host.callers,
            self._site.tokens[account],
            self._site.plan.model,
            prompt,
            MAX_TOKENS,
            TIME_LIMIT_SECONDS,
        )
        self._note_completion(account, tokens, result)

    def _note_completion(
        self, account: str, tokens: int, result: CompletionResult
    ) -> None:
        self._score[result.outcome.value] += 1
        if result.outcome is not Outcome.WHOLE:
            print(f"progress {result.outcome.value} code={result.code} {result.detail}")
        if result.ttft_seconds is not None:
            key = (get_length_class(tokens), account)
            self._ttft.setdefault(key, []).append(result.ttft_seconds)

    async def _async_send_call(self) -> None:
        account = self._random.choice(list(self._site.tokens))
        token = self._site.tokens[account]
        host = self._site.hosts[self._random.choice(self._live_hosts)]
        repeat_host = self._site.hosts[self._random.choice(self._live_hosts)]
        body = f"slot {self._random.getrandbits(64):x}".encode()
        self._score["sent"] += 1
        try:
            prefix = await async_get_key_prefix(host.callers, token)
            key = f"{prefix}.{self._random.getrandbits(64):x}"
            result = await async_call(host.callers, token, "approve", body, key)
            # Each call is repeated through another host: it must not run twice.
            repeat = await async_call(repeat_host.callers, token, "approve", body, key)
        except TargetError as err:
            print(f"progress failed_in_time call {err!r}")
            self._score["failed_in_time"] += 1
            return
        is_whole = result.code == ResultCode.OK.number
        if is_whole and compute_body_hash(body).encode() not in result.body:
            self._score["wrong"] += 1
        elif is_whole and repeat.body != result.body and repeat.status == 200:
            self._score["wrong"] += 1
        else:
            self._score["whole" if is_whole else "failed_in_time"] += 1

    async def _async_count_leaked_tokens(self) -> int:
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + SETTLE_SECONDS
        while True:
            held = await self._async_count_held_tokens()
            if held == 0 or loop.time() > give_up_at:
                return held
            await asyncio.sleep(0.5)

    async def _async_count_held_tokens(self) -> int:
        held = 0
        for address in self._site.engines.values():
            try:
                answer = await async_send_http(address, "GET", "/v1/load", timeout=2.0)
            except TargetError:
                continue
            report = answer.parse_json()
            held += report["kv_tokens"] - report["free_kv_tokens"]
        return held

    async def _async_count_doubled(self) -> int:
        runs: Counter[str] = Counter()
        for address in self._site.services.values():
            answer = await async_send_http(address, "GET", "/runs", timeout=2.0)
            runs.update(answer.parse_json())
        return sum(count > 1 for key, count in runs.items() if key)

    def _print_table(self) -> None:
        print(f"{'length':10} {'client account':16} {'n':>5} {'p50 s':>8} {'p95 s':>8}")
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
            await _async_keep(site)
            return True
        return await Demo(site).async_run()


async def _async_keep(site: Site) -> None:
    host = next(iter(site.hosts.values()))
    account, token = next(iter(site.tokens.items()))
    print(f"account {account}; the site stays up until Ctrl-C. Send a request with:")
    print(
        f"curl -N http://{host.callers}/v1/completions"
        f" -H 'Authorization: Bearer {token}' -d"
        f' \'{{"model": "{site.plan.model}", "prompt": "Rewrite bay 4",'
        ' "max_tokens": 20, "stream": true}\''
    )
    await asyncio.Event().wait()


def main() -> None:
    """Run the demo as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="keep the site up")
    arguments = parser.parse_args()
    try:
        kept = asyncio.run(_async_main(arguments.keep))
    except KeyboardInterrupt:
        kept = True
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()
