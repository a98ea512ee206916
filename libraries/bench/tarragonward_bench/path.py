"""Measure a daemon's added time to first token and its throughput per core."""

from __future__ import annotations

import argparse
import asyncio
import os
import pstats
import sys
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import orjson

from tarragonward_core import Address
from tarragonward_standins.site import Site, SitePlan
from tarragonward_wire import async_open_http

__all__ = ["PathSite", "main"]

DEFAULT_REQUESTS = 300
DEFAULT_SECONDS = 8.0
DEFAULT_STREAMS = 200
DESIGN_TOKENS_PER_SECOND = 6_000
ENGINES = 2
# Each fake engine is published under several names: the limits of client accounts scale
# with the number of engines, and must not limit the measurement.
NAMES_PER_ENGINE = 4
HOST = "entry-north-1"
KV_TOKENS = 1_000_000_000
PROFILE_FILE = "daemon.pstats"
PROFILE_LINES = 14
PROMPT = "Rewrite bay 4. " * 27
TOKEN_INTERVAL_SECONDS = 0.026
WARM_UP_REQUESTS = 20
WARM_UP_SECONDS = 2.0
TIME_LIMIT_SECONDS = 600
STOP_SECONDS = 60


class PathSite(Site):
    """Site of one entry host and fake engines; the host may run under cProfile."""

    def __init__(self, folder: Path, is_profiled: bool) -> None:
        self._is_profiled = is_profiled
        plan = SitePlan(
            failure_domains=("north",),
            hosts_per_domain=1,
            engines_per_domain=ENGINES,
            kv_tokens=KV_TOKENS,
            accounts={"shelfwise": 1.0},
        )
        super().__init__(folder, plan)
        self._engine_processes = dict(self.engines)
        for name, address in self._engine_processes.items():
            for number in range(1, NAMES_PER_ENGINE):
                self.engines[f"{name}-{number}"] = address
                self._domains[f"{name}-{number}"] = self._domains[name]

    def _build_commands(self) -> None:
        super()._build_commands()
        for name in self.engines:
            del self._commands[name]
        for name, address in self._engine_processes.items():
            self._commands[name] = [
                sys.executable,
                "-m",
                "tarragonward_bench.path_engine",
                f"--address={address}",
                f"--interval-seconds={TOKEN_INTERVAL_SECONDS}",
            ]
        if self._is_profiled:
            python, *rest = self._commands[HOST]
            profile = ["-m", "cProfile", "-o", str(self.folder / PROFILE_FILE)]
            self._commands[HOST] = [python, *profile, *rest]

    def read_cpu_seconds(self, name: str) -> float:
        """Return the CPU time used by a process so far."""
        stat = Path(f"/proc/{self._processes[name].pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class FirstTokens:
    """Quantiles of the time to first token in seconds."""

    median: float
    p99: float

    @classmethod
    def from_times(cls, seconds: list[float]) -> FirstTokens:
        """Compute the quantiles of measured times."""
        ordered = sorted(seconds)
        return cls(ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.99)])


class PathMeasurement:
    """Sends requests alternately to an engine and through the host."""

    def __init__(self, site: PathSite) -> None:
        self._site = site
        self._direct = next(iter(site.engines.values()))
        self._host = site.hosts[HOST].callers
        self._tokens = 0
        self._number = 0

    async def async_measure_first_token(self, requests: int) -> None:
        """Print the time to first token, directly and through the host."""
        ways: list[Callable[[], Awaitable[float]]] = [
            self._async_time_direct,
            self._async_time_host,
        ]
        times: list[list[float]] = [[], []]
        for number in range(requests + WARM_UP_REQUESTS):
            for way, seconds in zip(ways, times, strict=True):
                taken = await way()
                if number >= WARM_UP_REQUESTS:
                    seconds.append(taken)
        direct, host = (FirstTokens.from_times(seconds) for seconds in times)
        print(f"time to first token of {requests} prompts of {len(PROMPT)} bytes, ms")
        print("          direct  through  ratio  added")
        for name in ("median", "p99"):
            direct_ms, through_ms = (
                getattr(direct, name) * 1e3,
                getattr(host, name) * 1e3,
            )
            print(
                f"{name:8} {direct_ms:7.2f} {through_ms:8.2f}"
                f" {through_ms / direct_ms:6.2f} {through_ms - direct_ms:6.2f}"
            )

    async def async_measure_throughput(self, streams: int, seconds: float) -> None:
        """Print the offered and achieved tokens per second, in total and per core."""
        stream_tasks = [
            asyncio.create_task(self._async_stream_continuously())
            for _ in range(streams)
        ]
        await asyncio.sleep(WARM_UP_SECONDS)
        loop = asyncio.get_running_loop()
        tokens, cpu = self._tokens, self._site.read_cpu_seconds(HOST)
        started = loop.time()
        await asyncio.sleep(seconds)
        tokens = self._tokens - tokens
        cpu = self._site.read_cpu_seconds(HOST) - cpu
        elapsed = loop.time() - started
        for task in stream_tasks:
            task.cancel()
        await asyncio.gather(*stream_tasks, return_exceptions=True)
        offered = streams / TOKEN_INTERVAL_SECONDS
        rate, core = tokens / elapsed, tokens / cpu
        print(
            f"streams={streams} wanted_tokens_per_s={offered:.0f}"
            f" carried_tokens_per_s={rate:.0f} ratio={rate / offered:.3f}"
            f" cpu={cpu / elapsed:.2f} tokens_per_core_s={core:.0f}"
            f" ratio_to_design={core / DESIGN_TOKENS_PER_SECOND:.2f}"
        )

    async def _async_time_direct(self) -> float:
        self._number += 1
        body = {
            "stream_id": f"direct-{self._number}",
            "owner": "bench",
            "prompt": PROMPT,
            "max_tokens": 1,
        }
        return await _async_time(self._direct, "/v1/streams", body, {}, b"offset")

    async def _async_time_host(self) -> float:
        return await _async_time(
            self._host, "/v1/completions", self._build_body(1), self._headers, b"text"
        )

    def _build_body(self, tokens: int) -> dict:
        model = self._site.plan.model
        return {
            "model": model,
            "prompt": PROMPT,
            "max_tokens": tokens,
            "stream": True,
        }

    @property
    def _headers(self) -> dict[str, str]:
        token = next(iter(self._site.tokens.values()))
        return {
            "authorization": f"Bearer {token}",
            "x-time-limit-seconds": str(TIME_LIMIT_SECONDS),
        }

    async def _async_stream_continuously(self) -> None:
        body = orjson.dumps(self._build_body(1_000))
        while True:
            async with async_open_http(
                self._host, "POST", "/v1/completions", headers=self._headers, body=body
            ) as stream:
                if stream.status != 200:
                    raise RuntimeError(await stream.async_read_body())
                async for chunk in stream.async_iterate_chunks():
                    self._tokens += chunk.count(b'"finish_reason":null')


async def _async_time(
    address: Address, path: str, body: dict, headers: dict[str, str], marker: bytes
) -> float:
    loop = asyncio.get_running_loop()
    payload = orjson.dumps(body)
    started = loop.time()
    first = None
    async with async_open_http(
        address, "POST", path, headers=headers, body=payload
    ) as stream:
        async for chunk in stream.async_iterate_chunks():
            if first is None and marker in chunk:
                first = loop.time() - started
    if first is None:
        raise RuntimeError(f"no token from {address}: status {stream.status}")
    return first


async def _async_main(arguments: argparse.Namespace) -> None:
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        site = PathSite(folder, arguments.profile)
        stack.push_async_callback(site.async_unload)
        await site.async_setup()
        measurement = PathMeasurement(site)
        await measurement.async_measure_first_token(arguments.requests)
        await measurement.async_measure_throughput(arguments.streams, arguments.seconds)
        if arguments.profile:
            await site.async_terminate(HOST, STOP_SECONDS)
            stats = pstats.Stats(str(folder / PROFILE_FILE))
            stats.strip_dirs().sort_stats("tottime").print_stats(PROFILE_LINES)


def main() -> None:
    """Run the measurement as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=DEFAULT_REQUESTS)
    parser.add_argument("--streams", type=int, default=DEFAULT_STREAMS)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument(
        "--profile", action="store_true", help="run the host under cProfile"
    )
    asyncio.run(_async_main(parser.parse_args()))


if __name__ == "__main__":
    main()
