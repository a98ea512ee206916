"""A process's settings, and the configuration that operators publish."""

from .document import (
    ClientAccount,
    Configuration,
    Model,
    Operation,
    Service,
    Target,
    hash_token,
    parse_configuration,
)
from .history import (
    ConfigurationHistory,
    Outcome,
    Taken,
    decode_entries,
    encode_entries,
    parse_entry,
)
from .orders import (
    EngineOrder,
    EngineOrderState,
    OrderDecision,
    build_orders,
    decide_order,
)
from .patches import (
    ConfigurationState,
    Judgement,
    LogEntry,
    Verdict,
    apply_entries,
    apply_entry,
    build_state,
    compute_digest,
    judge_entry,
)
from .settings import Limits, Settings, load_settings

__all__ = [
    "ClientAccount",
    "Configuration",
    "ConfigurationHistory",
    "ConfigurationState",
    "EngineOrder",
    "EngineOrderState",
    "Judgement",
    "Limits",
    "LogEntry",
    "Model",
    "Operation",
    "OrderDecision",
    "Outcome",
    "Service",
    "Settings",
    "Taken",
    "Target",
    "Verdict",
    "apply_entries",
    "apply_entry",
    "build_orders",
    "build_state",
    "compute_digest",
    "decide_order",
    "decode_entries",
    "encode_entries",
    "hash_token",
    "judge_entry",
    "load_settings",
    "parse_configuration",
    "parse_entry",
]
