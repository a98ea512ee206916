"""Set the slopes against real member tasks over loopback."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from typing import Any

from absl import logging

from tarragonward_config import Settings
from tarragonward_core import Address, HostIdentity, Metrics, new_incarnation
from tarragonward_daemon.const import HOST_LIST_SECONDS
from tarragonward_daemon.core import HostState
from tarragonward_daemon.membership import MembershipTask
from tarragonward_membership import Gossip, IndirectProbe, MemberState
from tarragonward_standins import PlatformStandIn
from tarragonward_wire import PeerServer, encode_message

from ..membership_network import FakeNetwork, NetworkPlan
from .fleet import measure_gossip
from .loopback import async_measure_loopback, build_gossip, count_bytes
from .slopes import fit_slope

__all__ = ["main"]

DOMAINS = 4
PROCESSES = 4
MEMBERS_A_PROCESS = 11
FIRST_PORT = 32_000
# The news of a start goes round for a while; the slopes are of a fleet at rest.
SETTLE_SECONDS = 45.0
WINDOW_SECONDS = 15.0
LIMIT_SECONDS = 90.0
STEP_SECONDS = 0.25
KEY = b"capacity-capacity-capacity"
MICROSECONDS = 1e6
READ_REQUEST_BYTES = 140.0


def main() -> int:
    """Run the check, or one of its processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--child", type=int)
    parser.add_argument("--platform", type=Address.parse)
    options = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    if options.child is not None:
        asyncio.run(_Child(options.child, options.platform).async_run())
    else:
        asyncio.run(_async_check())
    return 0


def _build_address(process: int, number: int) -> Address:
    return Address("127.0.0.1", FIRST_PORT + process * MEMBERS_A_PROCESS + number)


def _build_list() -> list[dict[str, Any]]:
    """Return the list: each process is one rack, its hosts in all domains."""
    return [
        {
            "kind": "entry",
            "name": f"host-{process}-{number}",
            "address": str(_build_address(process, number)),
            "failure_domain": f"domain-{number % DOMAINS}",
            "region": "local",
            "state": "live",
        }
        for process in range(PROCESSES)
        for number in range(MEMBERS_A_PROCESS)
    ]


class _Child:
    """Member tasks of one process; it answers the parent on standard output."""

    def __init__(self, process: int, platform: Address) -> None:
        self._process = process
        self._platform = platform
        self._tasks: list[MembershipTask] = []

    async def async_run(self) -> None:
        with count_bytes() as count:
            for number in range(MEMBERS_A_PROCESS):
                await self._async_add(number)
            begin = time.monotonic()
            every = PROCESSES * MEMBERS_A_PROCESS
            await self._async_wait(lambda task: task.count_live_hosts() == every)
            _say("joined", seconds=time.monotonic() - begin)
            await asyncio.sleep(SETTLE_SECONDS)
            core, sent = time.process_time(), count.written
            await asyncio.sleep(WINDOW_SECONDS)
            _say(
                "window",
                core=(time.process_time() - core) / WINDOW_SECONDS / MEMBERS_A_PROCESS,
                sent=(count.written - sent) / WINDOW_SECONDS / MEMBERS_A_PROCESS,
            )
            line = await asyncio.to_thread(sys.stdin.readline)
            began = float(line)
            left = every - MEMBERS_A_PROCESS
            await self._async_wait(lambda task: _count_dead(task) == every - left)
            _say("dead", seconds=time.time() - began)
            await asyncio.sleep(LIMIT_SECONDS)

    async def _async_add(self, number: int) -> None:
        address = _build_address(self._process, number)
        settings = Settings(
            name=f"host-{self._process}-{number}",
            region="local",
            failure_domain=f"domain-{number % DOMAINS}",
            callers=address,
            operators=address,
            peers=address,
            configuration=(self._platform,),
            host_list=(self._platform,),
            peer_key=KEY,
            operator_token="0" * 16,
        )
        identity = HostIdentity(address, new_incarnation())
        task = MembershipTask(HostState(settings, identity))

        async def async_handle(peer: HostIdentity, message: Any) -> Any:
            if isinstance(message, Gossip):
                return task.handle_gossip(peer, message)
            assert isinstance(message, IndirectProbe)
            return await task.async_help(message)

        server = PeerServer(identity, KEY, async_handle, Metrics())
        await server.async_setup()
        await task.async_setup()
        self._tasks.append(task)

    async def _async_wait(self, holds: Any) -> None:
        async with asyncio.timeout(LIMIT_SECONDS):
            while not all(map(holds, self._tasks)):
                await asyncio.sleep(STEP_SECONDS)


def _count_dead(task: MembershipTask) -> int:
    members = task.membership.get_members()
    return sum(member.state is MemberState.DEAD for member in members)


def _say(what: str, **values: float) -> None:
    print(json.dumps({"what": what, **values}), flush=True)


async def _async_check() -> None:
    document = {"client_accounts": {}, "models": {}, "services": {}, "targets": {}}
    platform = PlatformStandIn(Address("127.0.0.1", 0), document, _build_list())
    await platform.async_setup()
    children = [await _async_start(n, platform.address) for n in range(PROCESSES)]
    try:
        joined = [await _async_read(child) for child in children]
        windows = [await _async_read(child) for child in children]
        children[0].kill()
        began = f"{time.time()}\n".encode()
        for child in children[1:]:
            child.stdin.write(began)
        dead = [await _async_read(child) for child in children[1:]]
    finally:
        for child in children:
            if child.returncode is None:
                child.kill()
            await child.wait()
        await platform.async_unload()
    measured = {
        "bytes_sent_per_s": _mean(windows, "sent"),
        "core_percent": 100 * _mean(windows, "core"),
        "join_seconds": max(item["seconds"] for item in joined),
        "rack_dead_seconds": max(item["seconds"] for item in dead),
    }
    predicted = await _async_predict()
    for name, value in measured.items():
        factor = value / predicted[name]
        print(
            f"{name}: measured {value:.4g}, predicted {predicted[name]:.4g},"
            f" out by {factor:.2f}"
        )


async def _async_start(number: int, platform: Address) -> Any:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tarragonward_bench.capacity.check",
        "--child",
        str(number),
        "--platform",
        str(platform),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )


async def _async_read(child: Any) -> dict[str, float]:
    line = await asyncio.wait_for(child.stdout.readline(), 2 * LIMIT_SECONDS)
    return json.loads(line)


def _mean(items: list[dict[str, float]], key: str) -> float:
    return sum(item[key] for item in items) / len(items)


async def _async_predict() -> dict[str, float]:
    """Return what the slopes and the fake network give for this many members."""
    members = PROCESSES * MEMBERS_A_PROCESS
    slopes = {s.name: s for s in await async_measure_loopback(fit_slope)}
    load = measure_gossip(members, 0, has_demand=False)
    empty = len(encode_message(build_gossip(0)))
    overhead = slopes["exchange_bytes"].at(0) / 2 - empty
    reads = 1 / HOST_LIST_SECONDS
    core = (
        load.decision_core_seconds
        + (
            load.median_messages_sent * slopes["exchange_cpu"].at(0) / 2
            + reads * slopes["poll_cpu"].slope
        )
        / MICROSECONDS
    )
    join, dead = _predict_convergence()
    return {
        "bytes_sent_per_s": load.median_bytes_sent
        + load.median_messages_sent * overhead
        + reads * READ_REQUEST_BYTES,
        "core_percent": 100 * core,
        "join_seconds": join,
        "rack_dead_seconds": dead,
    }


def _predict_convergence() -> tuple[float, float]:
    """Return how long a start and a rack's death take on the fake network."""
    plan = NetworkPlan(tuple("abcd"), MEMBERS_A_PROCESS)
    network = FakeNetwork(plan, seed=1)
    every = len(network.hosts)
    while any(
        host.membership.count_live_hosts() < every for host in network.hosts.values()
    ):
        network.run(STEP_SECONDS)
    join = network.now
    network.run(WINDOW_SECONDS)
    rack = [h for n, h in enumerate(network.hosts.values()) if n % DOMAINS == 0]
    for host in rack:
        network.kill(host)
    begin = network.now
    while network.find_disagreement() is not None:
        network.run(STEP_SECONDS)
    return join, network.now - begin


if __name__ == "__main__":
    sys.exit(main())
