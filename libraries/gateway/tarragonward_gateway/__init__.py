"""The tasks of one entry host that forwards requests unchanged, by routes."""

from .app import Gateway
from .ports import (
    HeaderNames,
    HistoryLostError,
    Paths,
    Record,
    RecordParser,
    RecordReader,
    Records,
    Reservation,
    SourceError,
    TargetCalls,
)
from .settings import GatewaySettings, load_gateway_settings

__all__ = [
    "Gateway",
    "GatewaySettings",
    "HeaderNames",
    "HistoryLostError",
    "Paths",
    "Record",
    "RecordParser",
    "RecordReader",
    "Records",
    "Reservation",
    "SourceError",
    "TargetCalls",
    "load_gateway_settings",
]
