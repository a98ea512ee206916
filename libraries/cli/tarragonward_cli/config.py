"""Commands that show the current configuration and what a patch would change."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import jsonpatch
import jsonpointer
import orjson
from cleo.helpers import argument, option

from tarragonward_config import (
    ConfigurationState,
    LogEntry,
    Verdict,
    apply_entry,
    build_state,
    parse_configuration,
)
from tarragonward_core import ConfigurationError

from . import const as c
from .client import HostCycle, async_ask_any
from .command import JSON_OPTION, TOKEN_FILE_OPTION, ToolCommand, make_host_option
from .exceptions import UsageError

__all__ = ["ConfigCheckCommand", "ConfigDiffCommand", "ConfigShowCommand"]

CONFIG_OPTIONS = [
    make_host_option(c.DEFAULT_OPERATORS, "operators"),
    option(
        "snapshot",
        None,
        "A file with number, sequence and document, in place of a host.",
        flag=False,
    ),
    TOKEN_FILE_OPTION,
    JSON_OPTION,
]
PATCH_ARGUMENT = argument(
    "patch", 'A JSON file: {"base": NUMBER, "operations": [RFC 6902 operations]}.'
)
HELP = f"""\
The token is read from {c.ENV_OPERATOR_TOKEN} or from --token-file.
Exit codes: 0 accepted, 1 stale or invalid, 2 usage, 4 no host answered."""


class ConfigCommand(ToolCommand):
    """Base of the commands that read the configuration from a host or a file."""

    options = CONFIG_OPTIONS
    help = HELP

    async def async_read_state(self) -> ConfigurationState:
        """Return the configuration in force."""
        if self.option("snapshot"):
            data = self._read_json("snapshot", self.option("snapshot"))
        else:
            token = self.read_token(c.ENV_OPERATOR_TOKEN)
            cycle = HostCycle(self.get_hosts(), c.OPERATORS_TIMEOUT_SECONDS)
            data = await async_ask_any(cycle, token, "GET", c.ROUTE_CONFIGURATION)
        try:
            return build_state(data["sequence"], data["number"], data["document"])
        except (KeyError, TypeError, ConfigurationError) as err:
            raise UsageError(f"not a configuration: {err}") from None

    def read_patch(self, state: ConfigurationState) -> LogEntry:
        """Return the patch file as the log's next entry."""
        data = self._read_json("patch", self.argument("patch"))
        try:
            base, operations = data["base"], tuple(data["operations"])
        except (KeyError, TypeError):
            raise UsageError("patch: expected base and operations") from None
        return LogEntry(state.sequence + 1, base, operations)

    def _read_json(self, name: str, path: str) -> Any:
        try:
            return orjson.loads(self.read_file(name, path))
        except orjson.JSONDecodeError as err:
            raise UsageError(f"{name}: {path}: {err}") from None


class ConfigShowCommand(ConfigCommand):
    """Print the configuration in force as JSON."""

    name = "config show"
    description = "Shows the configuration in force and its number."

    async def async_run(self) -> int:
        """Print the configuration; return the exit code."""
        state = await self.async_read_state()
        self.print_json(
            {
                "number": state.number,
                "sequence": state.sequence,
                "document": state.document,
            }
        )
        return c.EXIT_OK


class ConfigCheckCommand(ConfigCommand):
    """Print whether a patch would be accepted, and why."""

    name = "config check"
    description = "Checks a patch against the number it was written for."
    arguments = [PATCH_ARGUMENT]

    async def async_run(self) -> int:
        """Print the verdict and the changes."""
        state = await self.async_read_state()
        entry = self.read_patch(state)
        after, verdict = apply_entry(state, entry)
        reason = _explain(state, entry, verdict)
        changes = list(list_changes(state.document, after.document))
        if self.option("json"):
            self.print_json(
                {"verdict": verdict.value, "reason": reason, "changes": changes}
            )
        else:
            self.write_text(f"{verdict.value}: {reason}\n")
            self._print_changes(changes)
        return c.EXIT_OK if verdict is Verdict.ACCEPTED else c.EXIT_FAILED

    def _print_changes(self, changes: list[dict[str, Any]]) -> None:
        for change in changes:
            for sign, side in (("-", "old"), ("+", "new")):
                if change[side] is not None:
                    value = orjson.dumps(change[side]).decode()
                    self.write_text(f"{sign} {change['path']}: {value}\n")


class ConfigDiffCommand(ConfigCheckCommand):
    """Print only what a patch changes."""

    name = "config diff"
    description = "Shows what a patch changes, even if it is stale."

    async def async_run(self) -> int:
        """Print the changes."""
        state = await self.async_read_state()
        entry = self.read_patch(state)
        current = LogEntry(entry.sequence, state.number, entry.operations)
        after, verdict = apply_entry(state, current)
        changes = list(list_changes(state.document, after.document))
        if self.option("json"):
            self.print_json(changes)
        else:
            self._print_changes(changes)
        if verdict is not Verdict.ACCEPTED:
            reason = _explain(state, current, verdict)
            self.line_error(f"{verdict.value}: {reason}", style="error")
            return c.EXIT_FAILED
        return c.EXIT_OK


def _explain(state: ConfigurationState, entry: LogEntry, verdict: Verdict) -> str:
    if verdict is Verdict.ACCEPTED:
        return f"would follow number {state.number}"
    if verdict is Verdict.STALE:
        return f"written against {entry.base}, but {state.number} is in force"
    try:
        document = jsonpatch.apply_patch(state.document, list(entry.operations))
        parse_configuration(document, "patch")
    except (
        ConfigurationError,
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
        KeyError,
        TypeError,
    ) as err:
        return str(err)
    return "refused"


def list_changes(old: Any, new: Any, path: str = "") -> Iterator[dict[str, Any]]:
    """Yield each differing value by path, as old and new; None means absent."""
    if old == new:
        return
    if not (isinstance(old, dict) and isinstance(new, dict)):
        yield {"path": path or "/", "old": old, "new": new}
        return
    for name in sorted({*old, *new}):
        yield from list_changes(old.get(name), new.get(name), f"{path}/{name}")
