"""Bind the addresses of a starting host, again while another process has one."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable

from absl import logging

from tarragonward_core import log_event

from .const import BIND_RETRY_LIMIT_SECONDS, BIND_RETRY_SECONDS

__all__ = ["async_bind"]


async def async_bind(
    async_setup: Callable[[], Awaitable[None]],
    is_stopping: Callable[[], bool] = lambda: False,
) -> None:
    """Call async_setup until the addresses that it binds are free.

    A port may be taken for some seconds, by a connection that got it as its own or by
    the previous process of the host. If the host ended instead, each of its restarts
    might come later than the one before. Raise OSError for other errors, when the host
    is stopping, and after BIND_RETRY_LIMIT_SECONDS; async_setup holds nothing then.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + BIND_RETRY_LIMIT_SECONDS
    while True:
        try:
            await async_setup()
            return
        except OSError as err:
            is_over = is_stopping() or loop.time() >= give_up_at
            if err.errno != errno.EADDRINUSE or is_over:
                raise
            log_event("address_taken", level=logging.ERROR, error=str(err))
        await asyncio.sleep(BIND_RETRY_SECONDS)
