"""Commands that show the status of hosts, and the targets."""

from __future__ import annotations

import asyncio
from typing import Any

from tarragonward_core import Address, TargetError
from tarragonward_wire import async_send_http

from . import const as c
from .client import HostCycle, async_ask_any, build_headers, read_problem
from .command import JSON_OPTION, TOKEN_FILE_OPTION, ToolCommand, make_host_option

__all__ = ["StatusCommand", "TargetsCommand"]

OPERATOR_OPTIONS = [
    make_host_option(c.DEFAULT_OPERATORS, "operators"),
    TOKEN_FILE_OPTION,
    JSON_OPTION,
]
ATTR_ERROR = "error"


class StatusCommand(ToolCommand):
    """Show the status of each host, or that it did not answer."""

    name = "status"
    description = "Shows each host's incarnation, configuration and load."
    options = OPERATOR_OPTIONS
    help = f"""\
The token is read from {c.ENV_OPERATOR_TOKEN} or from --token-file.
Exit codes: 0 all hosts answered, 1 some did not, 2 usage, 4 none did."""

    async def async_run(self) -> int:
        """Print a row for each host; return the exit code."""
        token, hosts = self.read_token(c.ENV_OPERATOR_TOKEN), self.get_hosts()
        found = await asyncio.gather(*(_async_ask(host, token) for host in hosts))
        if self.option("json"):
            self.print_json([{"host": str(h), **s} for h, s in zip(hosts, found)])
        else:
            rows = [_build_row(h, s) for h, s in zip(hosts, found, strict=True)]
            self.print_table(rows)
        unreachable = sum(ATTR_ERROR in status for status in found)
        if unreachable == len(hosts):
            return c.EXIT_NO_HOST
        return c.EXIT_FAILED if unreachable else c.EXIT_OK


class TargetsCommand(ToolCommand):
    """Show the targets known to the first host that answers."""

    name = "targets"
    description = "Shows the targets and whether they are leaving."
    options = OPERATOR_OPTIONS
    help = StatusCommand.help

    async def async_run(self) -> int:
        """Print a row for each target; return the exit code."""
        token = self.read_token(c.ENV_OPERATOR_TOKEN)
        cycle = HostCycle(self.get_hosts(), c.OPERATORS_TIMEOUT_SECONDS)
        answer = await async_ask_any(cycle, token, "GET", c.ROUTE_TARGETS)
        if self.option("json"):
            self.print_json(answer["targets"])
        else:
            self.print_table(answer["targets"])
        return c.EXIT_OK


async def _async_ask(host: Address, token: str) -> dict[str, Any]:
    timeout = c.OPERATORS_TIMEOUT_SECONDS
    headers = build_headers(token, timeout)
    try:
        answer = await async_send_http(
            host, "GET", c.ROUTE_STATUS, headers=headers, timeout=timeout
        )
        if answer.status == 200:
            return answer.parse_json()
    except TargetError as err:
        return {ATTR_ERROR: str(err)}
    return {ATTR_ERROR: str(read_problem(answer))}


def _build_row(host: Address, status: dict[str, Any]) -> dict[str, Any]:
    is_unreachable = ATTR_ERROR in status
    _, _, incarnation = status.get("identity", "").partition("#")
    return {
        "host": host,
        "name": status.get("name", "-"),
        "incarnation": incarnation or "-",
        "configuration": status.get("configuration_number", "-"),
        "evacuated": ",".join(status.get("evacuated_domains", ())) or "-",
        "members": "-" if is_unreachable else len(status["members"]),
        "in flight": status.get("in_flight", "-"),
        "draining": status.get("draining", "-"),
        "state": status.get(ATTR_ERROR, "answers"),
    }
