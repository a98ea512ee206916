"""Tests of real daemons whose callers send prompts that crash engines."""

import asyncio

from tarragonward_core import ResultCode
from tarragonward_daemon.const import BYTES_PER_TOKEN
from tarragonward_placement import BLOCK_TOKENS
from tarragonward_standins.client import Outcome, async_complete
from tarragonward_standins.site import SitePlan

BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
COMMON = "The whole catalogue. ".ljust(BLOCK_BYTES, ".")
DEADLY = "A deadly aisle. ".ljust(BLOCK_BYTES, ".")
PLAN = SitePlan(engines_per_domain=6, crash_text="A deadly aisle.")


async def test_unlike_prompts_with_a_block_that_crashes_engines_crash_few(make_site):
    """Prompts, no two alike, share their first blocks, and come at any host."""
    site = await make_site(PLAN)
    hosts = list(site.hosts.values())
    token = site.tokens["shelfwise"]

    async def async_ask(number, text):
        callers = hosts[number % len(hosts)].callers
        prompt = f"{text} bay {number}"
        return await async_complete(callers, token, site.plan.model, prompt, 12, 10)

    sound = [await async_ask(number, COMMON) for number in range(8)]
    bad = []
    for number in range(12):
        bad.append(await async_ask(number, COMMON + DEADLY))
        sound.append(await async_ask(number, COMMON))
        await asyncio.sleep(0.05)
    assert [each.outcome for each in sound] == [Outcome.WHOLE] * 20, sound
    assert site.count_crashed() <= 5, bad
    assert bad[-1].code == ResultCode.CRASHES_TARGETS.number, bad
