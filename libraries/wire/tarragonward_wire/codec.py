"""Encode and decode typed messages as msgpack."""

from __future__ import annotations

from dataclasses import fields, is_dataclass
from typing import Any, TypeVar, get_type_hints

import msgpack

from tarragonward_core import FrameError

__all__ = ["decode_message", "encode_message", "register_message"]

MessageT = TypeVar("MessageT")
_TYPES: dict[str, type] = {}
_FIELD_TYPES: dict[str, tuple[type, ...]] = {}


def register_message(message_type: type[MessageT]) -> type[MessageT]:
    """Register a frozen data class as a message between hosts; a class decorator.

    Fields, and the elements of tuples and dicts, are int, float, str, bytes, bool,
    tuple or dict. Both ends must register the type with the same name and fields.
    """
    if not is_dataclass(message_type):
        raise TypeError(f"{message_type.__name__} is not a data class")
    name = message_type.__name__
    hints = get_type_hints(message_type)
    _TYPES[name] = message_type
    _FIELD_TYPES[name] = tuple(
        getattr(hints[field.name], "__origin__", hints[field.name])
        for field in fields(message_type)
    )
    return message_type


def encode_message(message: Any) -> bytes:
    """Encode a message; raise FrameError if its type is not registered."""
    name = type(message).__name__
    if _TYPES.get(name) is not type(message):
        raise FrameError(f"{name} is not a registered message")
    values = [getattr(message, field.name) for field in fields(message)]
    return msgpack.packb([name, values])


def decode_message(data: bytes) -> Any:
    """Decode a message; raise FrameError if the data is not a valid message."""
    try:
        name, values = msgpack.unpackb(data, use_list=False, strict_map_key=False)
        message_type, field_types = _TYPES[name], _FIELD_TYPES[name]
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as err:
        raise FrameError(
            f"invalid or unregistered message: {type(err).__name__}"
        ) from None
    if not isinstance(values, tuple) or len(values) != len(field_types):
        raise FrameError(f"{name} has a different number of fields here")
    for value, field_type in zip(values, field_types, strict=True):
        if not _is_instance(value, field_type):
            raise FrameError(
                f"{name}: field has unexpected type {type(value).__name__}"
            )
    return message_type(*values)


def _is_instance(value: Any, field_type: type) -> bool:
    if field_type is float:
        return isinstance(value, int | float) and not isinstance(value, bool)
    if field_type is int:
        return isinstance(value, int) and not isinstance(value, bool)
    return isinstance(value, field_type)
