"""Tell the end of an answer that only a close ends from a part of it."""

from __future__ import annotations

import asyncio

from tarragonward_core import ConnectionLostError
from tarragonward_wire import HttpStream

from . import const as c
from .choices import SendChoice
from .targets import TargetChooser

__all__ = ["async_check_end"]


async def async_check_end(
    stream: HttpStream, choice: SendChoice, chooser: TargetChooser
) -> None:
    """Raise ConnectionLostError if an answer may be cut that has just ended.

    An answer with a length or in chunks tells its end. Any other one ends with its
    connection, which the kernel of a target that crashes closes, too.
    """
    if not stream.has_ended_with_connection:
        return
    # A stream ends with its last event. An engine that waits for a helper which has
    # crashed falls silent, and then closes the connection.
    now = asyncio.get_running_loop().time()
    if choice.compute_silence(now) > c.MAX_END_SILENCE_SECONDS:
        raise ConnectionLostError("the stream was closed after a silence")
    if await chooser.probes.async_has_ended(choice.target):
        raise ConnectionLostError("the target ended with its answer")
    # A later boot may use the address by now. While this host was frozen or cut off,
    # the silence before the close told nothing.
    connect = chooser.paths.get_connector(choice)
    if not await chooser.probes.async_confirm_boot(choice.target, connect):
        raise ConnectionLostError("the boot that answered is not known to go on")
