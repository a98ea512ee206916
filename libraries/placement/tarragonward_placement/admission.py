"""Refuse at once what cannot finish in time, with a time to retry."""

from __future__ import annotations

from collections.abc import Sequence

from tarragonward_core import ResultCode

from . import const as c
from .messages import EngineView, FleetView, PlacementRequest, Refused

__all__ = ["check_memory", "check_time", "refuse"]


def refuse(code: ResultCode, retry_after_seconds: float, detail: str = "") -> Refused:
    """Return a refusal whose time to retry is within the configured bounds."""
    seconds = max(retry_after_seconds, c.DEFAULT_RETRY_AFTER_SECONDS)
    return Refused(code, min(seconds, c.MAX_RETRY_AFTER_SECONDS), detail)


def check_memory(
    request: PlacementRequest, views: Sequence[EngineView], fleet: FleetView
) -> Refused | None:
    """Refuse a prompt that the largest possible group could not hold when idle.

    views lacks engines that are excluded or leaving. Judged by views alone, a caller
    would be told permanently that its prompt is too long while some engines are away.
    So that answer is given only if all published engines could not hold it either.
    """
    room = _compute_room([view.kv_tokens for view in views])
    if request.kv_tokens <= room:
        return None
    published_room = _compute_room(fleet.published_kv_tokens)
    if request.kv_tokens <= published_room:
        return refuse(
            ResultCode.OVERLOADED, c.LONG_RETRY_SECONDS, "too few engines in reach"
        )
    at_most = int(max(room, published_room))
    detail = f"{request.kv_tokens} tokens of KV memory, at most {at_most}"
    return Refused(ResultCode.PROMPT_TOO_LONG, c.DEFAULT_RETRY_AFTER_SECONDS, detail)


def _compute_room(kv_tokens: Sequence[int]) -> float:
    """Return the KV cache tokens that the largest group of such engines can hold."""
    largest = sorted(kv_tokens, reverse=True)[: c.MAX_GROUP_ENGINES]
    if not largest:
        return 0
    return max(sum(largest) * (1 - c.GROUP_MEMORY_MARGIN), largest[0])


def check_time(
    request: PlacementRequest, seconds_per_token: float, ttft_seconds: float
) -> Refused | None:
    """Refuse a request whose whole answer would not be complete by its deadline.

    The answer is assumed to have its maximum length, as its end is not known in
    advance.
    """
    answer_seconds = (request.max_tokens - 1) * seconds_per_token
    missing = ttft_seconds + answer_seconds - request.remaining_seconds
    if missing <= 0:
        return None
    detail = f"{missing:.1f} s short"
    return refuse(ResultCode.CANNOT_FINISH, missing, detail)
