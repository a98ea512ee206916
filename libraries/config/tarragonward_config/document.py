"""Validate the published configuration and convert it to typed data."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

import voluptuous as vol

from tarragonward_core import Address, ConfigurationError

from . import const as c
from .settings import describe_invalid

__all__ = [
    "ClientAccount",
    "Configuration",
    "Model",
    "Operation",
    "Service",
    "Target",
    "hash_token",
    "parse_configuration",
]


@dataclass(frozen=True)
class ClientAccount:
    """A client account; token_hashes are hexadecimal SHA-256 hashes."""

    name: str
    token_hashes: tuple[str, ...] = field(repr=False)
    weight: float
    priority: int


@dataclass(frozen=True)
class Model:
    """A model; context_tokens limits the sum of prompt and answer."""

    name: str
    version: str
    context_tokens: int
    adapters: tuple[str, ...]


@dataclass(frozen=True)
class Operation:
    """An operation of a service.

    not_run_statuses are the HTTP statuses with which the service guarantees that it
    did not run the call.
    """

    name: str
    is_idempotent: bool
    not_run_statuses: frozenset[int]


@dataclass(frozen=True)
class Service:
    """A service that is not a model engine, and its operations by name."""

    name: str
    operations: MappingProxyType[str, Operation]


@dataclass(frozen=True)
class Target:
    """An engine or a service's target; kv_tokens is the engine's KV cache size."""

    name: str
    kind: str
    address: Address
    failure_domain: str
    models: tuple[str, ...]
    service: str
    kv_tokens: int
    checks_fencing: bool


@dataclass(frozen=True)
class Configuration:
    """A published configuration, read-only.

    parallel_loads is how many engines may load weights at once; None is unlimited. The
    targets of evacuated_domains get no new work.
    """

    client_accounts: MappingProxyType[str, ClientAccount]
    models: MappingProxyType[str, Model]
    services: MappingProxyType[str, Service]
    targets: MappingProxyType[str, Target]
    parallel_loads: int | None = None
    evacuated_domains: frozenset[str] = frozenset()

    def find_account(self, token: str) -> ClientAccount | None:
        """Return the account of a bearer token.

        All hashes are compared, each in constant time, so that the time taken reveals
        nothing about the tokens.
        """
        expected = hash_token(token)
        found = None
        for account in self.client_accounts.values():
            for token_hash in account.token_hashes:
                if hmac.compare_digest(expected, token_hash):
                    found = account
        return found

    def get_engines(self, model: str) -> list[Target]:
        """Return the engines that serve a model."""
        return [t for t in self.targets.values() if model in t.models]

    def is_evacuated(self, target: Target) -> bool:
        """Return whether a target gets no new work, by its failure domain."""
        return target.failure_domain in self.evacuated_domains

    def find_operation(self, service: str, operation: str) -> Operation | None:
        """Return an operation of a service, or None if it is not published."""
        found = self.services.get(service)
        return None if found is None else found.operations.get(operation)

    def get_service_targets(self, service: str) -> list[Target]:
        """Return the targets of a service."""
        return [
            t
            for t in self.targets.values()
            if t.kind == c.KIND_SERVICE and t.service == service
        ]


def hash_token(token: str) -> str:
    """Return the hash that is published for a bearer token."""
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


_NAME = vol.All(str, vol.Match(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"))
_HASH = vol.All(str, vol.Match(r"^[0-9a-f]{64}$"))
_POSITIVE = vol.All(int, vol.Range(min=1))


def _check_address(value: Any) -> str:
    try:
        Address.parse(value)
    except (ValueError, AttributeError):
        raise vol.Invalid("expected 'IP:port'") from None
    return value


_TARGET_COMMON = {
    vol.Required(c.CONF_ADDRESS): _check_address,
    vol.Required(c.CONF_FAILURE_DOMAIN): _NAME,
}
_ENGINE = vol.Schema(
    {
        **_TARGET_COMMON,
        vol.Required(c.ATTR_KIND): c.KIND_ENGINE,
        vol.Required(c.ATTR_MODELS): [_NAME],
        vol.Required(c.ATTR_KV_TOKENS): _POSITIVE,
        vol.Optional(c.ATTR_CHECKS_FENCING, default=False): bool,
    }
)
_SERVICE_TARGET = vol.Schema(
    {
        **_TARGET_COMMON,
        vol.Required(c.ATTR_KIND): c.KIND_SERVICE,
        vol.Required(c.ATTR_SERVICE): _NAME,
        vol.Optional(c.ATTR_CHECKS_FENCING, default=False): bool,
    }
)


def _check_target(value: Any) -> Any:
    kind = value.get(c.ATTR_KIND) if isinstance(value, dict) else None
    if kind == c.KIND_ENGINE:
        return _ENGINE(value)
    if kind == c.KIND_SERVICE:
        return _SERVICE_TARGET(value)
    raise vol.Invalid(f"expected kind {c.KIND_ENGINE!r} or {c.KIND_SERVICE!r}")


DOCUMENT_SCHEMA = vol.Schema(
    {
        vol.Required(c.ATTR_CLIENT_ACCOUNTS): {
            _NAME: {
                vol.Required(c.ATTR_TOKEN_SHA256): vol.All([_HASH], vol.Length(min=1)),
                vol.Optional(c.ATTR_WEIGHT, default=c.DEFAULT_WEIGHT): vol.All(
                    vol.Any(int, float), vol.Range(min=0, min_included=False)
                ),
                vol.Optional(c.ATTR_PRIORITY, default=c.DEFAULT_PRIORITY): int,
            }
        },
        vol.Required(c.ATTR_MODELS): {
            _NAME: {
                vol.Required(c.ATTR_CONTEXT_TOKENS): _POSITIVE,
                vol.Optional(c.ATTR_VERSION, default="1"): str,
                vol.Optional(c.ATTR_ADAPTERS, default=list): [_NAME],
            }
        },
        vol.Required(c.ATTR_SERVICES): {
            _NAME: {
                vol.Required(c.ATTR_OPERATIONS): {
                    _NAME: {
                        vol.Required(c.ATTR_IDEMPOTENT): bool,
                        vol.Optional(c.ATTR_NOT_RUN_STATUSES, default=list): [
                            vol.All(int, vol.Range(min=400, max=599))
                        ],
                    }
                }
            }
        },
        vol.Required(c.ATTR_TARGETS): {_NAME: _check_target},
        vol.Optional(c.ATTR_EVACUATED_DOMAINS, default=list): [_NAME],
        vol.Optional(c.ATTR_WEIGHT_STORE, default=dict): {
            vol.Optional(c.ATTR_PARALLEL_LOADS): _POSITIVE,
        },
    }
)


def parse_configuration(
    document: Any,
    source: str = "configuration",
    previous: tuple[dict[str, Any], Configuration] | None = None,
) -> Configuration:
    """Convert a published document to typed data.

    previous is an earlier valid document and its typed data: entries that are the same
    object in both documents are reused without validation. Raise ConfigurationError if
    the document is not valid or has dangling references, such as an engine of a model
    that is not published.
    """
    old_document, old = previous or ({}, EMPTY_CONFIGURATION)
    changed, unchanged = _split_unchanged(document, old_document)
    try:
        checked = DOCUMENT_SCHEMA(changed)
    except vol.Invalid as err:
        raise ConfigurationError(describe_invalid(source, document, err)) from None
    configuration = Configuration(
        **{
            section: _merge(
                document[section],
                _map(checked[section], build),
                getattr(old, section),
                unchanged[section],
            )
            for section, build in BUILDERS.items()
        },
        parallel_loads=checked[c.ATTR_WEIGHT_STORE].get(c.ATTR_PARALLEL_LOADS),
        evacuated_domains=frozenset(checked[c.ATTR_EVACUATED_DOMAINS]),
    )
    _check_references(configuration, source)
    return configuration


def _split_unchanged(
    document: Any, old_document: dict[str, Any]
) -> tuple[Any, dict[str, set[str]]]:
    """Return the document without its unchanged entries, and the names of those."""
    unchanged: dict[str, set[str]] = {section: set() for section in BUILDERS}
    if not isinstance(document, dict):
        return document, unchanged
    changed = dict(document)
    for section in BUILDERS:
        entries, old_entries = document.get(section), old_document.get(section, {})
        if isinstance(entries, dict):
            unchanged[section] = {
                n for n, e in entries.items() if old_entries.get(n) is e
            }
            changed[section] = {
                name: entry
                for name, entry in entries.items()
                if name not in unchanged[section]
            }
    return changed, unchanged


def _merge(
    entries: dict[str, Any],
    built: MappingProxyType[str, Any],
    old: MappingProxyType[str, Any],
    unchanged: set[str],
) -> MappingProxyType[str, Any]:
    """Merge reused and newly built entries, in the order of the document."""
    return MappingProxyType(
        {name: old[name] if name in unchanged else built[name] for name in entries}
    )


def _map(items: dict[str, Any], build: Any) -> MappingProxyType[str, Any]:
    return MappingProxyType({name: build(name, item) for name, item in items.items()})


def _build_account(name: str, item: dict[str, Any]) -> ClientAccount:
    hashes = tuple(item[c.ATTR_TOKEN_SHA256])
    return ClientAccount(name, hashes, item[c.ATTR_WEIGHT], item[c.ATTR_PRIORITY])


def _build_model(name: str, item: dict[str, Any]) -> Model:
    return Model(
        name,
        item[c.ATTR_VERSION],
        item[c.ATTR_CONTEXT_TOKENS],
        tuple(item[c.ATTR_ADAPTERS]),
    )


def _build_service(name: str, item: dict[str, Any]) -> Service:
    return Service(name, _map(item[c.ATTR_OPERATIONS], _build_operation))


def _build_operation(name: str, item: dict[str, Any]) -> Operation:
    statuses = frozenset(item[c.ATTR_NOT_RUN_STATUSES])
    return Operation(name, item[c.ATTR_IDEMPOTENT], statuses)


def _build_target(name: str, item: dict[str, Any]) -> Target:
    return Target(
        name=name,
        kind=item[c.ATTR_KIND],
        address=Address.parse(item[c.CONF_ADDRESS]),
        failure_domain=item[c.CONF_FAILURE_DOMAIN],
        models=tuple(item.get(c.ATTR_MODELS, ())),
        service=item.get(c.ATTR_SERVICE, ""),
        kv_tokens=item.get(c.ATTR_KV_TOKENS, 0),
        checks_fencing=item[c.ATTR_CHECKS_FENCING],
    )


BUILDERS = {
    c.ATTR_CLIENT_ACCOUNTS: _build_account,
    c.ATTR_MODELS: _build_model,
    c.ATTR_SERVICES: _build_service,
    c.ATTR_TARGETS: _build_target,
}
EMPTY_CONFIGURATION = Configuration(*(MappingProxyType({}) for _ in BUILDERS))


def _check_references(configuration: Configuration, source: str) -> None:
    for target in configuration.targets.values():
        for model in target.models:
            if model not in configuration.models:
                raise ConfigurationError(
                    f"{source}: targets.{target.name}.models: found {model!r}:"
                    f" expected one of {sorted(configuration.models)}"
                )
        if target.service and target.service not in configuration.services:
            raise ConfigurationError(
                f"{source}: targets.{target.name}.service: found {target.service!r}:"
                f" expected one of {sorted(configuration.services)}"
            )
