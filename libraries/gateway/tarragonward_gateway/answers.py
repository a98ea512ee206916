"""Read the answers of targets, and send the error answers of this host itself."""

from __future__ import annotations

from tarragonward_core import ConnectionLostError, ResultCode, TargetError
from tarragonward_wire import BodyBudget, HttpStream, Responder, build_error_body

from . import const as c
from .heads import SpoiledAnswerError

__all__ = ["async_read_answer", "async_send_refusal"]


async def async_read_answer(stream: HttpStream, budget: BodyBudget) -> bytes:
    """Return the body of an answer; raise SpoiledAnswerError if it is too large.

    Targets in trouble may send bodies without end, to many requests at once. So the
    answers that are being read share a budget.
    """
    body = bytearray()
    reserved = 0

    def reserve() -> None:
        nonlocal reserved
        if not budget.reserve(len(body) - reserved):
            raise TargetError("the answers exceed the memory for them")
        reserved = len(body)

    try:
        await stream.async_read_into(body, c.MAX_ANSWER_BYTES, reserve)
    except ConnectionLostError:
        raise
    except TargetError as err:
        raise SpoiledAnswerError(str(err)) from None
    finally:
        budget.release(reserved)
    return bytes(body)


async def async_send_refusal(
    responder: Responder, code: ResultCode, retry_after_seconds: float | None = None
) -> None:
    """Send an error with its result code; retry-after may be a fraction of a second."""
    headers = {"x-result-code": str(code.number)}
    if retry_after_seconds is not None:
        headers["retry-after"] = f"{retry_after_seconds:.3f}"
    body = build_error_body(
        code,
        request_id=responder.request_id,
        retry_after_seconds=retry_after_seconds,
    )
    await responder.async_send_json(code.http_status, body, headers)
