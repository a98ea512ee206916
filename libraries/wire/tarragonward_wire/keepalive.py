"""End connections whose peer has disappeared."""

from __future__ import annotations

import asyncio
import socket

from .const import SHORT_KEEPALIVE_PROBES, SHORT_KEEPALIVE_SECONDS

__all__ = ["set_unreachable_timeout"]

MILLISECONDS_PER_SECOND = 1_000


def set_unreachable_timeout(transport: asyncio.BaseTransport, timeout: float) -> None:
    """End a connection once its peer's kernel acknowledges nothing for timeout seconds.

    A peer that lost power or network sends no reset, and the wait for its answer would
    end only with the request's time limit. The kernel of a live peer acknowledges
    keepalive probes, so a peer that is merely busy is not disconnected. On Linux
    TCP_USER_TIMEOUT alone decides when probes are given up, whatever their count.
    """
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, SHORT_KEEPALIVE_SECONDS),
        (socket.TCP_KEEPINTVL, SHORT_KEEPALIVE_SECONDS),
        (socket.TCP_KEEPCNT, SHORT_KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, int(timeout * MILLISECONDS_PER_SECOND)),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
