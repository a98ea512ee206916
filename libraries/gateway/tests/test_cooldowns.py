"""Tests of targets that refuse a request and ask for a time without any."""

import asyncio

import pytest

from tarragonward_gateway.run import ForwardedRequest
from tarragonward_standins import answer_with, refuse_with, stream_events

COOLDOWN = "Retry-After: 0.4"


async def test_target_that_asked_for_a_cooldown_gets_no_request_until_its_end(
    make_site,
):
    """An idle target that refuses all requests would be chosen first each time."""
    site = await make_site(refuse_with(lines=[COOLDOWN]), answer_with())
    for _ in range(5):
        assert (await site.async_ask()).status == 200
    assert len(site.targets[0].requests) == 1
    assert site.state.metrics.get_count("request_repeated") == 1
    await asyncio.sleep(0.45)
    assert (await site.async_ask()).status == 200
    assert len(site.targets[0].requests) == 2


async def test_engine_that_asked_for_a_cooldown_takes_no_part_of_a_prompt(make_engines):
    """An engine that refuses prompts does not help others with theirs either."""
    site = await make_engines(*[stream_events([1])] * 4)
    cooling = site.targets[-1]
    cooling.script = refuse_with(lines=["Retry-After: 9"])
    for other in site.targets[:-1]:
        other.script = refuse_with()
    assert (await site.async_ask_prompt("2000,46")).status == 503
    if not cooling.requests:
        assert (await site.async_ask_prompt("2000,46")).status == 503
    for other in site.targets[:-1]:
        other.script = stream_events([1])
    for _ in range(6):
        assert (await site.async_ask_prompt("200000,46")).status == 200
    assert len(cooling.requests) == 1
    helpers = [
        seen.get("x-helper-engines")
        for target in site.targets[:-1]
        for seen in target.requests
    ]
    assert any(helpers)
    assert str(cooling.address) not in str(helpers)


async def test_request_is_refused_until_the_first_cooldown_ends(make_site):
    """The caller must hear at once when a target takes requests again."""
    site = await make_site(
        refuse_with(lines=["Retry-After: 7"]), refuse_with(lines=["Retry-After: 3"])
    )
    for _ in range(2):
        answer = await site.async_ask()
        assert answer.status == 503
        assert answer.get("x-result-code") == ["2001"]
        assert 2.5 < float(answer.get("retry-after")[0]) < 4.0
    assert site.runs == 2


@pytest.mark.parametrize(
    ("lines", "is_cooldown"),
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
async def test_only_valid_seconds_make_a_cooldown(make_site, lines, is_cooldown):
    """A host must neither ignore a long cooldown nor leave a target out without one."""
    site = await make_site(refuse_with(lines=lines), answer_with())
    for _ in range(2):
        assert (await site.async_ask()).status == 200
    assert len(site.targets[0].requests) == (1 if is_cooldown else 2)


async def test_request_whose_connection_opens_too_late_is_not_sent(make_site):
    """Another request was refused while this one waited for its connection."""
    site = await make_site(answer_with(), answer_with())
    cooling = site.state.registry.get("t0")
    begin_write = ForwardedRequest._begin_write

    def ask_for_cooldown_first(request, target):
        site.chooser.statements.record(cooling, 503, {"retry-after": "5"})
        begin_write(request, target)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(ForwardedRequest, "_begin_write", ask_for_cooldown_first)
        assert (await site.async_ask()).status == 200
    assert [len(target.requests) for target in site.targets] == [0, 1]


async def test_answer_to_an_earlier_request_does_not_end_a_cooldown(make_site):
    """A request in progress is answered well while its target refuses new ones."""
    site = await make_site(answer_with(), answer_with())
    cooling = site.state.registry.get("t0")
    site.chooser.statements.record(cooling, 503, {"retry-after": "5"})
    site.chooser.statements.record_answer(cooling, 200, {"x-target-load": "1,0,8"})
    for _ in range(3):
        assert (await site.async_ask()).status == 200
    assert not site.targets[0].requests


async def test_resting_target_is_not_probed(make_site):
    """A probe takes one of the connections that an overloaded target has left."""
    site = await make_site(answer_with(), answer_with())
    cooling, other = (site.state.registry.get(name) for name in ("t0", "t1"))
    site.chooser.statements.record(cooling, 503, {"retry-after": "5"})
    probes = site.chooser.probes
    assert not probes.accepts_requests(cooling)
    assert probes.accepts_requests(other)


async def test_cooldown_holds_beside_a_limit_that_has_ended(make_site):
    """Both states of a target end by themselves, each at its own time."""
    site = await make_site(answer_with(), answer_with())
    target = site.state.registry.get("t0")
    statements = site.chooser.statements
    statements.record(target, 503, {"retry-after": "0.3", "x-target-limit": "0"})
    assert not site.chooser.accepts_requests(target)
    statements.record_answer(target, 200, {})
    assert not site.chooser.accepts_requests(target)
    await asyncio.sleep(0.35)
    assert site.chooser.accepts_requests(target)
    assert not len(site.chooser.limits)
