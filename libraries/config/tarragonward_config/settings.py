"""Read and check the settings of one process from a TOML file."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import voluptuous as vol

from tarragonward_core import Address, SettingsError

from . import const as c

__all__ = ["Limits", "Settings", "describe_invalid", "load_settings"]


@dataclass(frozen=True)
class Limits:
    """What one host allows; times in seconds, sizes in bytes."""

    drain_timeout_seconds: float = c.DEFAULT_DRAIN_TIMEOUT_SECONDS
    key_retention_seconds: float = c.DEFAULT_KEY_RETENTION_SECONDS
    max_body_bytes: int = c.DEFAULT_MAX_BODY_BYTES
    max_connections: int = c.DEFAULT_MAX_CONNECTIONS
    max_head_bytes: int = c.DEFAULT_MAX_HEAD_BYTES
    max_time_limit_seconds: float = c.DEFAULT_MAX_TIME_LIMIT_SECONDS
    sender_timeout_seconds: float = c.DEFAULT_SENDER_TIMEOUT_SECONDS
    time_limit_seconds: float = c.DEFAULT_TIME_LIMIT_SECONDS


@dataclass(frozen=True)
class Settings:
    """The settings of one daemon; credentials are read from the files named."""

    name: str
    region: str
    failure_domain: str
    callers: Address
    operators: Address
    peers: Address
    configuration: tuple[Address, ...]
    host_list: tuple[Address, ...]
    peer_key: bytes = field(repr=False)
    operator_token: str = field(repr=False)
    limits: Limits = field(default_factory=Limits)
    peers_listen: Address | None = None


def _parse_address(value: Any) -> Address:
    if not isinstance(value, str):
        raise vol.Invalid("expected 'IP:port'")
    try:
        return Address.parse(value)
    except ValueError as err:
        raise vol.Invalid(f"expected 'IP:port': {err}") from None


def _number(minimum: float, maximum: float) -> Callable[[Any], float]:
    return vol.All(vol.Any(int, float), vol.Range(min=minimum, max=maximum))


def _integer(minimum: int, maximum: int) -> Callable[[Any], int]:
    return vol.All(int, vol.Range(min=minimum, max=maximum))


_NAME = vol.All(str, vol.Match(r"^[a-z0-9][a-z0-9._-]{0,62}$"))
_ADDRESSES = vol.All([_parse_address], vol.Length(min=1, max=16))
DAY_SECONDS = 86_400

SETTINGS_SCHEMA = vol.Schema(
    {
        vol.Required(c.CONF_HOST): {
            vol.Required(c.CONF_NAME): _NAME,
            vol.Required(c.CONF_REGION): _NAME,
            vol.Required(c.CONF_FAILURE_DOMAIN): _NAME,
        },
        vol.Required(c.CONF_ADDRESSES): {
            vol.Required(c.CONF_CALLERS): _parse_address,
            vol.Required(c.CONF_OPERATORS): _parse_address,
            vol.Required(c.CONF_PEERS): _parse_address,
            vol.Optional(c.CONF_PEERS_LISTEN): _parse_address,
        },
        vol.Required(c.CONF_PLATFORM): {
            vol.Required(c.CONF_CONFIGURATION): _ADDRESSES,
            vol.Required(c.CONF_HOST_LIST): _ADDRESSES,
        },
        vol.Required(c.CONF_CREDENTIALS): {
            vol.Required(c.CONF_PEER_KEY_FILE): str,
            vol.Required(c.CONF_OPERATOR_TOKEN_FILE): str,
        },
        vol.Optional(c.CONF_LIMITS, default=dict): {
            vol.Optional(c.CONF_DRAIN_TIMEOUT_SECONDS): _number(0, 3_600),
            vol.Optional(c.CONF_KEY_RETENTION_SECONDS): _number(1, DAY_SECONDS),
            vol.Optional(c.CONF_MAX_BODY_BYTES): _integer(1_024, 1 << 28),
            vol.Optional(c.CONF_MAX_CONNECTIONS): _integer(1, 100_000),
            vol.Optional(c.CONF_MAX_HEAD_BYTES): _integer(1_024, 1 << 20),
            vol.Optional(c.CONF_MAX_TIME_LIMIT_SECONDS): _number(1, DAY_SECONDS),
            vol.Optional(c.CONF_SENDER_TIMEOUT_SECONDS): _number(0.1, 3_600),
            vol.Optional(c.CONF_TIME_LIMIT_SECONDS): _number(0.1, DAY_SECONDS),
        },
    }
)


def describe_invalid(source: str, data: Any, error: vol.Invalid) -> str:
    """Return a message that names the source, the key, what was found and allowed."""
    first = error.errors[0] if isinstance(error, vol.MultipleInvalid) else error
    key = ".".join(str(part) for part in first.path) or "(top level)"
    found = data
    for part in first.path:
        try:
            found = found[part]
        except (KeyError, IndexError, TypeError):
            found = None
            break
    return f"{source}: {key}: found {found!r}: {first.error_message}"


def load_settings(path: Path) -> Settings:
    """Return the settings in a file; raise SettingsError where they are not valid."""
    try:
        data = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as err:
        raise SettingsError(f"{path}: {err}") from None
    try:
        checked = SETTINGS_SCHEMA(data)
    except vol.Invalid as err:
        raise SettingsError(describe_invalid(str(path), data, err)) from None
    credentials = checked[c.CONF_CREDENTIALS]
    peer_key = _read_credential(path, c.CONF_PEER_KEY_FILE, credentials).encode()
    if len(peer_key) < c.MIN_PEER_KEY_BYTES:
        raise SettingsError(
            f"{path}: {c.CONF_CREDENTIALS}.{c.CONF_PEER_KEY_FILE}: found"
            f" {len(peer_key)} bytes: expected at least {c.MIN_PEER_KEY_BYTES}"
        )
    return Settings(
        **checked[c.CONF_HOST],
        **checked[c.CONF_ADDRESSES],
        configuration=tuple(checked[c.CONF_PLATFORM][c.CONF_CONFIGURATION]),
        host_list=tuple(checked[c.CONF_PLATFORM][c.CONF_HOST_LIST]),
        peer_key=peer_key,
        operator_token=_read_credential(path, c.CONF_OPERATOR_TOKEN_FILE, credentials),
        limits=Limits(**checked[c.CONF_LIMITS]),
    )


def _read_credential(path: Path, key: str, credentials: dict[str, str]) -> str:
    file = path.parent / credentials[key]
    try:
        text = file.read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as err:
        raise SettingsError(f"{path}: {c.CONF_CREDENTIALS}.{key}: {err}") from None
    if not text:
        raise SettingsError(f"{path}: {c.CONF_CREDENTIALS}.{key}: {file} is empty")
    return text
