"""Order engines to load the published models, and check that they did."""

from __future__ import annotations

import asyncio
import hashlib
import random
from typing import Any

import orjson

from tarragonward_config import (
    EngineOrder,
    EngineOrderState,
    OrderDecision,
    Target,
    build_orders,
    decide_order,
)
from tarragonward_core import BackgroundTasks, TargetError, log_event
from tarragonward_membership import Member, MemberState
from tarragonward_wire import async_send_http

from . import const as c
from .configuration import ConfigurationTask
from .core import HostState
from .loads import LoadGate
from .membership import MembershipTask

__all__ = ["OrderTask", "choose_watchers"]

SENDING_DECISIONS = frozenset({OrderDecision.SEND, OrderDecision.VERIFY_THEN_SEND})
GONE_STATES = frozenset({MemberState.DEAD, MemberState.LEAVING})


class _OrderTooOldError(Exception):
    """Abort before the first byte: the order's decision is out of date."""


class OrderTask:
    """Check and order the engines that this host watches.

    Hosts may disagree on who watches an engine, which is harmless: all hosts send the
    same order.
    """

    def __init__(
        self,
        host: HostState,
        membership: MembershipTask,
        configuration: ConfigurationTask,
    ) -> None:
        self._host = host
        self._membership = membership
        self._configuration = configuration
        self._loads = LoadGate(host, self._async_read_state)
        self._background = BackgroundTasks(host.metrics)

    async def async_setup(self) -> None:
        """Start to check engines."""
        self._background.start("orders", self._async_run)

    async def async_unload(self) -> None:
        """Stop checking engines."""
        await self._background.async_unload()

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(self._get_interval() * random.uniform(0.75, 1.25))
            await self._async_check_all()

    def _get_interval(self) -> float:
        """Return the seconds between checks, which grow with the number of hosts."""
        seconds = (
            self._membership.count_live_hosts() * c.ORDER_INTERVAL_SECONDS_PER_HOST
        )
        return min(
            max(seconds, c.MIN_ORDER_INTERVAL_SECONDS), c.MAX_ORDER_INTERVAL_SECONDS
        )

    async def _async_check_all(self) -> None:
        state = self._host.configuration_state
        if state is None:
            return
        orders = build_orders(state.configuration, state.number)
        watched = [
            state.configuration.targets[name]
            for name in orders
            if self._is_watcher(name)
        ]
        checks = [self._async_check(engine, orders) for engine in watched]
        await asyncio.gather(*checks)

    def _is_watcher(self, engine: str) -> bool:
        settings = self._host.settings
        members = [
            str(member.listed.address)
            for member in self._membership.membership.get_members()
            if member.state not in GONE_STATES
            and _is_local(member, settings.failure_domain)
        ]
        target = self._host.configuration.targets[engine]
        if target.failure_domain != settings.failure_domain:
            return False
        return str(settings.peers) in choose_watchers(
            engine, [*members, str(settings.peers)]
        )

    async def _async_check(
        self, engine: Target, orders: dict[str, EngineOrder]
    ) -> None:
        order = orders[engine.name]
        try:
            reported = await self._async_read_state(engine)
        except TargetError:
            return
        decision = decide_order(order, reported, engine.checks_fencing)
        starts_load = reported is None or not reported.has_accepted(order)
        if decision in SENDING_DECISIONS and starts_load:
            if not await self._loads.async_may_load(engine, orders):
                self._report_result(engine, order, "held back")
                return
        match decision:
            case OrderDecision.CATCH_UP:
                assert reported is not None
                self._configuration.record_fencing(reported.fencing)
            case OrderDecision.SEND:
                await self._async_send(engine, order)
            case OrderDecision.VERIFY_THEN_SEND:
                await self._async_verify_then_send(engine, order)

    async def _async_read_state(self, engine: Target) -> EngineOrderState | None:
        answer = await async_send_http(
            engine.address,
            "GET",
            c.ROUTE_LOAD,
            timeout=c.REPORT_TIMEOUT_SECONDS,
            connect=self._host.get_connector(engine),
        )
        return EngineOrderState.parse(answer.parse_json())

    async def _async_verify_then_send(self, engine: Target, order: EngineOrder) -> None:
        if not await self._configuration.async_verify_newest():
            log_event(
                "order_held_back", engine=engine.name, reason="state not verified"
            )
            return
        if self._host.configuration_number == order.fencing:
            await self._async_send(engine, order)

    async def _async_send(self, engine: Target, order: EngineOrder) -> None:
        decided_at = _now()

        def check_age() -> None:
            # A host that was paused after its check resumes with an old order, and an
            # engine that ignores fencing would revert to an old version. There is no
            # await between this check and the write; an order delayed by the network
            # after it is corrected by the next check of another host.
            is_current = self._host.configuration_number == order.fencing
            if not is_current or _now() - decided_at > c.ORDER_MAX_AGE_SECONDS:
                raise _OrderTooOldError

        try:
            answer = await async_send_http(
                engine.address,
                "POST",
                "/v1/orders",
                headers={"content-type": "application/json"},
                body=orjson.dumps(order.build_body()),
                timeout=c.ORDER_TIMEOUT_SECONDS,
                before_write=check_age,
                connect=self._host.get_connector(engine),
            )
        except (TargetError, _OrderTooOldError) as err:
            self._report_result(engine, order, "failed", error=repr(err))
            return
        self._report_result(
            engine, order, "taken" if answer.status == 200 else "refused"
        )

    def _report_result(
        self, engine: Target, order: EngineOrder, result: str, **fields: Any
    ) -> None:
        self._host.metrics.count("orders", result)
        log_event(
            "engine_ordered",
            engine=engine.name,
            fencing=order.fencing,
            result=result,
            **fields,
        )


def choose_watchers(engine: str, hosts: list[str]) -> list[str]:
    """Return the hosts that watch an engine, chosen by rendezvous hash."""
    return sorted(hosts, key=lambda host: _score(engine, host))[: c.ORDER_WATCHERS]


def _score(engine: str, host: str) -> bytes:
    return hashlib.blake2b(f"{engine}|{host}".encode(), digest_size=8).digest()


def _is_local(member: Member, failure_domain: str) -> bool:
    return member.listed.failure_domain == failure_domain


def _now() -> float:
    return asyncio.get_running_loop().time()
