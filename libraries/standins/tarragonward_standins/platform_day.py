"""Run a seeded mix of requests, called a day, on a site and report the results."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from .platform_clients import ClientRequest, PlatformClient, RequestPlan
from .platform_runner import CRASH_PREFIX
from .platform_segments import CrashingSegments
from .platform_site import HOST_NAME, PlatformSite

__all__ = ["DayPlan", "DayReport", "PlatformDay", "build_crashing_draft"]

EVENT_TOKENS = 46
DRAFT_PROMPT_TOKENS = ((0.85, (1_000, 8_000)), (1.0, (20_000, 60_000)))
# Larger than the memory of one engine, if a site's engines are small.
HUGE_PROMPT_TOKENS = (90_000, 130_000)
SHARED_PREFIX = "5c1e07a2:40"


@dataclass(frozen=True)
class DayPlan:
    """The duration, request rates and number of clients of a day."""

    seconds: float = 5.0
    drafts_per_second: float = 12.0
    calls_per_second: float = 20.0
    clients: int = 24
    leaving_share: float = 0.0
    huge_per_second: float = 0.0
    keeps_connections: bool = True
    crashing: CrashingSegments | None = None
    seed: int = 1
    # Different requests of the idempotent route, and its share of the calls.
    distinct_lookups: int = 99
    lookup_share: float = 0.5


@dataclass
class DayReport:
    """The results of a day."""

    score: Counter[str] = field(default_factory=Counter)
    violations: list[tuple[str, str]] = field(default_factory=list)
    first_event_seconds: list[float] = field(default_factory=list)

    @property
    def is_good(self) -> bool:
        """Return whether all requests succeeded in time, without violations."""
        score = self.score
        bad = score["late"] + score["wrong"] + score["doubled"] + len(self.violations)
        return not bad and 0 < score["sent"] == score["whole"]

    def format_line(self) -> str:
        """Return the summary line of a demo."""
        names = ("sent", "whole", "late", "wrong", "doubled")
        figures = " ".join(f"{name}={self.score[name]}" for name in names)
        return f"{figures} broken_rules={len(self.violations)}"


class PlatformDay:
    """The clients and requests of one day."""

    def __init__(self, site: PlatformSite, plan: DayPlan) -> None:
        self._site = site
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._idle_clients = [self._add_client() for _ in range(plan.clients)]
        self._prompt_count = 0

    def _add_client(self) -> PlatformClient:
        client = self._site.add_client()
        client.keeps_connection = self._plan.keeps_connections
        return client

    async def async_play(self) -> DayReport:
        """Send the day's requests, wait until they end, and report."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + self._plan.seconds
        rate = self._plan.drafts_per_second + self._plan.calls_per_second
        async with asyncio.TaskGroup() as group:
            if self._plan.crashing is not None:
                group.create_task(self._async_crash(self._plan.crashing, end_at))
            while loop.time() < end_at:
                group.create_task(self._async_request(self._draw_plan()))
                await asyncio.sleep(self._random.expovariate(rate))
        return self.build_report()

    async def _async_crash(self, crashing: CrashingSegments, end_at: float) -> None:
        """Send prompts, no two alike, with segments that crash runners."""
        rng = random.Random(self._plan.seed)
        loop = asyncio.get_running_loop()
        self._site.crashing_segments.update(crashing.ids)
        await asyncio.sleep(crashing.begin_seconds)
        async with asyncio.TaskGroup() as group:
            while loop.time() < end_at:
                plan = crashing.change_plan(self._draw_draft(None), rng)
                group.create_task(self._async_request(plan))
                await asyncio.sleep(rng.expovariate(crashing.per_second))

    def build_report(self) -> DayReport:
        """Return the results of all requests so far."""
        report = DayReport(violations=self._site.check())
        for request in self._site.requests:
            self._count(report, request)
        rules = Counter(rule for rule, _ in report.violations)
        report.score["wrong"] = rules["MIXED"] + rules["ORDER"] + rules["UNASKED"]
        report.score["doubled"] = rules["TWICE"]
        return report

    def _count(self, report: DayReport, request: ClientRequest) -> None:
        report.score["sent"] += 1
        if request.is_success:
            report.score["whole"] += 1
            report.score["late"] += request.is_late
            if request.plan.kind == "stream" and request.first_event_at is not None:
                report.first_event_seconds.append(
                    request.first_event_at - request.began_at
                )
        else:
            last = request.attempts[-1]
            report.score[f"status_{last.status}"] += 1

    async def _async_request(self, plan: RequestPlan) -> None:
        # A client makes one request at a time; if all are busy, another one is added.
        client: PlatformClient = (
            self._idle_clients.pop(self._random.randrange(len(self._idle_clients)))
            if self._idle_clients
            else self._add_client()
        )
        await client.async_request(plan)
        self._idle_clients.append(client)

    def _draw_plan(self) -> RequestPlan:
        rate = self._plan.drafts_per_second + self._plan.calls_per_second
        disconnect_after_seconds = None
        if self._random.random() < self._plan.leaving_share:
            disconnect_after_seconds = self._random.uniform(0.005, 0.2)
        huge_share = self._plan.huge_per_second / rate
        if huge_share and self._random.random() < huge_share:
            return self._draw_draft(disconnect_after_seconds, HUGE_PROMPT_TOKENS)
        if self._random.random() * rate < self._plan.drafts_per_second:
            return self._draw_draft(disconnect_after_seconds)
        if self._random.random() < self._plan.lookup_share:
            number = self._random.randrange(self._plan.distinct_lookups)
            return RequestPlan(
                "/look/",
                "idempotent",
                HOST_NAME,
                f"/look/{number}?x=%2f",
                "GET",
                disconnect_after_seconds=disconnect_after_seconds,
            )
        body = self._random.randbytes(self._random.randint(10, 2_000))
        return RequestPlan(
            "/confirm/",
            "non_idempotent",
            HOST_NAME,
            "/confirm/2f",
            body=body,
            is_chunked=self._random.random() < 0.3,
            disconnect_after_seconds=disconnect_after_seconds,
        )

    def _draw_draft(
        self,
        disconnect_after_seconds: float | None,
        bounds: tuple[int, int] | None = None,
    ) -> RequestPlan:
        draw = self._random.random()
        if bounds is None:
            bounds = next(
                bounds for below, bounds in DRAFT_PROMPT_TOKENS if draw < below
            )
        prompt = self._random.randint(*bounds)
        answer = EVENT_TOKENS * self._random.randint(3, 12)
        self._prompt_count += 1
        prompt_id = f"{self._prompt_count:08x}:{prompt - 40}"
        return RequestPlan(
            "/draft/",
            "stream",
            HOST_NAME,
            "/draft/2f",
            body=self._random.randbytes(1_200),
            headers=(
                ("X-Model", "m"),
                ("X-Token-Counts", f"{prompt},{answer}"),
                ("X-Prompt-Prefix", f"{SHARED_PREFIX},{prompt_id}"),
            ),
            deadline_seconds=10.0,
            timeout_seconds=10.0,
            aim_seconds=2.0,
            prompt_id=prompt_id,
            is_resumable=True,
            disconnect_after_seconds=disconnect_after_seconds,
        )


def build_crashing_draft(rng: random.Random) -> RequestPlan:
    """Return a prompt that crashes each runner that starts to run it."""
    return RequestPlan(
        "/draft/",
        "stream",
        HOST_NAME,
        "/draft/2f",
        body=CRASH_PREFIX + rng.randbytes(8),
        headers=(("X-Model", "m"), ("X-Token-Counts", "2000,400")),
        is_resumable=True,
    )
