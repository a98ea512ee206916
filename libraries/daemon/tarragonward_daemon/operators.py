"""Serve the operators' HTTP routes, on a separate port."""

from __future__ import annotations

import gzip
import hmac
from collections.abc import Callable
from typing import Any

from tarragonward_core import RequestRefusedError, ResultCode, invariants
from tarragonward_wire import HttpHead, HttpRequest, Responder

from . import const as c
from .core import HostState
from .membership import MembershipTask
from .reports import ReportTask

__all__ = ["OperatorRoutes"]

READ_METHODS = ("GET", "HEAD")
METHODS = {
    c.ROUTE_CONFIGURATION: READ_METHODS,
    c.ROUTE_DRAIN: ("POST",),
    c.ROUTE_HEALTH: READ_METHODS,
    c.ROUTE_METRICS: READ_METHODS,
    c.ROUTE_STATUS: READ_METHODS,
    c.ROUTE_TARGETS: READ_METHODS,
}
OPEN_ROUTES = (c.ROUTE_HEALTH, c.ROUTE_METRICS)
EXPOSITION = {"content-type": "text/plain; version=0.0.4; charset=utf-8"}


class OperatorRoutes:
    """Handle requests of the load balancer, metrics scrapers and operators."""

    def __init__(
        self,
        host: HostState,
        membership: MembershipTask,
        reports: ReportTask,
        drain: Callable[[], None],
    ) -> None:
        self._host = host
        self._membership = membership
        self._reports = reports
        self._drain = drain
        host.metrics.add_gauge(
            "members",
            "Other hosts in this host's view.",
            lambda: len(membership.membership.get_members()),
        )
        host.metrics.add_gauge(
            "domains_evacuated",
            "Failure domains whose targets get no new work by the configuration.",
            lambda: len(host.evacuated_domains),
        )

    def check_head(self, head: HttpHead) -> None:
        """Refuse an invalid request by its head, before its body is buffered."""
        if head.path not in OPEN_ROUTES:
            self._authenticate(head)
        if head.path not in METHODS:
            raise RequestRefusedError(ResultCode.UNKNOWN_ROUTE)
        if head.method not in METHODS[head.path]:
            detail = f"The route takes {' and '.join(METHODS[head.path])}."
            raise RequestRefusedError(ResultCode.METHOD_NOT_ALLOWED, detail)

    async def async_handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one request that check_head accepted."""
        match request.path:
            case c.ROUTE_HEALTH:
                healthy = self._is_healthy()
                status = 200 if healthy else 503
                await responder.async_send_json(status, {"healthy": healthy})
                if self._host.is_draining and not healthy:
                    self._host.unhealthy_reported.set()
            case c.ROUTE_METRICS:
                await self._async_send_metrics(request, responder)
            case c.ROUTE_STATUS:
                await responder.async_send_json(200, self._build_status())
            case c.ROUTE_TARGETS:
                await responder.async_send_json(200, self._list_targets())
            case c.ROUTE_CONFIGURATION:
                await responder.async_send_json(200, self._show_configuration())
            case c.ROUTE_DRAIN:
                self._drain()
                await responder.async_send_json(200, {"draining": True})

    async def _async_send_metrics(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Send the metrics, gzipped (about 30 times smaller) if accepted."""
        body, headers = self._host.metrics.write_exposition(), EXPOSITION
        if "gzip" in request.headers.get("accept-encoding", ""):
            body = gzip.compress(body)
            headers = {**EXPOSITION, "content-encoding": "gzip"}
        await responder.async_send_bytes(200, body, headers)

    def _authenticate(self, head: HttpHead) -> None:
        authorization = head.headers.get("authorization", "").encode("latin-1")
        if not authorization:
            raise RequestRefusedError(ResultCode.TOKEN_MISSING)
        expected = f"Bearer {self._host.settings.operator_token}".encode()
        if not hmac.compare_digest(authorization, expected):
            raise RequestRefusedError(
                ResultCode.TOKEN_WRONG, "The token is not the operators'."
            )

    def _is_healthy(self) -> bool:
        has_configuration = self._host.configuration_state is not None
        return has_configuration and not self._host.is_draining

    def _build_status(self) -> dict[str, Any]:
        members = self._membership.membership.get_members()
        return {
            "name": self._host.settings.name,
            "identity": str(self._host.identity),
            "failure_domain": self._host.settings.failure_domain,
            "configuration_number": self._host.configuration_number,
            "evacuated_domains": sorted(self._host.evacuated_domains),
            "draining": self._host.is_draining,
            "in_flight": self._host.requests_in_flight,
            "invariant_violations": invariants.count,
            "members": [
                {
                    "name": member.listed.name,
                    "address": str(member.listed.address),
                    "state": member.state.value,
                }
                for member in members
            ],
            **{name: read() for name, read in self._host.status_sections.items()},
        }

    def _list_targets(self) -> dict[str, Any]:
        targets = self._host.configuration.targets.values()
        return {
            "targets": [
                {
                    "name": target.name,
                    "kind": target.kind,
                    "address": str(target.address),
                    "failure_domain": target.failure_domain,
                    "leaving": target.name in self._membership.leaving_targets,
                    "evacuated": self._host.configuration.is_evacuated(target),
                }
                for target in targets
            ]
        }

    def _show_configuration(self) -> dict[str, Any]:
        state = self._host.configuration_state
        if state is None:
            raise RequestRefusedError(ResultCode.NOT_READY)
        return {
            "number": state.number,
            "sequence": state.sequence,
            "document": state.document,
        }
