"""Hold the state that the tasks of one host share."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tarragonward_config import (
    ClientAccount,
    Configuration,
    ConfigurationState,
    Settings,
    Target,
)
from tarragonward_core import (
    HostIdentity,
    Metrics,
    RequestRefusedError,
    ResultCode,
    invariants,
)
from tarragonward_wire import Connector

__all__ = ["HostState"]

NOT_READY_RETRY_SECONDS = 1.0
DRAINING_RETRY_SECONDS = 1.0


@dataclass
class HostState:
    """One host's identity, its active configuration, and whether it drains.

    is_draining makes the health check fail; is_admitting stays set a little longer.
    unhealthy_reported is set once a failed health check was answered.
    """

    settings: Settings
    identity: HostIdentity
    metrics: Metrics = field(default_factory=Metrics)
    configuration_state: ConfigurationState | None = None
    is_draining: bool = False
    is_admitting: bool = True
    started_at: float = field(default_factory=time.monotonic)
    requests_in_flight: int = 0
    idle: asyncio.Event = field(default_factory=asyncio.Event)
    unhealthy_reported: asyncio.Event = field(default_factory=asyncio.Event)
    # Returns what connects to a target, None for a connection to its address.
    get_connector: Callable[[Target], Connector | None] = lambda target: None
    status_sections: dict[str, Callable[[], Any]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        add_gauge = self.metrics.add_gauge
        add_gauge(
            "requests_in_flight",
            "Requests in progress.",
            lambda: self.requests_in_flight,
        )
        add_gauge(
            "configuration_number",
            "The configuration number in force, -1 where there is none yet.",
            lambda: self.configuration_number,
        )
        add_gauge(
            "invariant_violations",
            "Invariants found broken since the process started.",
            lambda: invariants.count,
        )
        add_gauge("draining", "1 while the host is leaving.", lambda: self.is_draining)

    def add_status_section(self, name: str, read: Callable[[], Any]) -> None:
        """Add a section to the operators' status; read returns JSON data."""
        self.status_sections[name] = read

    @property
    def configuration(self) -> Configuration:
        """Return the active configuration; raise RequestRefusedError without one."""
        if self.configuration_state is None:
            raise RequestRefusedError(
                ResultCode.NOT_READY, retry_after_seconds=NOT_READY_RETRY_SECONDS
            )
        return self.configuration_state.configuration

    @property
    def evacuated_domains(self) -> frozenset[str]:
        """Return the failure domains whose targets get no new work."""
        state = self.configuration_state
        return frozenset() if state is None else state.configuration.evacuated_domains

    @property
    def configuration_number(self) -> int:
        """Return the number of the active configuration, -1 without one."""
        if self.configuration_state is None:
            return -1
        return self.configuration_state.number

    def authenticate(self, authorization: str | None) -> ClientAccount:
        """Return the client account of an Authorization header's bearer token."""
        scheme, _, token = (authorization or "").partition(" ")
        if scheme.lower() != "bearer" or not token.strip():
            raise RequestRefusedError(ResultCode.TOKEN_MISSING)
        account = self.configuration.find_account(token.strip())
        if account is None:
            raise RequestRefusedError(ResultCode.TOKEN_WRONG)
        return account

    def check_admitting(self) -> None:
        """Refuse new work while the host drains."""
        if not self.is_admitting:
            raise RequestRefusedError(
                ResultCode.DRAINING, retry_after_seconds=DRAINING_RETRY_SECONDS
            )

    def enter_request(self) -> None:
        """Count a request as in progress; a drain waits for all of them."""
        self.requests_in_flight += 1
        self.idle.clear()

    def leave_request(self) -> None:
        """Count a request in progress as ended."""
        self.requests_in_flight -= 1
        if self.requests_in_flight == 0:
            self.idle.set()
