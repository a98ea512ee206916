"""Build the load orders of engines and decide whether to send them."""

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
    """A model that an engine should load, with its version and adapters."""

    name: str
    version: str
    adapters: tuple[str, ...]


@dataclass(frozen=True)
class EngineOrder:
    """The models an engine should load; fencing is the configuration's number.

    The order depends only on the published document, so hosts with the same number
    always build the same order.
    """

    engine: str
    fencing: int
    models: tuple[LoadedModel, ...]

    def build_body(self) -> dict[str, Any]:
        """Return the JSON body of the order."""
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
    """The last order accepted by an engine, as reported by it.

    is_loading is set while it is still loading the weights of the order.
    """

    fencing: int
    models: dict[str, Any]
    is_loading: bool = False

    @classmethod
    def parse(cls, report: Any) -> EngineOrderState | None:
        """Parse the state in a load report; return None if it has none."""
        orders = report.get("orders") if isinstance(report, dict) else None
        if not isinstance(orders, dict) or type(orders.get("fencing")) is not int:
            return None
        models = orders.get("models")
        return cls(
            orders["fencing"],
            models if isinstance(models, dict) else {},
            report.get("loading") is True,
        )

    def has_accepted(self, order: EngineOrder) -> bool:
        """Return whether the order's models were accepted, loaded or not."""
        return self.models == order.build_body()["models"]

    def has_loaded(self, order: EngineOrder) -> bool:
        """Return whether the order's models are loaded and ready to serve."""
        return self.has_accepted(order) and not self.is_loading


class OrderDecision(Enum):
    """What to do about an engine's order."""

    NOTHING = "nothing"
    SEND = "send"
    VERIFY_THEN_SEND = "look, then send"
    CATCH_UP = "catch up"


def build_orders(configuration: Configuration, number: int) -> dict[str, EngineOrder]:
    """Return the order of each engine for this configuration number, by name."""
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
    """Decide whether to send an order, given the state that the engine reports.

    A higher number reported by the engine shows that this host's configuration is
    stale: it sends nothing and catches up. An engine that ignores fencing would accept
    an outdated order, so it gets one only after a fresh read of the configuration.
    """
    if reported is not None and reported.fencing > order.fencing:
        return OrderDecision.CATCH_UP
    if reported is not None and reported.has_accepted(order):
        if reported.fencing == order.fencing:
            return OrderDecision.NOTHING
    return OrderDecision.SEND if checks_fencing else OrderDecision.VERIFY_THEN_SEND
