"""Render a host's settings template as the platform does, and define its values."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping, Sequence
from typing import Any

__all__ = ["BOUNDS", "LIMITS", "render_settings"]

BOUNDS: Mapping[str, Any] = {
    "addrReuseS": 2,
    "applyMs": 2000,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "maxHoldMs": 20000,
    "passMs": 120,
    "retryRatio": 0.2,
    "retrySlack": 106,
    "retryWindowS": 10,
    "stableWindowMs": 3000,
    "stall_ms": 1500,
    "freeMs": 4000,
    "idleMaxMs": 9000,
    "coldExcess": 1.5,
    "coldSlack": 5,
}
LIMITS = {
    "headerBytes": 16384,
    "bodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}

TAG = re.compile(r"\{\{\s*([#^/]?)\s*([^}|\s]+)\s*(\|json)?\s*\}\}")
SEPARATOR = ","


def render_settings(template: str, fields: Mapping[str, Any]) -> str:
    """Render a template's placeholders and sections."""
    return _render(template, [fields], {})


def _render(template: str, scopes: Sequence[Any], specials: Mapping[str, Any]) -> str:
    out: list[str] = []
    position = 0
    while (tag := TAG.search(template, position)) is not None:
        out.append(template[position : tag.start()])
        kind, name, is_json = tag.groups()
        position = tag.end()
        if kind in ("#", "^"):
            end = _find_end(template, name, position)
            body = template[position : end.start()]
            out.append(_render_section(kind, name, body, scopes, specials))
            position = end.end()
        else:
            out.append(_format(_look_up(name, scopes, specials), bool(is_json)))
    out.append(template[position:])
    return "".join(out)


def _find_end(template: str, name: str, position: int) -> re.Match[str]:
    depth = 1
    while (tag := TAG.search(template, position)) is not None:
        position = tag.end()
        if tag[2] != name or not tag[1]:
            continue
        depth += -1 if tag[1] == "/" else 1
        if not depth:
            return tag
    raise ValueError(f"section {name} has no end")


def _render_section(
    kind: str, name: str, body: str, scopes: Sequence[Any], specials: Mapping[str, Any]
) -> str:
    value = _look_up(name, scopes, specials)
    if kind == "^":
        is_absent = value is None or value is False
        return _render(body, scopes, specials) if is_absent else ""
    if isinstance(value, Mapping):
        entries = list(value.items())
    elif isinstance(value, list):
        entries = list(enumerate(value))
    else:
        is_present = value is not None and value is not False
        return _render(body, scopes, specials) if is_present else ""
    return "".join(
        _render(
            body,
            [entry, *scopes],
            {".": entry, "@": key, SEPARATOR: "," if n < len(entries) - 1 else ""},
        )
        for n, (key, entry) in enumerate(entries)
    )


def _look_up(name: str, scopes: Sequence[Any], specials: Mapping[str, Any]) -> Any:
    if name in specials:
        return specials[name]
    if name == ".":
        return scopes[0]
    for scope in scopes:
        value = scope
        for part in name.split("."):
            value = _step(value, part)
        if value is not None:
            return value
    return None


def _step(value: Any, part: str) -> Any:
    if isinstance(value, Mapping):
        return value.get(part)
    if isinstance(value, list) and part.isdecimal() and int(part) < len(value):
        return value[int(part)]
    return None


def _format(value: Any, is_json: bool) -> str:
    if is_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(_format(item, False) for item in value)
    if isinstance(value, Mapping) or isinstance(value, bool):
        return json.dumps(value)
    return str(value)
