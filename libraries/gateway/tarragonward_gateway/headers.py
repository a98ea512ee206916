"""Select the headers that are forwarded to targets and to callers."""

from __future__ import annotations

import re
from collections.abc import Iterable

from tarragonward_wire import RawHeaders

__all__ = [
    "build_answer_headers",
    "build_target_headers",
    "parse_count",
    "parse_load",
    "parse_token_counts",
    "parse_rate",
    "parse_cooldown_seconds",
]

CONNECTION = b"connection"
CONTENT_LENGTH = b"content-length"
LOAD_SEPARATOR = ","
LOAD_FIELDS = 3
MAX_DIGITS = 18
MAX_RATE_PER_SECOND = 1e9
SECONDS = re.compile(r"[0-9]{1,20}(\.[0-9]{1,20})?([eE][+-]?[0-9]{1,3})?")
# Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        CONNECTION,
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


# These are forwarded even if the caller's Connection header lists them: without them
# the target would run a different request.
NEVER_HOP_BY_HOP = frozenset({b"host", CONTENT_LENGTH})


def build_target_headers(
    headers: RawHeaders, set_by_host: dict[str, str], stripped: Iterable[str]
) -> RawHeaders:
    """Return a caller's headers for a target, with those that this host sets.

    A caller's own values of set_by_host and stripped names are never forwarded.
    """
    removed = {name.encode("ascii") for name in (*set_by_host, *stripped)}
    kept = _remove_hop_by_hop(headers, removed)
    added = (
        (name.encode("ascii"), _encode_value(value))
        for name, value in set_by_host.items()
    )
    return (*kept, *added)


def _encode_value(value: str) -> bytes:
    """Return a header's value in bytes; the name of a client account is any text."""
    try:
        return value.encode("latin-1")
    except UnicodeEncodeError:
        return value.encode("utf-8")


def build_answer_headers(headers: RawHeaders, has_body: bool = True) -> RawHeaders:
    """Return a target's headers for the caller.

    An answer with a body loses its content length, as the body is framed anew.
    """
    return tuple(_remove_hop_by_hop(headers, {CONTENT_LENGTH} if has_body else set()))


def parse_count(text: str) -> int | None:
    """Return a header's value as an integer, None if it is not one."""
    is_count = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
    return int(text) if is_count else None


def parse_token_counts(text: str) -> tuple[int, int] | None:
    """Return the prompt tokens and the output limit, None if the header lacks them."""
    first, _, second = text.partition(",")
    prompt, output = parse_count(first), parse_count(second)
    return None if prompt is None or output is None else (prompt, output)


def parse_load(text: str) -> tuple[int, int] | None:
    """Return a target's running and waiting requests, None if the text is malformed."""
    counts = [parse_count(part) for part in text.split(LOAD_SEPARATOR)]
    if len(counts) != LOAD_FIELDS or counts[0] is None or counts[1] is None:
        return None
    return counts[0], counts[1]


def parse_rate(text: str | None) -> float | None:
    """Return a header's value as a rate per second, None if it is not one."""
    try:
        rate = float(text) if text is not None and text.isascii() else -1.0
    except ValueError:
        return None
    return rate if 0.0 <= rate <= MAX_RATE_PER_SECOND else None


def parse_cooldown_seconds(text: str) -> float | None:
    """Return the longest of a Retry-After header's values, None if none is in seconds.

    An HTTP date is not accepted: the clocks of targets and hosts may differ.
    """
    parts = [part.strip() for part in text.split(",")]
    return max((float(p) for p in parts if SECONDS.fullmatch(p)), default=None)


def _remove_hop_by_hop(
    headers: RawHeaders, names: set[bytes]
) -> list[tuple[bytes, bytes]]:
    dropped = HOP_BY_HOP | names | (_get_connection_options(headers) - NEVER_HOP_BY_HOP)
    return [pair for pair in headers if pair[0].lower() not in dropped]


def _get_connection_options(headers: RawHeaders) -> set[bytes]:
    return {
        name.strip().lower()
        for key, value in headers
        if key.lower() == CONNECTION
        for name in value.split(b",")
    }
