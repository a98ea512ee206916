"""Small stand-ins of the platform, for the cases of the second review.

They use the standard library alone and follow the users' pages: a store that can be
read and watched, runners that register there, the balancer's question, and clients that
write raw requests. The hosts are the project's own program, started by the command of
deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import base64
import importlib.util
import itertools
import json
import os
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST_HEADER = "ficu95.example"
TENANTS = {"hule930": "n2ctnfzs989anu6wsjnb", "reno411": "anfqasnmgkcuyj8pjbvk"}
KEY = TENANTS["hule930"]
LIMITS = {
    "headerBytes": 16384,
    "bodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
# As in the users' pages for shelfwise-jordan.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchupS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "applyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 106,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 1500,
    "maxHoldMs": 20000,
    "freeMs": 4000,
    "idleMaxMs": 9000,
}
BEAT_SECONDS = 1.2
MISSED_BEATS = 3
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CONNECTION_ERRORS = (OSError, ValueError, asyncio.IncompleteReadError)
Headers = dict[str, str]
Answer = tuple[int, Headers, bytes]


class CaseError(Exception):
    """The case could not be run."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, *words: object) -> None:
        """Write a line."""
        at = time.monotonic() - self._began
        print(f"{at:8.3f}", *words, file=self._file, flush=True)


def is_troubled() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on all these addresses, for TCP and UDP."""
    ports: list[int] = []
    for port in range(20_000 + os.getpid() % 4_000, 32_000):
        if len(ports) == count:
            return ports
        if all(_is_free(ip, port) for ip in ips):
            ports.append(port)
    raise CaseError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


async def async_read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the headers, names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def async_read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        body += (await reader.readexactly(size + 2))[:size]
    await reader.readuntil(b"\r\n")
    return body


def build_message(first: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return a request or an answer with its length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    if body or first.startswith("HTTP/"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Server:
    """Serve the requests of each connection one after the other."""

    def __init__(self, ip: str = "127.0.0.1") -> None:
        self.ip = ip
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return IP:PORT."""
        return f"{self.ip}:{self.port}"

    async def async_start(self) -> None:
        """Listen, on the port of the last time if there was one."""
        self._server = await asyncio.start_server(
            self._async_serve, self.ip, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def async_handle(
        self,
        first: str,
        headers: Headers,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with suppress(*CONNECTION_ERRORS, asyncio.CancelledError):
                while True:
                    first, headers = await async_read_head(reader)
                    if not await self.async_handle(first, headers, reader, writer):
                        break
                    await writer.drain()
            writer.close()
        finally:
            self._writers.discard(writer)


class Proxy:
    """Pass the bytes of connections on; open ones can go silent for good."""

    def __init__(self, target: Server) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._pumps: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def async_start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def silence(self) -> int:
        """Pass nothing on any more on the open connections; return how many."""
        silenced = len(self._pumps) // 2
        for pump in self._pumps:
            pump.cancel()
        return silenced

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._pumps:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = await asyncio.open_connection(self._target.ip, self._target.port)
        self._writers |= {writer, target[1]}
        for source, sink in ((reader, target[1]), (target[0], writer)):
            pump = asyncio.create_task(self._async_pump(source, sink))
            self._pumps.add(pump)
            pump.add_done_callback(self._pumps.discard)

    async def _async_pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        with suppress(*CONNECTION_ERRORS):
            while data := await source.read(65_536):
                sink.write(data)
                await sink.drain()
            sink.close()


class Store(Server):
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._history_from = self.revision
        self._changed = asyncio.Event()
        # While set, waiting watches hear nothing of changes.
        self.is_deaf = False

    def put(self, key: str, value: Any) -> int:
        """Write a document; return its revision."""
        self.revision += 1
        data = json.dumps(value).encode()
        known = self.items.get(key, {})
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "createRev": known.get("createRev", self.revision),
            "lease": 0,
        }
        self._add(self.items[key])
        return self.revision

    def get(self, key: str) -> Any:
        """Return a document, None if there is none."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add({"key": key, "revision": self.revision, "tombstone": True})

    def compact(self) -> None:
        """Drop the history; watches are cut."""
        self._events.clear()
        self._history_from = self.revision
        for writer in list(self._writers):
            reset(writer)

    def _add(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def async_handle(
        self,
        first: str,
        headers: Headers,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a read call."""
        await asyncio.sleep(0.004)
        path, _, text = first.split(" ")[1].partition("?")
        query = dict(part.partition("=")[::2] for part in text.split("&"))
        if path == "/kv-range":
            status, document = 200, self._list(query)
        elif path == "/kv-watch":
            status, document = await self._async_watch(query)
        else:
            status, document = 404, {}
        body = json.dumps(document).encode()
        kind = {"Content-Type": "application/json"}
        writer.write(build_message(f"HTTP/1.1 {status} -", kind, body))
        return True

    def _list(self, query: Headers) -> dict[str, Any]:
        after = query.get("after", "").replace("%2F", "/")
        items = [self.items[key] for key in sorted(self.items) if key > after]
        return {"items": items, "morePages": False, "asOf": self.revision}

    async def _async_watch(self, query: Headers) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1_000
        while True:
            if after < self._history_from:
                return 410, {}
            events = [each for each in self._events if each["revision"] > after]
            if events and not self.is_deaf:
                return 200, {"events": events, "asOf": self.revision}
            left = until - time.monotonic()
            if left <= 0:
                return 200, {"events": [], "asOf": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.05))


class Runner(Server):
    """A runner: registers itself, answers by async_run, and keeps to PROTOCOL.md."""

    _numbers = itertools.count(1)

    def __init__(
        self, store: Store, service: str, zone: str, record: Record, slots: int = 6
    ) -> None:
        super().__init__()
        self.id = f"i-{next(self._numbers):08x}"
        self.store, self.service, self.zone = store, service, zone
        self.record, self.slots = record, slots
        self.running = 0
        self.runs: list[tuple[float, str]] = []
        self.work_seconds = 0.02
        # The Unix millisecond of its start, where the runners of a site tell it.
        self.born: int | None = None
        self._beats: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Listen, and check in at the store from now on."""
        await super().async_start()
        self.check_in()
        self._beats = asyncio.create_task(self._async_beat())

    def stop(self) -> None:
        """Stop at once, as a crash does."""
        self.stop_beats()
        super().stop()

    def stop_beats(self) -> None:
        """Check in no more."""
        if self._beats is not None:
            self._beats.cancel()

    def check_in(self) -> bool:
        """Write the entry unless it is there already; return whether it was written."""
        key, entry = f"servers/{self.id}", self.describe()
        if self.store.get(key) == entry:
            return False
        self.store.put(key, entry)
        return True

    async def _async_beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            if self.check_in():
                self.record.write("runner", self.id, "has written its entry again")

    def describe(self, state: str = "ready") -> dict[str, Any]:
        """Return the runner's entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": 1,
            **({} if self.born is None else {"born": self.born}),
        }

    async def async_crash(self) -> None:
        """End without notice; the entry expires after three missed beats."""
        self.stop()
        self.record.write("runner", self.id, "crashed")
        await asyncio.sleep(BEAT_SECONDS * MISSED_BEATS)
        self.store.delete(f"servers/{self.id}")

    async def async_handle(
        self,
        first: str,
        headers: Headers,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run and answer a request."""
        request_id = headers.get("x-request-id", "")
        if "/health" in first:
            writer.write(build_message("HTTP/1.1 200 -", {"X-Instance-Id": self.id}))
            return True
        if headers.get("x-expect-instance", self.id) != self.id:
            await async_read_body(reader, headers)
            refusal = {"X-Not-Run": "1", "X-Instance-Id": self.id}
            writer.write(build_message("HTTP/1.1 421 -", refusal))
            return True
        body = await self.async_read(reader, headers)
        self.running += 1
        self.runs.append((time.monotonic(), request_id))
        self.record.write("run", request_id, "at", self.id)
        try:
            answer = await self.async_run(first, headers, body)
        finally:
            self.running -= 1
        seal = {
            "X-Request-Id": request_id,
            "X-Response-Seal": f"{self.id}.{request_id}",
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }
        writer.write(build_message("HTTP/1.1 200 -", seal, answer))
        return True

    async def async_read(self, reader: asyncio.StreamReader, headers: Headers) -> bytes:
        """Read the body of a request."""
        return await async_read_body(reader, headers)

    async def async_run(self, first: str, headers: Headers, body: bytes) -> bytes:
        """Work, and return the body of the answer."""
        await asyncio.sleep(self.work_seconds)
        return headers.get("x-request-id", "").encode() * 50


class Host:
    """An entry host: the project's program, started as the deploy file says."""

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        ports: list[int],
        seeds: list[str],
        source: str,
        folder: Path,
    ) -> None:
        self.name, self.zone, self.ip = name, zone, ip
        front, ready, control, peers = ports
        self.front = (ip, front)
        self.ready = (ip, ready)
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._fields = {
            "node": name,
            "ip": ip,
            "zone": zone,
            "zones": {"a": "calm", "b": "calm", "c": "calm"},
            "listen": {
                "front": f"{ip}:{front}",
                "ready": f"{ip}:{ready}",
                "control": f"{ip}:{control}",
            },
            "internalPorts": [peers, peers],
            "seeds": seeds,
            "bounds": BOUNDS,
            "platform": {"address": source},
        }
        self.process: asyncio.subprocess.Process | None = None

    async def async_start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text("utf-8")
        settings = _load_renderer().render_settings(template, self._fields)
        self._settings.write_text(settings, encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "TARRAGONWARD_BOOT": str(self._settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stderr=log, stdout=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def async_is_ready(self) -> bool:
        """Return whether it answers the balancer's question with 200."""
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError, IndexError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                first, _ = await async_read_head(reader)
                writer.close()
                return first.split(" ")[1] == "200"
        return False

    def read_resident_bytes(self) -> int:
        """Return the memory that the process holds."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text("utf-8")
        except OSError:
            return 0
        lines = (line.split() for line in status.splitlines())
        return sum(int(line[1]) * 1_024 for line in lines if line[0] == "VmRSS:")


def _load_renderer() -> Any:
    name = "libraries/standins/tarragonward_standins/platform_settings.py"
    spec = importlib.util.spec_from_file_location("platform_settings", ROOT / name)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def describe_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": f"r-{name}",
        "host": HOST_HEADER,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1500,
        "goalMs": 400,
        "priority": 1,
        "service": service,
        "attempts": 2 if kind == "idempotent" else 1,
        "public": False,
        **fields,
    }


def describe_service(name: str, connections: int = 110) -> dict[str, Any]:
    """Return a plain service of the configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": connections,
        "protocol": "h1",
        "tls": False,
    }


def build_configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration in full."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [
            {"name": name, "apiKeys": [key], "priority": 1}
            for name, key in TENANTS.items()
        ],
    }


class Client:
    """A client with one connection, which it keeps open."""

    _numbers = itertools.count(1)

    def __init__(self, host: Host, record: Record, key: str = KEY) -> None:
        self._host, self._record, self._key = host, record, key
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def async_send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 1500,
        **more: str,
    ) -> tuple[str, int, Headers, bytes]:
        """Send a request; return its id, and status 0 if there was no whole answer."""
        request_id = f"{next(self._numbers):016x}"
        headers = {
            "Host": HOST_HEADER,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Key": self._key,
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        message = build_message(f"{method} {path} HTTP/1.1", headers, body)
        self._record.write("sent", request_id, method, path, len(body), "bytes")
        status, answer, content = 0, {}, b""
        try:
            async with asyncio.timeout(deadline_ms / 1_000 + 0.5):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        *self._host.front
                    )
                self._writer.write(message)
                first, answer = await async_read_head(self._reader)
                content = await async_read_body(self._reader, answer)
                status = int(first.split(" ")[1])
                if answer.get("connection", "").lower() == "close":
                    self.close()
        except TimeoutError:
            status = -1
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        what = {0: "connection ended", -1: "client left"}.get(status, status)
        self._record.write("answered", request_id, what)
        return request_id, status, answer, content

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


class Site:
    """A store and a few hosts in zones a, b and c."""

    def __init__(self, folder: Path, record: Record, hosts: int = 3) -> None:
        self.record = record
        self.store = Store()
        self.hosts: list[Host] = []
        # Between each host and the store.
        self.proxies: list[Proxy] = []
        self.runners: list[Runner] = []
        self._folder, self._count = folder, hosts

    async def async_start(self) -> None:
        """Start the store and the hosts; wait until all of them are ready."""
        await self.store.async_start()
        ips = [f"127.0.{os.getpid() % 200 + 20}.{n + 1}" for n in range(self._count)]
        ports = find_ports(ips, 4)
        seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
        for number, ip in enumerate(ips):
            zone = "abc"[number % 3]
            name = f"front-{zone}-{number // 3 + 1}"
            proxy = Proxy(self.store)
            await proxy.async_start()
            self.proxies.append(proxy)
            self.hosts.append(
                Host(name, zone, ip, ports, seeds, proxy.address, self._folder)
            )

    async def async_start_hosts(self) -> None:
        """Start the hosts and wait until all of them are ready."""
        for host in self.hosts:
            await host.async_start()
        until = time.monotonic() + 15.0
        for host in self.hosts:
            while not await host.async_is_ready():
                if time.monotonic() > until or not host.is_running:
                    log = host.log.read_text("utf-8")[-2_000:]
                    raise CaseError(f"{host.name} is not ready: {log}")
                await asyncio.sleep(0.1)

    async def async_stop(self) -> None:
        """End the hosts and all servers."""
        for host in self.hosts:
            if host.is_running:
                assert host.process is not None
                host.process.kill()
                await host.process.wait()
        for server in (*self.runners, self.store, *self.proxies):
            server.stop()


def run_case(
    folder: Path, play: Callable[[Path, Record], Awaitable[int]], limit: float = 110.0
) -> int:
    """Play a case in a temporary folder; return its exit code."""
    record = Record(folder)
    if not (ROOT / "target/deps/tarragonward_platform").is_dir():
        record.write("target/deps is not built")
        return NOT_RUN

    async def async_play() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(limit):
                return await play(Path(temporary), record)

    try:
        code = asyncio.run(async_play())
    except (CaseError, OSError, TimeoutError) as err:
        record.write("not run:", repr(err))
        print("not run:", repr(err))
        return NOT_RUN
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, code)
    record.write(verdict)
    print(verdict)
    return code
