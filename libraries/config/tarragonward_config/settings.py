"""Read and validate the settings of a process from a TOML file."""

from __future__ import annotations

import ipaddress
import re
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import voluptuous as vol

from tarragonward_core import Address, SettingsError

from . import const as c

__all__ = ["Limits", "Settings", "describe_invalid", "load_settings"]

MAX_VALUE_CHARACTERS = 120
LIMIT_BOUNDS = (
    (c.CONF_TIME_LIMIT_SECONDS, c.CONF_MAX_TIME_LIMIT_SECONDS),
    (c.CONF_MAX_BODY_BYTES, c.CONF_MAX_BODIES_BYTES),
)
UNKNOWN_KEY = "extra keys not allowed"


@dataclass(frozen=True)
class Limits:
    """The limits of a host; times in seconds, sizes in bytes."""

    drain_timeout_seconds: float = c.DEFAULT_DRAIN_TIMEOUT_SECONDS
    key_retention_seconds: float = c.DEFAULT_KEY_RETENTION_SECONDS
    max_bodies_bytes: int = c.DEFAULT_MAX_BODIES_BYTES
    max_body_bytes: int = c.DEFAULT_MAX_BODY_BYTES
    max_connections: int = c.DEFAULT_MAX_CONNECTIONS
    max_head_bytes: int = c.DEFAULT_MAX_HEAD_BYTES
    max_time_limit_seconds: float = c.DEFAULT_MAX_TIME_LIMIT_SECONDS
    sender_timeout_seconds: float = c.DEFAULT_SENDER_TIMEOUT_SECONDS
    time_limit_seconds: float = c.DEFAULT_TIME_LIMIT_SECONDS


@dataclass(frozen=True)
class Settings:
    """The settings of a daemon, with the credentials read from their files."""

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
    try:
        address = Address.parse(value)
        ipaddress.ip_address(address.host)
    except (ValueError, AttributeError):
        raise vol.Invalid("expected 'IP:port', such as '10.0.0.1:8000'") from None
    return address


def _number(minimum: float, maximum: float) -> Callable[[Any], float]:
    def check(value: Any) -> float:
        # A chained comparison, so that nan, which TOML allows, is refused too.
        is_number = type(value) in (int, float) and minimum <= value <= maximum
        if not is_number:
            raise vol.Invalid(f"expected a number from {minimum} to {maximum}")
        return value

    return check


def _integer(minimum: int, maximum: int) -> Callable[[Any], int]:
    def check(value: Any) -> int:
        if type(value) is not int or not minimum <= value <= maximum:
            raise vol.Invalid(f"expected a whole number from {minimum} to {maximum}")
        return value

    return check


def _check_name(value: Any) -> str:
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise vol.Invalid(
            "expected 1 to 63 of a-z, 0-9, '.', '_', '-', the first a letter or digit"
        )
    return value


def _check_addresses(value: Any) -> list[Address]:
    if not isinstance(value, list) or not 1 <= len(value) <= MAX_REPLICAS:
        raise vol.Invalid(f"expected a list of 1 to {MAX_REPLICAS} 'IP:port'")
    return [_parse_address(item) for item in value]


NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
MAX_REPLICAS = 16
DAY_SECONDS = 86_400
_NAME = _check_name
_ADDRESSES = _check_addresses

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
            vol.Optional(c.CONF_MAX_BODIES_BYTES): _integer(1_024, 1 << 36),
            vol.Optional(c.CONF_MAX_BODY_BYTES): _integer(1_024, 1 << 28),
            vol.Optional(c.CONF_MAX_CONNECTIONS): _integer(1, 100_000),
            vol.Optional(c.CONF_MAX_HEAD_BYTES): _integer(1_024, 1 << 20),
            vol.Optional(c.CONF_MAX_TIME_LIMIT_SECONDS): _number(1, DAY_SECONDS),
            vol.Optional(c.CONF_SENDER_TIMEOUT_SECONDS): _number(0.1, 3_600),
            vol.Optional(c.CONF_TIME_LIMIT_SECONDS): _number(0.1, DAY_SECONDS),
        },
    }
)


def describe_invalid(
    source: str, data: Any, error: vol.Invalid, schema: vol.Schema | None = None
) -> str:
    """Return a line per error with source, key, value found and values allowed."""
    errors = error.errors if isinstance(error, vol.MultipleInvalid) else [error]
    return "\n".join(_describe_one(source, data, one, schema) for one in errors)


def _describe_one(
    source: str, data: Any, error: vol.Invalid, schema: vol.Schema | None
) -> str:
    key = ".".join(str(part) for part in error.path) or "(top level)"
    found = data
    for part in error.path:
        try:
            found = found[part]
        except (KeyError, IndexError, TypeError):
            return f"{source}: {key}: found nothing: {error.error_message}"
    message = error.error_message
    if schema is not None and message == UNKNOWN_KEY:
        names = _list_allowed(schema.schema, error.path[:-1])
        message = f"unknown key: expected one of {', '.join(names)}"
    return f"{source}: {key}: found {shorten(repr(found))}: {message}"


def _list_allowed(schema: dict[Any, Any], path: list[Any]) -> list[str]:
    for part in path:
        schema = schema[part]
    return sorted(str(key) for key in schema)


def shorten(text: str) -> str:
    """Truncate the middle of a long value for a message."""
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    half = MAX_VALUE_CHARACTERS // 2
    return f"{text[:half]}...{text[-half:]}"


def load_settings(path: Path) -> Settings:
    """Load settings from a file; raise SettingsError if they are not valid."""
    try:
        data = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as err:
        raise SettingsError(f"{path}: {err}") from None
    try:
        checked = SETTINGS_SCHEMA(data)
    except vol.Invalid as err:
        message = describe_invalid(str(path), data, err, SETTINGS_SCHEMA)
        raise SettingsError(message) from None
    limits = _build_limits(path, checked[c.CONF_LIMITS])
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
        limits=limits,
    )


def _build_limits(path: Path, given: dict[str, Any]) -> Limits:
    """Return the limits; raise SettingsError if one exceeds its upper bound.

    A default is lowered to an upper bound that is set in the file.
    """
    limits = Limits(**given)
    for lower, upper in LIMIT_BOUNDS:
        found, allowed = getattr(limits, lower), getattr(limits, upper)
        if found > allowed and lower in given:
            raise SettingsError(
                f"{path}: {c.CONF_LIMITS}.{lower}: found {found}: expected at most"
                f" {upper}, which is {allowed}"
            )
        limits = replace(limits, **{lower: min(found, allowed)})
    return limits


def _read_credential(path: Path, key: str, credentials: dict[str, str]) -> str:
    file = path.parent / credentials[key]
    try:
        text = file.read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as err:
        raise SettingsError(f"{path}: {c.CONF_CREDENTIALS}.{key}: {err}") from None
    if not text:
        raise SettingsError(f"{path}: {c.CONF_CREDENTIALS}.{key}: {file} is empty")
    return text
