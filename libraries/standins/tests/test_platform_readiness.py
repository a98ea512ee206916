"""Tests that the start of a site's hosts tells why one does not get ready."""

import asyncio
import sys

import pytest

from tarragonward_core import Address
from tarragonward_standins import ScriptedTarget, refuse_with
from tarragonward_standins.platform_readiness import HostStartError, async_wait_ready


async def test_host_that_ends_as_it_starts_is_reported_with_its_log():
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", "exit(3)")
    waiting = async_wait_ready(
        Address("127.0.0.1", 1), process, lambda: "first line\naddress in use"
    )
    with pytest.raises(HostStartError, match=r"(?s)exit code 3.*address in use"):
        await waiting


async def test_wait_ends_once_the_host_is_ready():
    host = ScriptedTarget(refuse_with("200 OK", []))
    await host.async_setup()
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", "input()")
    await async_wait_ready(host.address, process, lambda: "")
    await process.wait()
    await host.async_unload()
