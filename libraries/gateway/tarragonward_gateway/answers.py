"""Send the error answers of this host itself."""

from __future__ import annotations

from tarragonward_core import ResultCode
from tarragonward_wire import Responder, build_error_body

__all__ = ["async_send_refusal"]


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
