"""The routes and services that a deployment of the stand-in publishes."""

from __future__ import annotations

from typing import Any

from .platform_engine import PassSizes

__all__ = [
    "HOST_NAME",
    "MODEL_SERVICE",
    "PLAIN_SERVICE",
    "ROUTES",
    "describe_model_service",
    "describe_plain_service",
    "describe_route",
]

MODEL_SERVICE = "llm"
PLAIN_SERVICE = "app"
HOST_NAME = "calm.example"


def describe_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route's document; fields override the defaults."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 5_000,
        "goalMs": 1_000,
        "priority": 1,
        "attempts": 2,
        "public": False,
        **fields,
    }


ROUTES = (
    describe_route(
        "draft",
        "stream",
        MODEL_SERVICE,
        sticky=True,
        resumable=True,
        gapTargetMs=800,
        timeoutMs=10_000,
    ),
    describe_route("confirm", "non_idempotent", PLAIN_SERVICE, attempts=1),
    describe_route("look", "idempotent", PLAIN_SERVICE),
)


def describe_model_service(
    sizes: PassSizes, cold_seconds: float, cold_per_second: float
) -> dict[str, Any]:
    """Return the document of the model service, with what its engines can do."""
    return {
        "name": MODEL_SERVICE,
        "healthPath": "/health",
        "maxConns": 270,
        "protocol": "h1",
        "tls": False,
        "coldS": cold_seconds,
        "coldPerS": cold_per_second,
        "engine": {
            "slots": sizes.slots,
            "kvCapacity": sizes.memory_tokens,
            "stride": sizes.stride,
            "chunk": sizes.chunk,
            "step_ms": sizes.step_ms,
            "per_seq_ms": sizes.per_seq_ms,
            "context_per_k": sizes.context_per_k,
            "read_per_s": sizes.read_per_s,
            "pairs_per_m": sizes.pairs_per_m,
            "report_lag_ms": 200.0,
            "hopMs": sizes.hop_ms,
            "usual": {"prompt": 5_000, "answer": 600},
            "models": [{"name": "m"}],
            "delays": [],
        },
    }


def describe_plain_service(
    cold_seconds: float, cold_per_second: float
) -> dict[str, Any]:
    """Return the document of the plain service."""
    return {
        "name": PLAIN_SERVICE,
        "healthPath": "/health",
        "maxConns": 110,
        "protocol": "h1",
        "tls": False,
        "coldS": cold_seconds,
        "coldPerS": cold_per_second,
    }
