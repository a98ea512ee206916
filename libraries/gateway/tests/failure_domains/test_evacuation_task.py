"""Tests of evacuated failure domains: what a host sends there, and what it reports."""

import asyncio
from collections import Counter

import pytest

from tarragonward_gateway.failure_domains import EvacuationTask
from tarragonward_gateway.ports import Record
from tarragonward_gateway.run import ForwardedRequest
from tarragonward_membership import RegisteredTarget
from tarragonward_routes import RequestKind
from tarragonward_standins import answer_with, stream_events

ORDER = "orders/evacuate/"


class Parser:
    """Parses the keys of these tests."""

    def get_evacuated_domain(self, key):
        return key.removeprefix(ORDER) if key.startswith(ORDER) else None


def make_task(site, in_flight=None):
    return EvacuationTask(site.state, Parser(), lambda: Counter(in_flight or {}))


def publish(task, domain, revision=10, value=b"{}", is_restored=False):
    task.apply_records([Record(f"{ORDER}{domain}", revision, value)], is_restored)


def move(site, number, domain):
    """Register a target of a site in another failure domain."""
    target = site.targets[number]
    site.state.registry.apply(
        RegisteredTarget(target.id, "s", target.address, domain, 8, True, 50 + number)
    )


@pytest.fixture
def make_domains(make_site):
    """Return a function that makes a site whose first target is in domain d2."""

    async def async_make(*scripts, **route):
        site = await make_site(*scripts, **route)
        move(site, 0, "d2")
        return site, make_task(site)

    return async_make


async def test_requests_avoid_an_evacuated_domain_until_it_is_taken_back(make_domains):
    site, task = await make_domains(answer_with(), answer_with())
    publish(task, "d2")
    for _ in range(5):
        assert (await site.async_ask()).status == 200
    assert [len(target.requests) for target in site.targets] == [0, 5]
    publish(task, "d2", value=None)
    for _ in range(5):
        assert (await site.async_ask()).status == 200
    assert site.targets[0].requests


async def test_requests_are_refused_at_once_if_all_domains_are_evacuated(make_domains):
    """Callers must be told when to come back, and that nothing was run."""
    site, task = await make_domains(answer_with(), answer_with())
    for domain in ("d1", "d2"):
        publish(task, domain)
    answer = await site.async_ask()
    assert answer.status == 503
    assert float(answer.get("retry-after")[0]) > 0
    assert site.runs == 0


async def test_request_whose_connection_opens_after_the_order_is_not_sent(make_domains):
    """The order arrives while the request waits for its connection."""
    site, task = await make_domains(answer_with(), answer_with())
    begin_write = ForwardedRequest._begin_write

    def evacuate_first(request, choice):
        publish(task, "d2")
        begin_write(request, choice)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(ForwardedRequest, "_begin_write", evacuate_first)
        assert (await site.async_ask()).status == 200
    assert [len(target.requests) for target in site.targets] == [0, 1]


async def test_a_stream_in_progress_ends_whole(make_domains, wait_for):
    """The order asks for no new work; what runs must not be cut off."""
    is_evacuated = asyncio.Event()

    async def stream_across_the_order(request, writer):
        first, second = stream_events(range(1, 3)), is_evacuated.wait()
        await second
        await first(request, writer)

    site, task = await make_domains(
        stream_across_the_order,
        answer_with(),
        kind=RequestKind.STREAM,
        is_resumable=True,
    )
    asking = asyncio.create_task(site.async_ask("POST"))
    await wait_for(lambda: site.targets[0].requests)
    publish(task, "d2")
    is_evacuated.set()
    answer = await asking
    assert answer.status == 200
    assert answer.body.count(b"id:") == 2
    assert not site.targets[1].requests


async def test_evacuated_engines_do_not_help(make_engines):
    """Parts of a long prompt are new work as well."""
    site = await make_engines(*[stream_events(range(1, 3))] * 4)
    task = make_task(site)
    move(site, 3, "d2")
    publish(task, "d2")
    for _ in range(4):
        assert (await site.async_ask_prompt("200000,46")).status == 200
    helpers = [
        seen.get("x-helper-engines")
        for target in site.targets
        for seen in target.requests
    ]
    assert any(helpers)
    assert str(site.targets[3].address) not in str(helpers)
    assert not site.targets[3].requests


async def test_non_idempotent_call_is_refused_truly_not_run(make_domains):
    site, task = await make_domains(
        answer_with(), answer_with(), kind=RequestKind.NON_IDEMPOTENT
    )
    publish(task, "d1")
    publish(task, "d2")
    assert (await site.async_ask("POST")).status == 503
    publish(task, "d1", value=None)
    publish(task, "d2", value=None)
    assert (await site.async_ask("POST")).status == 200
    assert site.runs == 1


async def test_order_for_an_unknown_domain_or_without_a_value_is_kept(make_domains):
    """Whoever wrote it, the key is the order; it must not disturb the others."""
    site, task = await make_domains(answer_with(), answer_with())
    publish(task, "nowhere", value=b"\xff")
    publish(task, "d2", value=b"")
    assert (await site.async_ask()).status == 200
    assert not site.targets[0].requests
    described = {each["failure_domain"]: each for each in task.describe()}
    assert described["nowhere"]["targets"] == 0
    assert described["d2"]["targets"] == 1


async def test_order_lost_by_a_restored_source_is_reported_and_kept(make_domains):
    site, task = await make_domains(answer_with(), answer_with())
    publish(task, "d2")
    publish(task, "d2", value=None, is_restored=True)
    assert not task.describe()[0]["is_published"]
    assert (await site.async_ask()).status == 200
    assert not site.targets[0].requests


async def test_requests_left_are_counted(make_domains):
    site, _ = await make_domains(answer_with(), answer_with())
    task = make_task(site, {"d1": 4, "d2": 3})
    assert b"evacuated_requests 0" in site.state.metrics.write_exposition()
    publish(task, "d2")
    assert task.describe()[0]["requests_left"] == 3
    assert b"evacuated_requests 3" in site.state.metrics.write_exposition()


async def test_other_records_are_no_orders(make_domains):
    site, task = await make_domains(answer_with())
    task.apply_records([Record("table", 11, b"{}"), Record("t/d2", 12, None)], False)
    assert task.describe() == []
