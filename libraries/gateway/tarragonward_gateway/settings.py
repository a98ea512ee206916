"""Load and validate the settings of a forwarding entry host from a TOML file."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import voluptuous as vol

from tarragonward_core import Address, SettingsError

from . import const as c

__all__ = [
    "Bounds",
    "GatewaySettings",
    "load_gateway_settings",
    "parse_gateway_settings",
]


@dataclass(frozen=True)
class Bounds:
    """Limits that operators set for all hosts; times in seconds.

    A cold target tolerates, of all hosts together and in each second, cold_excess times
    its published rate plus cold_slack requests.
    """

    drain_seconds: float = c.DEFAULT_DRAIN_SECONDS
    grace_seconds: float = c.DEFAULT_GRACE_SECONDS
    apply_seconds: float = c.DEFAULT_APPLY_SECONDS
    retry_share: float = c.DEFAULT_RETRY_SHARE
    retry_slack: float = c.DEFAULT_RETRY_SLACK
    retry_window_seconds: float = c.DEFAULT_RETRY_WINDOW_SECONDS
    reservation_seconds: float = c.DEFAULT_RESERVATION_SECONDS
    stall_seconds: float = c.DEFAULT_STALL_SECONDS
    free_seconds: float = c.DEFAULT_FREE_SECONDS
    unused_seconds: float = c.DEFAULT_UNUSED_SECONDS
    cold_excess: float = c.DEFAULT_COLD_EXCESS
    cold_slack: float = c.DEFAULT_COLD_SLACK
    log_lines_per_second: float = c.DEFAULT_LOG_LINES_PER_SECOND


@dataclass(frozen=True)
class GatewaySettings:
    """The settings of one forwarding entry host.

    regions has the region of each failure domain, for requests with home regions.
    """

    name: str
    failure_domain: str
    callers: Address
    health: Address
    control: Address
    peers: Address
    seeds: tuple[Address, ...]
    source: Address
    bounds: Bounds
    metrics: Address | None = None
    regions: Mapping[str, str] = field(default_factory=dict)


def _parse_address(value: Any) -> Address:
    try:
        return Address.parse(value)
    except (ValueError, AttributeError):
        raise vol.Invalid("expected 'IP:port'") from None


def _parse_addresses(value: Any) -> tuple[Address, ...]:
    if not isinstance(value, list):
        raise vol.Invalid("expected a list of 'IP:port'")
    return tuple(_parse_address(item) for item in value)


_NUMBER = vol.All(vol.Any(int, float), vol.Range(min=0), vol.Coerce(float))

SCHEMA = vol.Schema(
    {
        vol.Required(c.CONF_HOST): {
            vol.Required(c.CONF_NAME): str,
            vol.Required(c.CONF_FAILURE_DOMAIN): str,
        },
        vol.Required(c.CONF_ADDRESSES): {
            vol.Required(c.CONF_CALLERS): _parse_address,
            vol.Required(c.CONF_HEALTH): _parse_address,
            vol.Required(c.CONF_CONTROL): _parse_address,
            vol.Required(c.CONF_PEERS): _parse_address,
            vol.Required(c.CONF_SEEDS): _parse_addresses,
            vol.Required(c.CONF_SOURCE): _parse_address,
            vol.Optional(c.CONF_METRICS): _parse_address,
        },
        vol.Optional(c.CONF_REGIONS, default=dict): {str: str},
        vol.Optional(c.CONF_BOUNDS, default=dict): {
            vol.Optional(name): _NUMBER for name in Bounds.__dataclass_fields__
        },
    }
)


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Return the settings of a file; raise SettingsError if they are invalid."""
    try:
        return parse_gateway_settings(path.read_bytes())
    except (OSError, SettingsError) as err:
        raise SettingsError(f"{path}: {err}") from None


def parse_gateway_settings(data: bytes) -> GatewaySettings:
    """Return the settings in a file's bytes; raise SettingsError if invalid."""
    try:
        checked = SCHEMA(tomllib.loads(data.decode("utf-8")))
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as err:
        raise SettingsError(str(err)) from None
    except vol.Invalid as err:
        keys = ".".join(str(key) for key in err.path)
        raise SettingsError(f"{keys}: {err.msg}") from None
    host, addresses = checked[c.CONF_HOST], checked[c.CONF_ADDRESSES]
    return GatewaySettings(
        name=host[c.CONF_NAME],
        failure_domain=host[c.CONF_FAILURE_DOMAIN],
        bounds=Bounds(**checked[c.CONF_BOUNDS]),
        regions=checked[c.CONF_REGIONS],
        **addresses,
    )
