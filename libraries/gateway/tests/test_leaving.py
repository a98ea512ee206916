"""Tests of targets that state in their answers that they are leaving."""

import pytest

from tarragonward_standins import answer_with, refuse_with, stream_events

LEAVING = "X-Target-Leaving: 1"


@pytest.mark.parametrize(
    "answer",
    [
        answer_with(lines=[LEAVING]),
        answer_with(lines=[LEAVING], status="500 Failed"),
        refuse_with(lines=[LEAVING]),
    ],
    ids=["answered", "failed", "refused"],
)
async def test_target_whose_answer_states_leaving_gets_no_more_requests(
    make_site, answer
):
    """The registry is silent, and its record of the target still says ready."""
    site = await make_site(answer, answer_with())
    for _ in range(10):
        assert (await site.async_ask()).status == 200
    assert len(site.targets[0].requests) == 1


async def test_prompts_avoid_an_engine_whose_stream_states_leaving(make_engines):
    """Neither short prompts nor the parts of long ones may go to it."""
    site = await make_engines(*[stream_events(range(1, 3))] * 4)
    leaving = site.targets[-1]
    leaving.script = stream_events(range(1, 3), lines=[LEAVING])
    for other in site.targets[:-1]:
        other.script = refuse_with()
    assert (await site.async_ask_prompt("2000,46")).status in (200, 503)
    for other in site.targets[:-1]:
        other.script = stream_events(range(1, 3))
    before = len(leaving.requests)
    for _ in range(6):
        assert (await site.async_ask_prompt("200000,46")).status == 200
    assert before == len(leaving.requests) == 1
    helpers = [
        seen.get("x-helper-engines")
        for target in site.targets[:-1]
        for seen in target.requests
    ]
    assert any(helpers)
    assert str(leaving.address) not in str(helpers)


async def test_requests_are_refused_at_once_if_all_targets_are_leaving(make_site):
    """A caller must be told when to come back, not wait for a target to return."""
    site = await make_site(*[answer_with(lines=[LEAVING])] * 2)
    answers = [await site.async_ask() for _ in range(3)]
    assert [answer.status for answer in answers] == [200, 200, 503]
    assert answers[-1].get("x-result-code") == ["2001"]
    assert float(answers[-1].get("retry-after")[0]) > 0
