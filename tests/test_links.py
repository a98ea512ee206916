"""Tests of real daemons that lose their links to the targets."""

import asyncio

import pytest

from tarragonward_core import ResultCode
from tarragonward_standins.client import (
    Outcome,
    async_call,
    async_complete,
    async_get_key_prefix,
)
from tarragonward_standins.site import SitePlan

PLAN = SitePlan(has_cuttable_links=True)


@pytest.mark.parametrize("is_silent", [True, False])
async def test_completions_at_a_host_cut_off_from_all_engines_are_whole(
    make_site, is_silent
):
    """A host that loses its links must not refuse what its peers could pass on."""
    site = await make_site(PLAN)
    name, host = next(iter(site.hosts.items()))
    token = site.tokens["shelfwise"]
    site.cut_from_targets(name, is_silent)
    results = await asyncio.gather(
        *(
            async_complete(host.callers, token, site.plan.model, f"bay {n}", 12, 10)
            for n in range(6)
        )
    )
    assert [each.outcome for each in results] == [Outcome.WHOLE] * 6, results
    site.restore_links(name)
    result = await async_complete(
        host.callers, token, site.plan.model, "bay after", 12, 10
    )
    assert result.outcome is Outcome.WHOLE, result


async def test_calls_owned_by_a_host_cut_off_from_services_run_once(make_site):
    """The owner of a key has lost its links; repeats must not run the call again."""
    site = await make_site(PLAN)
    (name, owner), (_, other), *_ = site.hosts.items()
    token = site.tokens["camara"]
    prefix = await async_get_key_prefix(owner.callers, token)
    site.cut_from_targets(name, is_silent=False)
    answers = [
        await async_call(host.callers, token, "approve", b"combine", f"{prefix}.1")
        for host in (owner, other, owner)
    ]
    assert {answer.code for answer in answers} == {ResultCode.OK.number}, answers
    assert len({answer.body for answer in answers}) == 1
    assert b'"run":1' in answers[0].body
