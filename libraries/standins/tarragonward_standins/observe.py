"""Observe a site from outside, as its load balancer and its operators do."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import orjson

from tarragonward_core import Address, TargetError
from tarragonward_wire import async_send_http

from .answers import expect_answer
from .fault_proxy import FaultProxy
from .site import Site, SiteHost

__all__ = [
    "Balancer",
    "async_insert_proxy",
    "async_read_load",
    "async_wait_engines",
    "async_wait_idle",
    "build_completion_body",
    "make_prompt",
]

HEALTH_INTERVAL_SECONDS = 0.2
HEALTH_TIMEOUT_SECONDS = 0.5
POLL_SECONDS = 0.1


def make_prompt(name: str, min_tokens: int) -> str:
    """Return a prompt whose answer has at least min_tokens tokens."""
    for number in itertools.count():
        prompt = f"{name} {number}"
        if expect_answer(prompt, min_tokens).finish_reason == "length":
            return prompt
    raise AssertionError("unreachable")


async def async_read_load(address: Address) -> dict[str, Any] | None:
    """Return an engine's load report, or None if it does not answer."""
    try:
        answer = await async_send_http(address, "GET", "/v1/load", timeout=1.0)
        return answer.parse_json()
    except TargetError:
        return None


async def async_wait_engines(site: Site) -> None:
    """Wait until every engine answers."""
    for address in site.engines.values():
        while await async_read_load(address) is None:
            await asyncio.sleep(POLL_SECONDS)


async def async_wait_idle(site: Site, seconds: float) -> dict[str, Any]:
    """Wait until all reachable engines are idle; return the reports of busy ones."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + seconds
    while True:
        held = {}
        for name, address in site.engines.items():
            report = await async_read_load(address)
            if report and report["free_kv_tokens"] != report["kv_tokens"]:
                held[name] = report
        if not held or loop.time() > give_up_at:
            return held
        await asyncio.sleep(POLL_SECONDS)


async def async_insert_proxy(site: Site, engine: str, base: int = 0) -> FaultProxy:
    """Publish a fault proxy as an engine's address and wait until all hosts use it.

    base is the configuration number that the patch applies to.
    """
    proxy = FaultProxy(site.new_address(), site.engines[engine])
    await proxy.async_setup()
    path = f"/targets/{engine}/address"
    operation = {"op": "replace", "path": path, "value": str(proxy.address)}
    await site.async_publish(base, [operation])
    for host in site.hosts:
        while True:
            status = await site.async_query_operators(host, "/v1/status")
            if status["configuration_number"] > base:
                break
            await asyncio.sleep(POLL_SECONDS)
    return proxy


class Balancer:
    """Chooses healthy hosts round-robin.

    If no host is healthy, it chooses among all but those that refused the connection of
    their last check: a check that times out may only show that this process was late.

    failure_domains limits the choice to the hosts of these domains; empty means all.
    """

    def __init__(self, site: Site) -> None:
        self.failure_domains: frozenset[str] = frozenset()
        self._site = site
        self._healthy: dict[str, SiteHost] = dict(site.hosts)
        self._listening: dict[str, SiteHost] = dict(site.hosts)
        self._next_index = itertools.count()
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start the health checks."""
        self._task = asyncio.create_task(self._async_check_all())

    async def async_unload(self) -> None:
        """Stop the health checks."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def choose(self) -> SiteHost:
        """Return the next healthy host, or one that may be."""
        candidates = self._healthy or self._listening or self._site.hosts
        hosts = [
            host
            for host in candidates.values()
            if not self.failure_domains or host.failure_domain in self.failure_domains
        ]
        return hosts[next(self._next_index) % len(hosts)]

    async def _async_check_all(self) -> None:
        # Each host is checked independently: with rounds that wait for the slowest
        # check, a hanging host would delay noticing one that drains until after its
        # drain notice.
        async with asyncio.TaskGroup() as group:
            for host in self._site.hosts.values():
                group.create_task(self._async_check(host))

    async def _async_check(self, host: SiteHost) -> None:
        while True:
            is_healthy, is_listening = await _async_check_health(host)
            for hosts, is_member in (
                (self._healthy, is_healthy),
                (self._listening, is_listening),
            ):
                if is_member:
                    hosts[host.name] = host
                else:
                    hosts.pop(host.name, None)
            await asyncio.sleep(HEALTH_INTERVAL_SECONDS)


async def _async_check_health(host: SiteHost) -> tuple[bool, bool]:
    """Return whether a host is healthy, and whether it may be listening."""
    try:
        answer = await async_send_http(
            host.operators, "GET", "/health", timeout=HEALTH_TIMEOUT_SECONDS
        )
    except TargetError as err:
        is_refused = isinstance(err.__cause__, ConnectionRefusedError)
        return False, not is_refused
    return answer.status == 200, True


def build_completion_body(site: Site, prompt: str, max_tokens: int) -> bytes:
    """Return the body of a streamed completion."""
    body = {"model": site.plan.model, "prompt": prompt, "max_tokens": max_tokens}
    return orjson.dumps({**body, "stream": True})
