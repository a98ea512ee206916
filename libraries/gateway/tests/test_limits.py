"""Tests of targets that announce a limit of requests per second."""

from tarragonward_standins import answer_with, stream_events


async def test_announced_rate_limit_is_kept(make_site):
    """An overloaded target announced one request per second and received three."""
    limited = answer_with(lines=["X-Target-Limit: 1"])
    site = await make_site(limited, answer_with())
    for _ in range(40):
        assert (await site.async_ask()).status == 200
    assert len(site.targets[0].requests) <= 11
    assert len(site.targets[1].requests) >= 29


async def test_requests_beyond_all_limits_are_refused_with_retry_after(
    make_site,
):
    """A caller must not wait until its deadline for a limit that admits nothing."""
    site = await make_site(answer_with(lines=["X-Target-Limit: 0.5"]))
    answers = [await site.async_ask() for _ in range(6)]
    statuses = [answer.status for answer in answers]
    assert statuses.count(503) >= 3
    last = answers[-1]
    assert last.status == 503
    assert 0 < float(last.get("retry-after")[0]) <= 1.0
    assert last.get("x-result-code") == ["2001"]


async def test_limit_that_is_no_longer_announced_ends(make_site):
    """A recovered target must not be held to the rate that it once announced."""
    named = []

    async def script(request, writer):
        lines = [] if len(named) > 2 else ["X-Target-Limit: 200"]
        named.append(lines)
        await answer_with(lines=lines)(request, writer)

    site = await make_site(script)
    for _ in range(40):
        await site.async_ask()
    assert not len(site.chooser.limits)
    assert (await site.async_ask()).status == 200


async def test_rate_limited_target_is_no_helper(make_engines):
    """A target's rate limit does not count the prefill that it does for others."""
    answer = stream_events(range(1, 3))
    site = await make_engines(*[answer] * 4)
    limited = site.state.registry.get_ready("s")[3]
    site.chooser.statements.record_limit(limited, "50")
    assert (await site.async_ask_prompt("200000,46")).status == 200
    helpers = [
        seen.get("x-helper-engines")
        for target in site.targets
        for seen in target.requests
    ]
    assert any(helpers)
    assert str(limited.address) not in str(helpers)
