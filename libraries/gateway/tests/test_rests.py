"""Tests of targets that refuse a request and ask for a time without any."""

import asyncio

import pytest

from tarragonward_standins import answer_with, refuse_with, stream_events

REST = "Retry-After: 0.4"


async def test_target_that_asked_for_a_rest_gets_no_request_until_its_end(make_site):
    """An idle target that refuses all requests would be chosen first each time."""
    site = await make_site(refuse_with(lines=[REST]), answer_with())
    for _ in range(5):
        assert (await site.async_ask()).status == 200
    assert len(site.targets[0].requests) == 1
    await asyncio.sleep(0.45)
    assert (await site.async_ask()).status == 200
    assert len(site.targets[0].requests) == 2


async def test_engine_that_asked_for_a_rest_takes_no_part_of_a_prompt(make_engines):
    """An engine that refuses prompts does not help others with theirs either."""
    site = await make_engines(*[stream_events([1])] * 4)
    resting = site.targets[-1]
    resting.script = refuse_with(lines=["Retry-After: 9"])
    for other in site.targets[:-1]:
        other.script = refuse_with()
    assert (await site.async_ask_prompt("2000,46")).status == 503
    if not resting.requests:
        assert (await site.async_ask_prompt("2000,46")).status == 503
    for other in site.targets[:-1]:
        other.script = stream_events([1])
    for _ in range(6):
        assert (await site.async_ask_prompt("200000,46")).status == 200
    assert len(resting.requests) == 1
    helpers = [
        seen.get("x-helper-engines")
        for target in site.targets[:-1]
        for seen in target.requests
    ]
    assert any(helpers)
    assert str(resting.address) not in str(helpers)


async def test_request_is_refused_until_the_first_rest_ends(make_site):
    """All targets rest: the caller must hear at once when one takes requests again."""
    site = await make_site(
        refuse_with(lines=["Retry-After: 7"]), refuse_with(lines=["Retry-After: 3"])
    )
    assert (await site.async_ask()).status == 503
    answer = await site.async_ask()
    assert answer.status == 503
    assert answer.get("x-result-code") == ["2001"]
    assert 2.5 < float(answer.get("retry-after")[0]) < 4.0
    assert site.runs == 2


@pytest.mark.parametrize(
    ("lines", "is_rest"),
    [
        (["Retry-After: 0.4"], True),
        (["Retry-After: 86400"], True),
        (["Retry-After: 1e308"], True),
        (["Retry-After: 0.1", "Retry-After: 30"], True),
        (["Retry-After: 0"], False),
        (["Retry-After: -1"], False),
        (["Retry-After: nan"], False),
        (["Retry-After: Wed, 21 Oct 2015 07:28:00 GMT"], False),
        ([], False),
    ],
)
async def test_only_valid_seconds_make_a_rest(make_site, lines, is_rest):
    """A host must neither ignore a long rest nor leave a target out without one."""
    site = await make_site(refuse_with(lines=lines), answer_with())
    for _ in range(2):
        assert (await site.async_ask()).status == 200
    assert len(site.targets[0].requests) == (1 if is_rest else 2)
