"""Tests that the demo ends its processes however it is ended itself."""

import asyncio
import os
import signal
import sys
import uuid
from pathlib import Path

import pytest

MARK_VARIABLE = "TARRAGONWARD_DEMO_TEST"


def list_marked(mark):
    """Return the processes that inherited the mark, wherever they hang by now."""
    found = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        try:
            if f"{MARK_VARIABLE}={mark}".encode() in path.read_bytes().split(b"\0"):
                found.append(path.parent.name)
        except OSError:
            continue
    return found


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGHUP])
@pytest.mark.parametrize("last_line", ["progress starting", "The site is up"])
async def test_the_demo_leaves_no_process_behind(number, last_line):
    """A newcomer ends the demo with Ctrl-C, closes the terminal, or a job is stopped.

    The signal comes while the site starts, or while it is up; the demo must end all
    processes of the site before it ends itself.
    """
    mark = uuid.uuid4().hex
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tarragonward_bench.demo",
        "--keep",
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, MARK_VARIABLE: mark},
    )
    try:
        async with asyncio.timeout(60):
            while last_line not in (await process.stdout.readline()).decode():
                pass
            while len(list_marked(mark)) < 2:
                await asyncio.sleep(0.01)
            process.send_signal(number)
            assert await process.wait() == 0
        assert not list_marked(mark)
    finally:
        for pid in list_marked(mark):
            os.kill(int(pid), signal.SIGKILL)
