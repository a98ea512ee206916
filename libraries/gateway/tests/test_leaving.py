"""Tests of targets that state in their answers that they are leaving."""

import pytest

from tarragonward_gateway.run import ForwardedRequest
from tarragonward_membership import WithdrawnTarget
from tarragonward_routes import RequestKind
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


async def test_request_whose_connection_opens_too_late_is_not_sent(make_site):
    """Another answer stated leaving while this request waited for its connection."""
    site = await make_site(answer_with(), answer_with())
    leaving = site.state.registry.get("t0")
    begin_write = ForwardedRequest._begin_write

    def state_leaving_first(request, target):
        site.chooser.statements.record(leaving, 200, {"x-target-leaving": "1"})
        begin_write(request, target)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(ForwardedRequest, "_begin_write", state_leaving_first)
        assert (await site.async_ask()).status == 200
    assert [len(target.requests) for target in site.targets] == [0, 1]
    assert not site.chooser.target_health.ejected_count


async def test_request_whose_target_is_withdrawn_before_its_first_byte_is_not_sent(
    make_site, monkeypatch
):
    """The record is gone by the time the request has its connection."""
    site = await make_site(answer_with(), answer_with())
    begin_write = ForwardedRequest._begin_write

    def withdraw_first(request, choice):
        site.state.registry.apply(WithdrawnTarget("t0", 9))
        begin_write(request, choice)

    monkeypatch.setattr(ForwardedRequest, "_begin_write", withdraw_first)
    assert (await site.async_ask()).status == 200
    assert [len(target.requests) for target in site.targets] == [0, 1]


async def test_non_idempotent_request_goes_elsewhere_after_a_refusal(make_site):
    """The refusal proves that the leaving target did not run the request."""
    site = await make_site(
        refuse_with(lines=[LEAVING]),
        answer_with(),
        kind=RequestKind.NON_IDEMPOTENT,
    )
    assert (await site.async_ask("POST")).status == 200
    assert site.runs == 2


async def test_another_boot_at_the_address_states_nothing_of_the_target(make_site):
    """A target's address may have gone to a target of another service."""
    misdirected = refuse_with("421 Misdirected", [LEAVING])
    site = await make_site(misdirected, answer_with())
    assert (await site.async_ask()).status == 200
    target = site.state.registry.get("t0")
    assert site.state.registry.is_usable(target)


@pytest.mark.parametrize("value", ["0", "", "no", "11"])
async def test_other_values_state_no_leaving(make_site, value):
    site = await make_site(answer_with(lines=[f"X-Target-Leaving: {value}"]))
    for _ in range(2):
        assert (await site.async_ask()).status == 200
