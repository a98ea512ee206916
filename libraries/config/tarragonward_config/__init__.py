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
from .patches import (
    ConfigurationState,
    LogEntry,
    Verdict,
    apply_entries,
    apply_entry,
    build_state,
)
from .settings import Limits, Settings, load_settings

__all__ = [
    "ClientAccount",
    "Configuration",
    "ConfigurationState",
    "Limits",
    "LogEntry",
    "Model",
    "Operation",
    "Service",
    "Settings",
    "Target",
    "Verdict",
    "apply_entries",
    "apply_entry",
    "build_state",
    "hash_token",
    "load_settings",
    "parse_configuration",
]
