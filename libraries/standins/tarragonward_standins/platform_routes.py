"""The routes and services that a deployment of the stand-in publishes."""

from __future__ import annotations

from typing import Any

__all__ = [
    "HOST_NAME",
    "MODEL_SERVICE",
    "PLAIN_SERVICE",
    "ROUTES",
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
