"""Tests of placement: its invariants, predictions, long-prompt pool and refusals."""

from dataclasses import replace
from random import Random

import pytest

from tarragonward_core import ResultCode, invariants
from tarragonward_placement import (
    CacheUpdate,
    EngineView,
    FleetView,
    Placed,
    Placement,
    PlacementRequest,
    Refused,
)
from tarragonward_placement.affinity import PrefixIndex, hash_blocks
from tarragonward_placement.long_pool import ShortPromptBudget

KV_TOKENS = 400_000
RATE = 20_000.0


@pytest.fixture(autouse=True)
def strict_invariants():
    invariants.strict = True
    yield
    invariants.strict = False


def make_view(name, free=KV_TOKENS, queued=(), age=0.0):
    return EngineView(
        name=name,
        kv_tokens=KV_TOKENS,
        free_kv_tokens=free,
        queued_prefill_tokens=sum(tokens for _, tokens in queued),
        queued_long_tokens=sum(tokens for level, tokens in queued if level >= 2),
        running=len(queued),
        report_age_seconds=age,
        prefill_tokens_per_second=RATE,
        seconds_per_token=0.01,
    )


def make_request(name="r", prompt=2_000, answer=100, remaining=60.0, **more):
    fields = {"account": "shop", "model": "m", "priority": 0, **more}
    return PlacementRequest(
        request_id=name,
        prompt_tokens=prompt,
        max_tokens=answer,
        remaining_seconds=remaining,
        **fields,
    )


def test_prompts_placed_since_the_report_count():
    """Two prompts arrive between two reports, which say that both engines are idle.

    The first prompt goes to one engine. As the report is unchanged, only the host's own
    record keeps the second prompt from following it.
    """
    placement = Placement(Random(1))
    views = [make_view("a"), make_view("b")]
    first = placement.place(make_request("1", 4_000), views, 10.0)
    second = placement.place(make_request("2", 4_000), views, 10.1)
    assert {first.engines, second.engines} == {("a",), ("b",)}


def test_an_old_report_counts_for_less():
    placement = Placement(Random(1))
    views = [
        make_view("a", queued=[(0, 60_000)], age=4.0),
        make_view("b", queued=[(0, 10_000)], age=0.0),
    ]
    assert placement.place(make_request(), views, 10.0).engines == ("a",)


def test_a_request_that_cannot_finish_in_time_is_refused_at_once():
    placement = Placement(Random(1))
    refused = placement.place(
        make_request(prompt=3_000, answer=1_000, remaining=5.0), [make_view("a")], 0.0
    )
    assert refused.code is ResultCode.CANNOT_FINISH
    assert refused.retry_after_seconds >= 1.0
    assert placement.in_flight == 0


def test_nothing_is_refused_for_time_without_a_report():
    """A host has just started and has not read a report yet.

    The assumed prefill rate is low, so its first long prompt would be refused although
    the engines are idle and fast. Without a recent report nothing is refused for time.
    """
    view = replace(make_view("a", age=3_600.0), prefill_tokens_per_second=10.0)
    answer = Placement(Random(1)).place(make_request(), [view], 0.0)
    assert isinstance(answer, Placed)


def test_a_prompt_beyond_all_engines_is_too_long():
    views = [make_view("a"), make_view("b")]
    refused = Placement(Random(1)).place(make_request(prompt=900_000), views, 0.0)
    assert refused.code is ResultCode.PROMPT_TOO_LONG


def test_a_prompt_too_long_only_for_the_available_engines_may_be_retried():
    """Two of three engines are excluded or leaving when a long prompt arrives.

    All three could hold it. Refused as too long, the caller would give up on a request
    that can run a minute later; instead it is told when to retry.
    """
    request = make_request(prompt=900_000)
    fleet = FleetView(published_kv_tokens=(400_000,) * 3)
    refused = Placement().place(request, [make_view("a")], 0.0, fleet)
    assert refused.code is ResultCode.OVERLOADED
    assert refused.retry_after_seconds > 0
    fleet = FleetView(published_kv_tokens=(400_000,))
    refused = Placement().place(request, [make_view("a")], 0.0, fleet)
    assert refused.code is ResultCode.PROMPT_TOO_LONG


def test_a_group_takes_parts_that_make_the_prompt():
    views = [make_view(name) for name in "abcdef"]
    placed = Placement(Random(1)).place(
        make_request(prompt=1_000_000, remaining=900.0), views, 0.0
    )
    assert len(placed.engines) >= 3
    assert sum(placed.parts) == 1_000_100


def test_short_prompts_leave_half_of_an_engine_to_the_long_one():
    """Every engine prefills a long prompt while short ones keep arriving.

    Short prompts have priority on an engine, so without a limit the long ones would
    never end. All hosts together may send half of the engine's rate there.
    """
    hosts, seconds, sent = 8, 20.0, 0
    view = make_view("a", queued=[(3, 500_000)])
    for _ in range(hosts):
        budget = ShortPromptBudget()
        for tick in range(int(seconds * 100)):
            while budget.can_take(view, hosts, tick / 100):
                budget.take("a", 1_000)
                sent += 1_000
    assert sent <= 0.5 * RATE * (seconds + 2.0) + hosts * 1_000


def test_a_prefix_is_found_until_a_gap_forgets_the_engine():
    hashes = hash_blocks(b"x" * 4 * 512 * 6, 4 * 512)
    index = PrefixIndex()
    added = tuple(enumerate(hashes))
    index.update("a", [CacheUpdate(1, added=added)])
    assert index.count_cached_tokens("a", hashes) == 6 * 512
    index.update("a", [CacheUpdate(2, removed=hashes[4:])])
    assert index.count_cached_tokens("a", hashes) == 4 * 512
    index.update("a", [CacheUpdate(4, added=((0, hashes[0]),))])
    assert index.count_cached_tokens("a", hashes) == 512


def test_a_cached_prefix_attracts_prompts_unless_its_engine_has_a_queue():
    hashes = tuple(range(4))
    placement = Placement(Random(1))
    placement.prefixes.update("c", [CacheUpdate(1, added=tuple(enumerate(hashes)))])
    views = [make_view(name) for name in "abcdefgh"]
    request = make_request(prompt=2_100, prefix_hashes=hashes)
    assert placement.place(request, views, 0.0).engines == ("c",)
    views[2] = make_view("c", queued=[(0, 50_000)])
    again = replace(request, request_id="2")
    assert placement.place(again, views, 9.0).engines != ("c",)


@pytest.mark.parametrize("seed", range(6))
def test_placement_never_goes_over_memory_or_to_an_engine_it_was_not_given(seed):
    """Hosts place random prompts on random views; placement checks its invariants."""
    random = Random(seed)
    placement = Placement(Random(seed))
    held, now = {}, 0.0
    for number in range(400):
        now += random.random() / 10
        names = random.sample("abcdefghij", random.randint(1, 9))
        views = [
            make_view(
                name,
                random.randint(0, KV_TOKENS),
                [(random.randint(0, 3), random.randint(0, 400_000))],
                random.random() * 5,
            )
            for name in names
        ]
        tokens = random.choice((1_000, 20_000, 90_000, 300_000, 1_000_000))
        request = make_request(f"r{number}", tokens, remaining=random.random() * 900)
        answer = placement.place(request, views, now, FleetView(8, {}, {}))
        if isinstance(answer, Placed):
            held[request.request_id] = answer
            free = {view.name: view.free_kv_tokens for view in views}
            assert all(
                part <= free[engine]
                for engine, part in zip(answer.engines, answer.parts, strict=True)
            )
        else:
            assert isinstance(answer, Refused) and answer.retry_after_seconds > 0
        if held and random.random() < 0.4:
            placement.release(held.popitem()[0])
    assert placement.in_flight == len(held)
