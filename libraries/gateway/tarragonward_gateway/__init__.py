"""The tasks of an entry host that forwards requests unchanged along routes."""

from .app import Gateway
from .operators import build_log_budget
from .ports import (
    AnswerHandler,
    ConnectorSource,
    HeaderNames,
    HistoryLostError,
    Page,
    Paths,
    Record,
    RecordParser,
    RecordReader,
    Records,
    Reservation,
    ReservationAnswer,
    ReservationClient,
    SourceError,
)
from .revisions import combine_revision, format_revision, get_epoch, get_number
from .settings import (
    GatewaySettings,
    load_gateway_settings,
    parse_gateway_settings,
)

__all__ = [
    "AnswerHandler",
    "ConnectorSource",
    "Gateway",
    "GatewaySettings",
    "HeaderNames",
    "HistoryLostError",
    "Page",
    "Paths",
    "Record",
    "RecordParser",
    "RecordReader",
    "Records",
    "Reservation",
    "ReservationAnswer",
    "SourceError",
    "ReservationClient",
    "build_log_budget",
    "combine_revision",
    "format_revision",
    "get_epoch",
    "get_number",
    "load_gateway_settings",
    "parse_gateway_settings",
]
