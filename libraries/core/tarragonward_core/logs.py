"""Write one line of key=value pairs for each event."""

from __future__ import annotations

import sys
from typing import Any

from absl import logging

__all__ = ["format_event", "log_event", "setup_logging"]

MAX_VALUE_CHARACTERS = 512


def format_event(event: str, **fields: Any) -> str:
    """Return the line of an event: `event=name key=value ...`.

    A value that could break the line is quoted: hostile input must not be able to
    forge another event or another field.
    """
    pairs = [f"event={_format_value(event)}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    if text and all(_is_plain(character) for character in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    quoted = "".join(
        character if character.isprintable() else _escape(character)
        for character in escaped
    )
    return f'"{quoted}"'


def _is_plain(character: str) -> bool:
    return character.isascii() and (character.isalnum() or character in "._-:/+")


def _escape(character: str) -> str:
    return character.encode("unicode_escape", "backslashreplace").decode("ascii")


def log_event(event: str, *, level: int = logging.INFO, **fields: Any) -> None:
    """Log one event with its fields; a field of value None is left out."""
    if level > logging.get_verbosity():
        return
    present = {key: value for key, value in fields.items() if value is not None}
    logging.log(level, "%s", format_event(event, **present))


def setup_logging(verbosity: int = logging.INFO) -> None:
    """Send logs to standard error from the level verbosity on."""
    logging.use_absl_handler()
    logging.get_absl_handler().python_handler.stream = sys.stderr
    logging.set_verbosity(verbosity)
