"""Tests of how the daemon's process exits."""

import asyncio
import signal
import sys

import orjson
import pytest

from tarragonward_core import ResultCode
from tarragonward_daemon.main import (
    EXIT_BAD_SETTINGS,
    EXIT_CUT_OFF,
    EXIT_FAILED,
    EXIT_OK,
)
from tarragonward_standins.answers import expect_answer
from tarragonward_standins.client import Outcome, async_complete
from tarragonward_standins.site import SitePlan
from tarragonward_wire import async_open_http, async_send_http

PLAN = SitePlan(failure_domains=("north",), hosts_per_domain=1, engines_per_domain=1)
HOST = "entry-north-1"
LONG_TOKENS = 800


def find_prompt(tokens):
    """Return a prompt whose answer has at least so many tokens."""
    prompts = (f"Redraft store {number}" for number in range(10_000))
    return next(p for p in prompts if expect_answer(p, tokens).tokens == tokens)


async def async_run_daemon(*options):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tarragonward_daemon.main",
        *options,
        stderr=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(30):
        _, errors = await process.communicate()
    return process.returncode, errors.decode()


async def async_wait_unhealthy(site):
    async with asyncio.timeout(10):
        while True:
            answer = await async_send_http(
                site.hosts[HOST].operators, "GET", "/health", timeout=5
            )
            if answer.status == 503:
                return
            await asyncio.sleep(0.01)


async def test_exit_codes_before_serving(make_site, tmp_path):
    site = await make_site(PLAN)
    settings = site.folder / f"{HOST}.toml"
    assert (await async_run_daemon("--settings", settings, "--check"))[0] == EXIT_OK
    code, errors = await async_run_daemon("--settings", tmp_path / "none.toml")
    assert code == EXIT_BAD_SETTINGS
    assert "none.toml" in errors
    code, errors = await async_run_daemon("--settings", settings)
    assert code == EXIT_FAILED
    assert "event=host_failed" in errors


async def test_sigterm_completes_requests_before_the_process_exits(make_site):
    """A host gets SIGTERM while an answer streams.

    The health check fails at once, the answer completes, and the process exits with 0.
    """
    site = await make_site(PLAN)
    request_task = asyncio.create_task(
        async_complete(
            site.hosts[HOST].callers,
            site.tokens["shelfwise"],
            PLAN.model,
            find_prompt(300),
            300,
            30,
        )
    )
    await async_wait_in_flight(site)
    stop_task = asyncio.create_task(site.async_terminate(HOST, 30))
    await async_wait_unhealthy(site)
    assert (await request_task).outcome is Outcome.WHOLE
    assert await stop_task == EXIT_OK


@pytest.mark.parametrize("is_by_signal", [True, False])
async def test_a_second_sigterm_or_the_drain_timeout_answers_open_requests(
    make_site, is_by_signal
):
    """A second SIGTERM or the drain time-out ends the drain before its requests do.

    Each request in progress gets an error with a result code and a retry delay rather
    than a reset connection, and the exit code tells that requests were interrupted.
    """
    drain_timeout_seconds = 60 if is_by_signal else 1
    site = await make_site(
        SitePlan(
            failure_domains=("north",),
            hosts_per_domain=1,
            engines_per_domain=1,
            limits={"drain_timeout_seconds": drain_timeout_seconds},
        )
    )
    body = {
        "model": PLAN.model,
        "prompt": find_prompt(LONG_TOKENS),
        "max_tokens": LONG_TOKENS,
        "stream": True,
    }
    headers = {"authorization": f"Bearer {site.tokens['shelfwise']}"}
    async with async_open_http(
        site.hosts[HOST].callers,
        "POST",
        "/v1/completions",
        headers=headers,
        body=orjson.dumps(body),
    ) as stream:
        assert stream.status == 200
        stop_task = asyncio.create_task(site.async_terminate(HOST, 30))
        await async_wait_unhealthy(site)
        if is_by_signal:
            site.send_signal(HOST, signal.SIGTERM)
        lines = [line async for line in stream.async_iterate_lines() if line]
    error = orjson.loads(lines[-1].removeprefix(b"data: "))["error"]
    assert error["code"] == ResultCode.HOST_STOPPED.number
    assert error["retry_after_seconds"] >= 1
    assert await stop_task == EXIT_CUT_OFF


async def async_wait_in_flight(site):
    async with asyncio.timeout(10):
        while True:
            status = await site.async_query_operators(HOST, "/v1/status")
            if status["in_flight"]:
                return
            await asyncio.sleep(0.01)
