"""Tests of real entry hosts whose callers send prompts that crash runners."""

import pytest

from tarragonward_bench.segment_runs import run_segments_seed
from tarragonward_standins.platform_checker import find_crashed_runners
from tarragonward_standins.platform_day import DayPlan, PlatformDay
from tarragonward_standins.platform_segments import CrashingSegments
from tarragonward_standins.platform_site import PlatformPlan

SITE = PlatformPlan(models_per_zone=3)


async def async_play(site, crashing, seed=48201):
    """Play a day with prompts that crash runners; return what failed to hold."""
    plan = DayPlan(
        seconds=14.0, drafts_per_second=8.0, crashing=crashing, clients=12, seed=seed
    )
    report = await PlatformDay(site, plan).async_play()
    logs = "\n".join(site.read_log(host)[-3_000:] for host in site.hosts)
    return report, f"{report.format_line()} {report.violations[:9]}\n{logs}"


@pytest.mark.parametrize("position", [0, 1])
async def test_prompts_with_a_segment_that_crashes_runners_are_sent_to_few_runners(
    make_platform_site, position
):
    """Prompts, no two alike, share a segment that crashes every runner they reach."""
    site = await make_platform_site(SITE)
    report, details = await async_play(site, CrashingSegments(position=position))
    assert not report.violations, details
    assert len(find_crashed_runners(site.arrivals)) <= 8, details


@pytest.mark.parametrize("seed", [1, 2])
def test_prompts_that_crash_runners_break_no_rule_amid_other_troubles(seed):
    """Hosts are killed and frozen, runners crash and leave, one host gets most."""
    assert run_segments_seed(seed) > 100
