"""Run a small site of real processes on one loopback address, and inject faults."""

from __future__ import annotations

import asyncio
import itertools
import os
import secrets
import signal
import sys
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from tarragonward_config import hash_token
from tarragonward_core import Address, TargetError
from tarragonward_wire import HttpAnswer, async_send_http

from . import const as c
from .fault_proxy import FaultProxy
from .host_process import HOST_LAUNCHER, LINKS_VARIABLE, write_links

__all__ = ["Site", "SiteHost", "SitePlan"]

# Below the ephemeral port range.
FIRST_PORT = 10_000
PORTS_PER_SITE = 200
SETUP_SECONDS = 20.0
MAX_LOG_EXCERPT_CHARS = 2_000
_site_numbers = itertools.count()


@dataclass(frozen=True)
class SitePlan:
    """Size and settings of a site; accounts maps names to weights."""

    failure_domains: tuple[str, ...] = ("north", "south")
    hosts_per_domain: int = 2
    engines_per_domain: int = 2
    services_per_domain: int = 1
    kv_tokens: int = c.DEFAULT_KV_TOKENS
    engine_time_scale: float = 1.0
    model: str = "planogram-1"
    context_tokens: int = 1_200_000
    accounts: dict[str, float] = field(
        default_factory=lambda: {"shelfwise": 2.0, "camara": 1.0}
    )
    service_delay_seconds: float = 0.0
    limits: dict[str, Any] = field(default_factory=dict)
    host_module: str = "tarragonward_daemon.main"
    has_proxies: bool = False
    # Whether hosts run so that cut_from_targets() can be used.
    has_cuttable_links: bool = False
    engines_check_fencing: bool = True
    parallel_loads: int | None = None
    store_bytes_per_second: float = 0.0
    engine_bytes_per_second: float = 0.0
    # Prompts that hold this crash each engine that begins to run them.
    crash_text: str = ""


@dataclass(frozen=True)
class SiteHost:
    """One entry host's name and addresses."""

    name: str
    failure_domain: str
    callers: Address
    operators: Address
    peers: Address


class Site:
    """The processes of a site: platform, engines, services and entry hosts.

    The loopback address is derived from the process id and each process has a fixed
    port, so concurrent sites do not collide.
    """

    def __init__(self, folder: Path, plan: SitePlan) -> None:
        self.folder = folder
        self.plan = plan
        self.operator_token = secrets.token_hex(16)
        self.tokens = {name: secrets.token_hex(16) for name in plan.accounts}
        pid = os.getpid()
        self._ip = f"127.{16 + (pid >> 16) % 200}.{(pid >> 8) % 256}.{pid % 256}"
        first = FIRST_PORT + (next(_site_numbers) % 100) * PORTS_PER_SITE
        self._ports = itertools.count(first)
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._commands: dict[str, list[str]] = {}
        self.platform = self.new_address()
        self.weight_store = self.new_address()
        self.engines: dict[str, Address] = {}
        self.services: dict[str, Address] = {}
        self.hosts: dict[str, SiteHost] = {}
        self._domains: dict[str, str] = {}
        self._peer_listen_addresses: dict[str, Address] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self._allocate_addresses()

    def new_address(self) -> Address:
        """Return an unused address of this site."""
        return Address(self._ip, next(self._ports))

    def _allocate_addresses(self) -> None:
        plan = self.plan
        for domain in plan.failure_domains:
            for number in range(1, plan.engines_per_domain + 1):
                self._add_target(self.engines, f"engine-{domain}-{number}", domain)
            for number in range(1, plan.services_per_domain + 1):
                self._add_target(self.services, f"app-{domain}-{number}", domain)
            for number in range(1, plan.hosts_per_domain + 1):
                name = f"entry-{domain}-{number}"
                addresses = (self.new_address() for _ in range(3))
                self.hosts[name] = SiteHost(name, domain, *addresses)
        if plan.has_proxies:
            self._create_proxies()

    def _create_proxies(self) -> None:
        """Create fault proxies in front of services, host peers and the platform.

        They are named NAME, peers-HOST and platform-HOST, and run in this process.
        """
        for name, address in self.services.items():
            self.proxies[name] = FaultProxy(self.new_address(), address)
        for name, host in self.hosts.items():
            self._peer_listen_addresses[name] = self.new_address()
            self.proxies[f"peers-{name}"] = FaultProxy(
                host.peers, self._peer_listen_addresses[name]
            )
            self.proxies[f"platform-{name}"] = FaultProxy(
                self.new_address(), self.platform
            )

    def _add_target(self, kind: dict[str, Address], name: str, domain: str) -> None:
        kind[name] = self.new_address()
        self._domains[name] = domain

    def build_document(self) -> dict[str, Any]:
        """Return the initial configuration that the platform publishes."""
        plan = self.plan
        engines = {
            name: {
                "kind": "engine",
                "address": str(address),
                "failure_domain": self._domains[name],
                "models": [plan.model],
                "kv_tokens": plan.kv_tokens,
                "checks_fencing": plan.engines_check_fencing,
            }
            for name, address in self.engines.items()
        }
        services = {
            name: {
                "kind": "service",
                "address": str(self._get_published_address(name, address)),
                "failure_domain": self._domains[name],
                "service": "approvals",
            }
            for name, address in self.services.items()
        }
        operations = {
            "approve": {"idempotent": False, "not_run_statuses": [429]},
            "look-up": {"idempotent": True},
        }
        return {
            "client_accounts": {
                name: {"token_sha256": [hash_token(token)], "weight": weight}
                for (name, weight), token in zip(
                    plan.accounts.items(), self.tokens.values(), strict=True
                )
            },
            "models": {plan.model: {"context_tokens": plan.context_tokens}},
            "services": {"approvals": {"operations": operations}},
            "targets": {**engines, **services},
            **self._build_weight_store(),
        }

    def _get_published_address(self, name: str, address: Address) -> Address:
        proxy = self.proxies.get(name)
        return address if proxy is None else proxy.address

    def _build_weight_store(self) -> dict[str, Any]:
        parallel = self.plan.parallel_loads
        return (
            {} if parallel is None else {"weight_store": {"parallel_loads": parallel}}
        )

    def build_host_list(self) -> list[dict[str, Any]]:
        """Return the platform's host list."""
        entries = [
            _build_host_entry("entry", h.name, h.peers, h.failure_domain)
            for h in self.hosts.values()
        ]
        targets = [
            _build_host_entry("target", name, address, self._domains[name])
            for name, address in {**self.engines, **self.services}.items()
        ]
        return entries + targets

    async def async_setup(self) -> None:
        """Write the files, start all processes and wait until they serve."""
        self._write_files()
        self._build_commands()
        if self.plan.has_cuttable_links:
            for name in self.hosts:
                self.restore_links(name)
                python, option, *module = self._commands[name]
                self._commands[name] = [python, option, HOST_LAUNCHER, *module]
        await asyncio.gather(*(proxy.async_setup() for proxy in self.proxies.values()))
        # A task group, unlike gather, starts no more processes once one has failed.
        async with asyncio.TaskGroup() as group:
            for name in self._commands:
                group.create_task(self.async_start(name))
        # A host can be healthy before a slow target listens; the first requests of a
        # test would then fail with "every attempt failed" on a busy machine.
        targets = [*self.engines.values(), *self.services.values()]
        await asyncio.gather(*(self.async_wait_listening(a) for a in targets))
        await asyncio.gather(*(self.async_wait_healthy(name) for name in self.hosts))

    async def async_unload(self) -> None:
        """Kill all remaining processes and stop the proxies."""
        async with AsyncExitStack() as stack:
            for name in list(self._processes):
                stack.push_async_callback(self.async_kill, name)
            for proxy in self.proxies.values():
                stack.push_async_callback(proxy.async_unload)

    async def async_start(self, name: str) -> None:
        """Start or restart a process of the site."""
        log = (self.folder / f"{name}.log").open("ab")
        links = {LINKS_VARIABLE: str(self._get_links_path(name))}
        with log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                *self._commands[name], stdout=log, stderr=log, env=os.environ | links
            )

    def cut_from_targets(self, name: str, is_silent: bool) -> None:
        """Cut a host's new connections to all targets: they hang, or are refused."""
        targets = [*self.engines.values(), *self.services.values()]
        write_links(self._get_links_path(name), self._ip, targets, is_silent)

    def restore_links(self, name: str) -> None:
        """End the cut of a host's connections."""
        write_links(self._get_links_path(name), self._ip)

    def _get_links_path(self, name: str) -> Path:
        return self.folder / f"{name}.links"

    def count_crashed(self) -> int:
        """Return how many processes have ended by themselves."""
        ends = (process.returncode for process in self._processes.values())
        return sum(code is not None for code in ends)

    async def async_kill(self, name: str) -> None:
        """Kill a process, also if it is stopped by SIGSTOP."""
        process = self._processes.pop(name, None)
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()

    async def async_terminate(self, name: str, timeout: float) -> int:
        """Send SIGTERM and return the exit code; raise TimeoutError."""
        process = self._processes[name]
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(timeout):
            code = await process.wait()
        self._processes.pop(name, None)
        return code

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, such as SIGSTOP to freeze it."""
        self._processes[name].send_signal(number)

    async def async_wait_listening(self, address: Address) -> None:
        """Wait until a process of the site answers HTTP requests."""
        async with asyncio.timeout(SETUP_SECONDS):
            while True:
                try:
                    await async_send_http(address, "GET", "/", timeout=1.0)
                    return
                except TargetError:
                    await asyncio.sleep(0.05)

    async def async_wait_healthy(self, name: str) -> None:
        """Wait until an entry host's health check passes."""
        address = self.hosts[name].operators
        async with asyncio.timeout(SETUP_SECONDS):
            while True:
                self._check_running(name)
                try:
                    answer = await async_send_http(
                        address, "GET", "/health", timeout=1.0
                    )
                    if answer.status == 200:
                        return
                except TargetError:
                    pass
                await asyncio.sleep(0.05)

    def _check_running(self, name: str) -> None:
        """Raise RuntimeError with the end of the log if a process has ended."""
        process = self._processes.get(name)
        if process is not None and process.returncode is not None:
            log = (self.folder / f"{name}.log").read_text("utf-8", "replace")
            raise RuntimeError(f"{name} ended: {log[-MAX_LOG_EXCERPT_CHARS:]}")

    async def async_query_operators(
        self, name: str, path: str, method: str = "GET"
    ) -> Any:
        """Send a request to an operator route of a host and return the JSON."""
        headers = {"authorization": f"Bearer {self.operator_token}"}
        answer = await async_send_http(
            self.hosts[name].operators, method, path, headers=headers, timeout=5.0
        )
        return answer.parse_json()

    async def async_publish(self, base: int, operations: list[dict[str, Any]]) -> int:
        """Publish a patch through the platform and return its sequence."""
        answer = await self._async_platform(
            "POST",
            "/v1/configuration/patches",
            {"base": base, "operations": operations},
        )
        return answer.parse_json()["sequence"]

    async def async_set_platform_faults(self, **faults: Any) -> None:
        """Set the platform's faults: configuration_down, stale_at."""
        await self._async_platform("PUT", "/v1/faults", faults)

    async def async_set_hosts(self, hosts: list[dict[str, Any]]) -> None:
        """Replace the platform's host list."""
        await self._async_platform("PUT", "/v1/hosts", {"hosts": hosts})

    async def _async_platform(self, method: str, path: str, body: Any) -> HttpAnswer:
        return await async_send_http(
            self.platform, method, path, body=orjson.dumps(body), timeout=5.0
        )

    def _write_files(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "peer.key").write_text(secrets.token_hex(32))
        (self.folder / "operator.token").write_text(self.operator_token)
        document = orjson.dumps(self.build_document())
        (self.folder / "document.json").write_bytes(document)
        hosts = orjson.dumps({"hosts": self.build_host_list()})
        (self.folder / "hosts.json").write_bytes(hosts)
        for host in self.hosts.values():
            self._write_settings(host)

    def _write_settings(self, host: SiteHost) -> None:
        limits = "\n".join(f"{key} = {value}" for key, value in self._limits().items())
        listen = self._peer_listen_addresses.get(host.name, host.peers)
        platform = self._get_published_address(f"platform-{host.name}", self.platform)
        (self.folder / f"{host.name}.toml").write_text(
            f"""\
[host]
name = "{host.name}"
region = "local"
failure_domain = "{host.failure_domain}"

[addresses]
callers = "{host.callers}"
operators = "{host.operators}"
peers = "{host.peers}"
peers_listen = "{listen}"

[platform]
configuration = ["{platform}"]
host_list = ["{platform}"]

[credentials]
peer_key_file = "peer.key"
operator_token_file = "operator.token"

[limits]
{limits}
"""
        )

    def _limits(self) -> dict[str, Any]:
        return {"drain_timeout_seconds": 30, **self.plan.limits}

    def _build_commands(self) -> None:
        folder, plan = self.folder, self.plan
        self._commands["platform"] = _run_module(
            "tarragonward_standins.platform",
            address=self.platform,
            document=folder / "document.json",
            hosts=folder / "hosts.json",
        )
        for name, address in self.engines.items():
            self._commands[name] = _run_module(
                "tarragonward_standins.engine",
                address=address,
                kv_tokens=plan.kv_tokens,
                time_scale=plan.engine_time_scale,
            )
            if plan.crash_text:
                self._commands[name] += ["--crash-text", plan.crash_text]
            if not plan.engines_check_fencing:
                self._commands[name].append("--ignores-fencing")
            if plan.store_bytes_per_second:
                self._commands[name] += ["--weight-store", str(self.weight_store)]
        if plan.store_bytes_per_second:
            self._commands["weights"] = _run_module(
                "tarragonward_standins.weight_store",
                address=self.weight_store,
                store_bytes_per_second=plan.store_bytes_per_second,
                engine_bytes_per_second=plan.engine_bytes_per_second,
            )
        for name, address in self.services.items():
            self._commands[name] = _run_module(
                "tarragonward_standins.service",
                address=address,
                delay_seconds=plan.service_delay_seconds,
            )
        for name in self.hosts:
            self._commands[name] = _run_module(
                plan.host_module, settings=folder / f"{name}.toml"
            )


def _run_module(module: str, **options: Any) -> list[str]:
    command = [sys.executable, "-m", module]
    for name, value in options.items():
        command += [f"--{name.replace('_', '-')}", str(value)]
    return command


def _build_host_entry(
    kind: str, name: str, address: Address, domain: str
) -> dict[str, Any]:
    return {
        "kind": kind,
        "name": name,
        "address": str(address),
        "failure_domain": domain,
        "region": "local",
        "state": "live",
    }
