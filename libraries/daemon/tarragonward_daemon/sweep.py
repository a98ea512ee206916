"""Cancel orphaned streams and reservations on engines."""

from __future__ import annotations

import asyncio
import random

from tarragonward_config import Target
from tarragonward_core import (
    BackgroundTasks,
    FrameError,
    HostIdentity,
    TargetError,
    log_event,
)
from tarragonward_requests import HeldResource, OrphanSweep, OwnerStatus
from tarragonward_wire import async_handshake, async_send_http

from . import const as c
from .core import HostState
from .engines import Releases
from .membership import MembershipTask
from .models import ModelRequests

__all__ = ["SweepTask"]


class SweepTask:
    """Sweep the engines that this host watches.

    Orphans are resources of hosts that are gone, and resources of this host that no
    request uses.
    """

    def __init__(
        self,
        host: HostState,
        models: ModelRequests,
        releases: Releases,
        membership: MembershipTask,
    ) -> None:
        self._host = host
        self._models = models
        self._releases = releases
        self._membership = membership
        self._sweep = OrphanSweep(host.identity)
        self._background = BackgroundTasks(host.metrics)

    async def async_setup(self) -> None:
        """Start the periodic sweep."""
        self._background.start("sweep", self._async_run)

    async def async_unload(self) -> None:
        """Stop the sweep."""
        await self._background.async_unload()

    async def _async_run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            interval = self._get_interval()
            self._sweep.lag_seconds = c.SWEEP_LAG_SECONDS + 2 * interval
            await asyncio.sleep(interval * random.uniform(0.8, 1.2))
            targets = self._get_watched()
            reads = map(self._async_read_held, targets.values())
            reports = await asyncio.gather(*reads)
            reported = dict(zip(targets, reports, strict=True))
            reported = {name: r for name, r in reported.items() if r is not None}
            held = [item for report in reported.values() for item in report]
            own_active = self._models.active_streams | self._releases.pending_ids
            cancels = self._sweep.process_reports(
                held, reported.keys(), own_active, loop.time()
            )
            self._cancel(cancels, targets)
            await self._async_probe_owners()

    def _get_interval(self) -> float:
        """Return the seconds between sweeps; more hosts share the work."""
        seconds = (
            self._membership.count_live_hosts() * c.SWEEP_INTERVAL_SECONDS_PER_HOST
        )
        return min(
            max(seconds, c.MIN_SWEEP_INTERVAL_SECONDS), c.MAX_SWEEP_INTERVAL_SECONDS
        )

    def _get_watched(self) -> dict[str, Target]:
        state = self._host.configuration_state
        targets = [] if state is None else state.configuration.targets.values()
        return {
            target.name: target
            for target in targets
            if target.models and self._membership.is_watcher(target.name)
        }

    def _cancel(self, cancels: list[HeldResource], targets: dict[str, Target]) -> None:
        for item in cancels:
            log_event(
                "sweep_cancels",
                target=item.target,
                held_id=item.held_id,
                owner=item.owner,
            )
            self._host.metrics.count("sweep_cancels")
            target = targets[item.target]
            if item.is_reservation:
                self._releases.release_reservation(target, item.held_id)
            else:
                self._releases.release_stream(target, item.held_id)

    async def _async_probe_owners(self) -> None:
        owners = self._sweep.get_owners()
        probed = random.sample(owners, min(len(owners), c.MAX_OWNER_PROBES))
        statuses = await asyncio.gather(*map(self._async_probe_owner, probed))
        now = asyncio.get_running_loop().time()
        for identity, status in zip(probed, statuses, strict=True):
            self._sweep.record_owner_status(identity, status, now)

    async def _async_probe_owner(self, owner: HostIdentity) -> OwnerStatus:
        """Return whether the owner, another incarnation or nobody has its address.

        Only owners that membership considers gone are probed. Its view is only a hint,
        so the probe decides.
        """
        if not self._membership.is_gone(owner):
            return OwnerStatus.ALIVE
        try:
            async with asyncio.timeout(c.OWNER_PROBE_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    owner.address.host, owner.address.port
                )
        except ConnectionRefusedError:
            return OwnerStatus.REFUSED
        except (OSError, TimeoutError):
            return OwnerStatus.UNREACHABLE
        key = self._host.settings.peer_key
        try:
            stream = await async_handshake(
                reader, writer, self._host.identity, key, is_client=True
            )
        except (OSError, EOFError, FrameError):
            return OwnerStatus.UNREACHABLE
        finally:
            writer.transport.abort()
        return OwnerStatus.ALIVE if stream.peer == owner else OwnerStatus.REPLACED

    async def _async_read_held(self, target: Target) -> list[HeldResource] | None:
        """Return the resources held on an engine, None if it does not answer."""
        try:
            answer = await async_send_http(
                target.address,
                "GET",
                "/v1/load",
                timeout=c.REPORT_TIMEOUT_SECONDS,
                connect=self._host.get_connector(target),
            )
            report = answer.parse_json()
            streams = [
                HeldResource(target.name, held_id, owner)
                for held_id, owner in report.get("streams", {}).items()
            ]
            reservations = [
                HeldResource(target.name, held_id, owner, is_reservation=True)
                for held_id, owner in report.get("reservations", {}).items()
            ]
        except (TargetError, AttributeError) as err:
            log_event("sweep_read_failed", target=target.name, reason=repr(err))
            return None
        return streams + reservations
