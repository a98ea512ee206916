"""Tests of targets that name how many requests a second they take."""

from tarragonward_standins import answer_with


async def test_a_target_that_names_a_limit_gets_no_more(make_site):
    """A target in need named one request a second and got three in each."""
    limited = answer_with(lines=["X-Target-Limit: 1"])
    site = await make_site(limited, answer_with())
    for _ in range(40):
        assert (await site.async_ask()).status == 200
    assert len(site.targets[0].seen) <= 11
    assert len(site.targets[1].seen) >= 29
