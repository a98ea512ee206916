"""Run a small deployment of the platform: store, runners and real entry hosts."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import sys
from collections import defaultdict
from collections.abc import Coroutine, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from tarragonward_core import Address

from .host_process import HOST_LAUNCHER, LINKS_VARIABLE
from .platform_addresses import build_ip, find_ports
from .platform_checker import Checker, ConfigVersion
from .platform_clients import ClientRequest, PlatformClient
from .platform_concentration import Concentration
from .platform_domains import ZoneOperator
from .platform_engine import PassSizes
from .platform_links import CutKind, HostLinks
from .platform_model_runner import ModelRunner, RunnersByAddress
from .platform_readiness import async_ask_ready, async_wait_ready
from .platform_routes import (
    HOST_NAME,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    ROUTES,
    describe_model_service,
    describe_plain_service,
    describe_route,
)
from .platform_runner import Arrival, PlatformRunner, RunnerPlan
from .platform_settings import BOUNDS, LIMITS, render_settings
from .platform_store import PlatformStore, StoreEndpoint, StoreFault

__all__ = [
    "HOST_NAME",
    "MODEL_SERVICE",
    "PLAIN_SERVICE",
    "ROUTES",
    "PlatformHost",
    "PlatformPlan",
    "PlatformSite",
    "describe_route",
]

HOST_MODULE = "tarragonward_platform"
SETTINGS_VARIABLE = "TARRAGONWARD_BOOT"
BALANCER_INTERVAL_SECONDS = 0.5
FAILED_CHECKS_UNTIL_REMOVAL = 2
EXPIRY_SECONDS = 3.6
COLD_SECONDS = 3.0
DRAIN_SECONDS = 3.0
STOP_SECONDS = 12.0
# A crashed runner is replaced by a new incarnation after a delay in this range.
CRASH_RESTART_SECONDS = (1.5, 3.0)
CONFIG_KEY = "op/config"
# Streams count their events, or the tokens in them.
EVENT_STEPS = (1, 46)


@dataclass(frozen=True)
class PlatformPlan:
    """Size of a deployment; each zone gets hosts, model runners and plain runners."""

    zones: tuple[str, ...] = ("a", "b", "c")
    hosts_per_zone: int = 1
    models_per_zone: int = 2
    plain_per_zone: int = 1
    sizes: PassSizes = field(default_factory=PassSizes)
    seed: int = 1
    accounts: int = 3
    plain_work_seconds: float = 0.03
    # The region of each zone; zones that are missing are in region "calm".
    regions: Mapping[str, str] = field(default_factory=dict)
    cold_per_second: float = 0.0


@dataclass
class PlatformHost:
    """An entry host's addresses, its own endpoint of the store, and its process."""

    name: str
    zone: str
    front: Address
    ready: Address
    control: Address
    peer_port: int
    store_endpoint: StoreEndpoint
    settings: Path
    links: HostLinks
    process: asyncio.subprocess.Process | None = None
    failed_checks: int = 0

    @property
    def is_in_rotation(self) -> bool:
        """Return whether the load balancer sends new connections to it."""
        return self.failed_checks < FAILED_CHECKS_UNTIL_REMOVAL


class PlatformSite:
    """A deployment; records what clients and runners saw for the checker."""

    def __init__(self, folder: Path, plan: PlatformPlan, template: Path) -> None:
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.store = PlatformStore(plan.seed)
        self.arrivals: list[Arrival] = []
        self.config_versions: list[ConfigVersion] = []
        self.hosts: list[PlatformHost] = []
        self.models: list[ModelRunner] = []
        self.plain: list[PlatformRunner] = []
        self.clients: list[PlatformClient] = []
        self.concentrations: list[Concentration] = []
        # The home regions of tenants that have some.
        self.homes: dict[str, frozenset[str]] = {}
        self._concentrated_share = 0.0
        # Segments of prompts that crash model runners.
        self.crashing_segments: set[str] = set()
        self.tenants = {f"town{n}": f"key{n}" for n in range(plan.accounts)}
        self.version = 0
        self._document: dict[str, Any] = {}
        self._folder = folder
        self._template = template.read_text(encoding="utf-8")
        self._runners_by_address: RunnersByAddress = {}
        self._seeds = itertools.count(plan.seed * 1_000)
        # A generator of its own, so that other draws stay the same.
        self._event_step = random.Random(plan.seed).choice(EVENT_STEPS)
        self._balancer_task: asyncio.Task[None] | None = None
        self._runners: list[PlatformRunner] = []
        self.operator = ZoneOperator(self.store, self._runners)
        self._replacement_tasks: set[asyncio.Task[None]] = set()
        self._ports: list[int] = []
        self._host_starts: dict[Address, list[float]] = defaultdict(list)

    async def async_setup(self) -> None:
        """Start everything and wait until every host is ready."""
        self.publish(list(ROUTES))
        for zone in self.plan.zones:
            for _ in range(self.plan.models_per_zone):
                self.models.append(await self.async_add_model(zone))
            for _ in range(self.plan.plain_per_zone):
                self.plain.append(await self.async_add_plain(zone))
        for zone in self.plan.zones:
            for number in range(self.plan.hosts_per_zone):
                self.hosts.append(await self._async_allocate_host(zone, number))
        for host in self.hosts:
            await self.async_start_host(host)
        for host in self.hosts:
            assert host.process is not None
            read_log = partial(self.read_log, host)
            await async_wait_ready(host.ready, host.process, read_log)
        self._balancer_task = asyncio.create_task(self._async_balance())

    async def async_unload(self) -> None:
        """Stop everything."""
        if self._balancer_task is not None:
            self._balancer_task.cancel()
        for task in self._replacement_tasks:
            task.cancel()
        for client in self.clients:
            client.close()
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        for runner in self._runners:
            await runner.async_unload()
        await self.store.async_unload()

    def publish(self, routes: list[dict[str, Any]]) -> None:
        """Write the next version of the configuration to the store."""
        self.version += self.random.randint(1, 3)
        cold = self.plan.cold_per_second
        services = [
            describe_model_service(self.plan.sizes, COLD_SECONDS, cold),
            describe_plain_service(COLD_SECONDS, cold),
        ]
        tenants = [
            {"name": n, "apiKeys": [k], "homeRegions": sorted(self.homes.get(n, ()))}
            for n, k in self.tenants.items()
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
            "tenants": tenants,
        }
        self._document = document
        self.store.put(CONFIG_KEY, document)
        by_prefix = {
            route["prefix"]: frozenset(
                part["service"] for part in route.get("split", [route])
            )
            for route in routes
        }
        by_key = {key: name for name, key in self.tenants.items()}
        now = asyncio.get_running_loop().time()
        self.config_versions.append(ConfigVersion(now, by_prefix, by_key))

    async def async_restore_store(
        self, away_seconds: float, age_seconds: float, rewrite_seconds: float
    ) -> None:
        """Take the store away, and bring it back from a copy of an earlier time.

        The operator and the runners write again what is lost, within rewrite_seconds.
        Entries of runners that have ended expire.
        """
        document = self._document
        self.store.fault = StoreFault.RESETS
        await asyncio.sleep(away_seconds)
        self.store.restore_copy(age_seconds + away_seconds)
        self.store.fault = StoreFault.NONE
        await asyncio.sleep(rewrite_seconds / 2)
        self.store.put(CONFIG_KEY, document)
        await asyncio.sleep(rewrite_seconds / 2)
        alive = {f"servers/{runner.id}": runner for runner in self._runners}
        for runner in self._runners:
            if runner.is_registered:
                runner.write_again()
        await asyncio.sleep(EXPIRY_SECONDS)
        for key in self.store.list_keys():
            if key in alive and not alive[key].is_registered:
                self.store.delete(key)

    def check(self) -> list[tuple[str, str]]:
        """Return the violations found in all requests so far."""
        reservations = [
            r for model in self.models for r in model.reservation_log.records
        ]
        now = asyncio.get_running_loop().time()
        limits = [period for runner in self._runners for period in runner.limits]
        return Checker(
            self.requests,
            self.arrivals,
            self.config_versions,
            reservations,
            limits,
            now,
            self._host_starts,
            [cut for host in self.hosts for cut in host.links.cuts],
            self.concentrations,
            self.operator.evacuations,
            [period for runner in self._runners for period in runner.cold_periods],
            self.homes,
            self.plan.regions,
        ).check()

    @property
    def requests(self) -> list[ClientRequest]:
        """Return the requests of all clients."""
        return [request for client in self.clients for request in client.requests]

    def add_client(self, zone: str | None = None) -> PlatformClient:
        """Add a client; the balancer chooses a host for each of its connections."""
        key = self.random.choice(list(self.tenants.values()))
        client = PlatformClient(
            lambda is_retry: self._choose_front(zone, is_retry), key, next(self._seeds)
        )
        self.clients.append(client)
        return client

    @property
    def runners(self) -> tuple[PlatformRunner, ...]:
        """Return all runners so far."""
        return tuple(self._runners)

    async def async_add_plain(self, zone: str) -> PlatformRunner:
        """Start one more runner of the plain service."""
        plan = RunnerPlan(
            PLAIN_SERVICE,
            zone,
            work_seconds=self.plan.plain_work_seconds,
            cold_per_second=self.plan.cold_per_second,
        )
        return await self._async_add_plain(plan)

    async def _async_add_plain(
        self, plan: RunnerPlan, address: Address | None = None
    ) -> PlatformRunner:
        runner = PlatformRunner(
            plan, self.store, self.arrivals, next(self._seeds), address
        )
        await self._async_start_runner(runner)
        return runner

    async def async_add_model(self, zone: str) -> ModelRunner:
        """Start one more model runner."""
        slots = self.plan.sizes.slots
        plan = RunnerPlan(
            MODEL_SERVICE,
            zone,
            slots,
            queue=32,
            max_connections=270,
            cold_per_second=self.plan.cold_per_second,
        )
        return await self._async_add_model(plan)

    async def _async_add_model(
        self, plan: RunnerPlan, address: Address | None = None
    ) -> ModelRunner:
        runner = ModelRunner(
            plan,
            self.store,
            self.arrivals,
            next(self._seeds),
            self.plan.sizes,
            self._runners_by_address,
            address,
            event_step=self._event_step,
        )
        await self._async_start_runner(runner)
        return runner

    async def async_start_again(self, lost: PlatformRunner) -> None:
        """Start a new incarnation of a crashed runner, at its address if it is free."""
        try:
            await self._async_start_at(lost, lost.address)
        except OSError:
            await self._async_start_at(lost, None)

    async def _async_start_at(
        self, lost: PlatformRunner, address: Address | None
    ) -> None:
        if isinstance(lost, ModelRunner):
            self.models.append(await self._async_add_model(lost.plan, address))
        else:
            self.plain.append(await self._async_add_plain(lost.plan, address))

    def keep_until_unload(self, tasks: Iterable[asyncio.Task[None]]) -> None:
        """Cancel tasks at the end of the site, if they are not done by then."""
        for task in tasks:
            self._replacement_tasks.add(task)
            task.add_done_callback(self._replacement_tasks.discard)

    async def _async_start_runner(self, runner: PlatformRunner) -> None:
        runner.crashing_segments = self.crashing_segments
        runner.on_crash.append(self._replace)
        await runner.async_setup()
        self._runners.append(runner)
        for host in self.hosts:
            host.links.add_runner(runner.address)

    def crash_runner(self, runner: PlatformRunner) -> None:
        """Crash a runner now; a new one replaces it after a while."""
        self._start_task(runner.async_crash())
        self._replace(runner)

    def release_runner(self, runner: PlatformRunner) -> None:
        """Let a runner leave as planned."""
        self._start_task(runner.async_drain(DRAIN_SECONDS))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.keep_until_unload([asyncio.create_task(coroutine)])

    def _replace(self, crashed: PlatformRunner) -> None:
        self._start_task(self._async_replace(crashed))

    async def _async_replace(self, crashed: PlatformRunner) -> None:
        await asyncio.sleep(self.random.uniform(*CRASH_RESTART_SECONDS))
        if isinstance(crashed, ModelRunner):
            self.models.append(await self.async_add_model(crashed.plan.zone))
        else:
            self.plain.append(await self.async_add_plain(crashed.plan.zone))

    async def async_start_host(self, host: PlatformHost) -> None:
        """Render a host's settings and start its process."""
        host.settings.write_text(
            render_settings(self._template, self._build_settings_fields(host)),
            encoding="utf-8",
        )
        environment = {
            **os.environ,
            SETTINGS_VARIABLE: str(host.settings),
            LINKS_VARIABLE: str(host.links.path),
        }
        self._host_starts[host.front].append(asyncio.get_running_loop().time())
        with (self._folder / f"{host.name}.log").open("ab") as log:
            host.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", HOST_LAUNCHER, HOST_MODULE),
                env=environment,
                stderr=log,
            )

    async def async_stop_host(self, host: PlatformHost) -> int:
        """Stop a host as the platform does; return the exit code of its process."""
        assert host.process is not None
        host.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_SECONDS):
            return await host.process.wait()

    async def async_kill_host(self, host: PlatformHost) -> None:
        """Kill a host's process."""
        assert host.process is not None
        host.process.kill()
        await host.process.wait()

    def cut_from_runners(self, host: PlatformHost, kind: CutKind) -> None:
        """Cut a host off from all runners; callers, peers and the store reach it."""
        proxies = {each.address: each.proxy for each in self._runners if each.proxy}
        host.links.cut(proxies, kind)

    def read_log(self, host: PlatformHost) -> str:
        """Return a host's log."""
        return (self._folder / f"{host.name}.log").read_text(encoding="utf-8")

    def concentrate(self, share: float) -> None:
        """Send this share of new connections to one host in rotation; 0.0 ends it."""
        now = asyncio.get_running_loop().time()
        self._concentrated_share = share
        if share:
            self.concentrations.append(Concentration(now))
        elif self.concentrations:
            self.concentrations[-1].ended_at = now

    def _choose_front(self, zone: str | None, is_retry: bool) -> Address:
        if not is_retry and self.random.random() < self._concentrated_share:
            hosts = [host for host in self.hosts if host.is_in_rotation]
            return (hosts or self.hosts)[0].front
        near = [host for host in self.hosts if zone in (None, host.zone)]
        ready = [host for host in near if host.is_in_rotation]
        if len(ready) * 2 < len(near):
            ready = near
        return self.random.choice(ready).front

    async def _async_balance(self) -> None:
        while True:
            await asyncio.sleep(BALANCER_INTERVAL_SECONDS)
            for host in self.hosts:
                is_ready = await async_ask_ready(host.ready)
                host.failed_checks = 0 if is_ready else host.failed_checks + 1

    async def _async_allocate_host(self, zone: str, number: int) -> PlatformHost:
        name = f"front-{zone}-{number + 1}"
        ip = build_ip(len(self.hosts))
        if not self._ports:
            # All hosts must use the same ports.
            count = len(self.plan.zones) * self.plan.hosts_per_zone
            self._ports = find_ports([build_ip(n) for n in range(count)], 4)
        front, ready, control, peer = self._ports
        return PlatformHost(
            name,
            zone,
            Address(ip, front),
            Address(ip, ready),
            Address(ip, control),
            peer,
            await self.store.async_add_endpoint(),
            self._folder / f"{name}.toml",
            HostLinks(Address(ip, front), self._folder / f"{name}.links"),
        )

    def _build_settings_fields(self, host: PlatformHost) -> dict[str, Any]:
        return {
            "node": host.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": host.front.host,
            "zone": host.zone,
            "region": "calm",
            "zones": {
                zone: self.plan.regions.get(zone, "calm") for zone in self.plan.zones
            },
            "listen": {
                "front": str(host.front),
                "ready": str(host.ready),
                "control": str(host.control),
            },
            "internalPorts": [host.peer_port, host.peer_port],
            "seeds": [str(other.control) for other in self.hosts[:3]],
            "bootstrap": True,
            "limits": {"cores": 1, "memoryMb": 300, "maxFds": 4100},
            "discovery": "platform",
            "beatIntervalMs": 1200,
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": str(host.store_endpoint.address),
                "form": "read",
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1_048_576,
            },
        }
