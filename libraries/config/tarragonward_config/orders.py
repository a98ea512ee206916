"""Decide what each engine should have loaded, and whether to order it to."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from .document import Configuration, Target

__all__ = [
    "EngineOrder",
    "EngineOrderState",
    "LoadedModel",
    "OrderDecision",
    "build_orders",
    "decide_order",
]


@dataclass(frozen=True)
class LoadedModel:
    """One model that an engine should have, with its version and adapters."""

    name: str
    version: str
    adapters: tuple[str, ...]


@dataclass(frozen=True)
class EngineOrder:
    """What one engine should have; fencing is the configuration's number in force.

    It follows from the published document alone, so two hosts with the same number
    can only give the same order.
    """

    engine: str
    fencing: int
    models: tuple[LoadedModel, ...]

    def build_body(self) -> dict[str, Any]:
        """Return the order as the engine takes it."""
        return {
            "fencing": self.fencing,
            "models": {
                model.name: {
                    "version": model.version,
                    "adapters": list(model.adapters),
                }
                for model in self.models
            },
        }


@dataclass(frozen=True)
class EngineOrderState:
    """What an engine reports of the last order that it took.

    is_loading tells that it still reads the weights that the order names.
    """

    fencing: int
    models: dict[str, Any]
    is_loading: bool = False

    @classmethod
    def parse(cls, report: Any) -> EngineOrderState | None:
        """Return the state in a load report, or None where it holds none."""
        orders = report.get("orders") if isinstance(report, dict) else None
        if not isinstance(orders, dict) or type(orders.get("fencing")) is not int:
            return None
        models = orders.get("models")
        return cls(
            orders["fencing"],
            models if isinstance(models, dict) else {},
            report.get("loading") is True,
        )

    def has(self, order: EngineOrder) -> bool:
        """Return whether what the order names was taken, loaded or not."""
        return self.models == order.build_body()["models"]

    def has_loaded(self, order: EngineOrder) -> bool:
        """Return whether what the order names is there, ready to serve."""
        return self.has(order) and not self.is_loading


class OrderDecision(Enum):
    """What to do about one engine now."""

    NOTHING = "nothing"
    SEND = "send"
    LOOK_THEN_SEND = "look, then send"
    CATCH_UP = "catch up"


def build_orders(configuration: Configuration, number: int) -> dict[str, EngineOrder]:
    """Return the order of each engine under the number in force, by engine name."""
    return {
        target.name: EngineOrder(
            target.name, number, _list_models(configuration, target)
        )
        for target in configuration.targets.values()
        if target.models
    }


def _list_models(
    configuration: Configuration, target: Target
) -> tuple[LoadedModel, ...]:
    models = (configuration.models[name] for name in sorted(target.models))
    return tuple(LoadedModel(m.name, m.version, m.adapters) for m in models)


def decide_order(
    order: EngineOrder, reported: EngineOrderState | None, checks_fencing: bool
) -> OrderDecision:
    """Decide about one engine from what it reports.

    An engine that reports a higher number shows that this host's own is stale: it
    sends nothing and catches up. An engine that ignores fencing would take an old
    host's order; there an order goes out only after a fresh look at the service.
    """
    if reported is not None and reported.fencing > order.fencing:
        return OrderDecision.CATCH_UP
    if reported is not None and reported.has(order):
        if reported.fencing == order.fencing:
            return OrderDecision.NOTHING
    return OrderDecision.SEND if checks_fencing else OrderDecision.LOOK_THEN_SEND
