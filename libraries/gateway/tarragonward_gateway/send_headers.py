"""Build the headers of a request that is sent to a target."""

from __future__ import annotations

from tarragonward_routes import Account
from tarragonward_wire import RawHeaders

from .choices import SendChoice
from .headers import build_target_headers
from .ports import HeaderNames

__all__ = ["build_send_headers"]

MILLISECONDS_PER_SECOND = 1_000


def build_send_headers(
    names: HeaderNames,
    headers: RawHeaders,
    account: Account | None,
    choice: SendChoice,
    last_event_id: int | None,
    seconds_left: float,
) -> RawHeaders:
    """Return a caller's headers for the chosen target, with those of this host.

    last_event_id is that of the last event the caller has, None before the first;
    seconds_left is the time until the request's deadline.
    """
    set_by_host = {
        names.deadline_ms: str(max(1, int(seconds_left * MILLISECONDS_PER_SECOND))),
        names.expected_target: choice.target.name,
    }
    if account is not None:
        set_by_host[names.account] = account.name
    if choice.helpers:
        set_by_host[names.helpers] = choice.helpers_header
    if last_event_id is not None:
        set_by_host[names.last_event_id] = str(last_event_id)
    stripped = (names.caller_key, names.account, names.priority, names.helpers)
    return build_target_headers(headers, set_by_host, stripped)
