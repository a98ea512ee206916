"""Tests of which engines are chosen to prefill a prompt."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import msgpack
import pytest

from tarragonward_placement import (
    EngineUsage,
    FleetUsageTracker,
    PrefillPlan,
    PromptRequirements,
    plan_prefill,
)
from tarragonward_placement import const as c
from tarragonward_routes import EngineModel

MODEL = EngineModel(
    slots=8,
    memory_tokens=450_000,
    stride_steps=46,
    chunk_tokens=2_048,
    step_seconds=0.000925,
    seconds_per_decoding_request=0.00001,
    seconds_per_context_token=2.54e-9,
    prefill_tokens_per_second=256_000.0,
    seconds_per_token_pair=9.17e-11,
)
ENGINES = [f"e{number:02}" for number in range(12)]
SHORT = PromptRequirements(5_000, 500, 0.3, 0.2)
LONG = PromptRequirements(210_000, 800, 3.0, 0.8)


def plan(
    need: PromptRequirements,
    known: dict[str, EngineUsage] | None = None,
    engines: list[str] | None = None,
    has_fresh_hints: bool = True,
) -> PrefillPlan:
    """Return the plan on this module's engines."""
    chosen = plan_prefill(
        need,
        ENGINES if engines is None else engines,
        known or {},
        MODEL,
        Random(1),
        has_fresh_hints,
    )
    assert chosen is not None
    return chosen


def build_engine_with_short_prompts(count: int) -> EngineUsage:
    """Return an engine that decodes this many short prompts."""
    return EngineUsage(
        decoding_requests=count,
        context_tokens=count * 5_000,
        held_tokens=count * 5_500,
        weights={200: count * 1.5},
    )


def test_short_prompts_are_packed_with_short_prompts() -> None:
    """Engines that decode no short prompts stay free for long prefills."""
    assert plan(SHORT).prefill_engines == ("e00",)
    assert plan(SHORT, {"e00": build_engine_with_short_prompts(3)}).leader in (
        "e00",
        "e01",
    )


def test_full_engine_gets_no_more_short_prompts() -> None:
    """A prompt beyond the engine's slots would wait for an answer to end."""
    assert plan(SHORT, {"e00": build_engine_with_short_prompts(8)}).leader != "e00"


def test_long_prompt_avoids_requests_that_tolerate_no_pause() -> None:
    """One long prefill delays the next event of a decoding request by seconds."""
    known = {name: build_engine_with_short_prompts(4) for name in ENGINES[:4]}
    engines = plan(LONG, known).prefill_engines
    assert len(engines) > 1
    assert not set(engines) & set(known)


def test_parallel_prefill_meets_the_aim() -> None:
    """A prompt that takes too long on one engine is prefilled by several."""
    longest = PromptRequirements(400_000, 800, 3.0, 0.8)
    assert MODEL.compute_prefill_seconds(400_000) > 3.0
    assert plan(longest).first_event_seconds < 3.0


def test_short_prompt_avoids_an_engine_with_a_long_prefill() -> None:
    """The short prompt would be queued behind the long prefill."""
    known = {
        "e00": EngineUsage(
            prefilling_requests=1, prefill_seconds=2.5, weights={800: 22.0}
        )
    }
    assert plan(SHORT, known).leader != "e00"


def test_prompt_goes_where_its_memory_is_free() -> None:
    """When memory runs out, the engine evicts its newest request."""
    known = {
        name: EngineUsage(decoding_requests=2, held_tokens=400_000, weights={800: 40.0})
        for name in ENGINES[1:]
    }
    assert plan(LONG, known).leader == "e00"


def test_prompt_beyond_one_engine_is_held_by_several() -> None:
    """Reservations and the leader's memory hold the whole prompt, with a margin."""
    huge = PromptRequirements(900_000, 800, 3.0, 0.8)
    known = {
        "e03": EngineUsage(
            decoding_requests=1, held_tokens=200_000, weights={800: 20.0}
        )
    }
    chosen = plan(huge, known)
    held = chosen.build_work(huge, now=0.0).held_tokens
    assert sum(held.values()) == huge.memory_tokens
    assert set(chosen.reserved_tokens) <= set(chosen.prefill_engines[1:])
    assert chosen.leader not in chosen.reserved_tokens
    assert chosen.prefill_engines[1 : 1 + len(chosen.reserved_tokens)] == tuple(
        chosen.reserved_tokens
    )
    for engine, tokens in held.items():
        taken = known[engine].held_tokens if engine in known else 0
        assert tokens + taken < MODEL.memory_tokens


def test_prompt_beyond_all_memory_has_no_plan() -> None:
    """No group can hold it, so it is refused at once."""
    huge = PromptRequirements(900_000, 800, 3.0, 0.8)
    assert plan_prefill(huge, ENGINES[:2], {}, MODEL, Random(1)) is None


def test_host_without_hints_spreads_short_prompts() -> None:
    """Hosts that pack without knowing of each other would choose the same engine."""
    leaders = {
        plan_prefill(SHORT, ENGINES, {}, MODEL, Random(seed), False).leader  # type: ignore[union-attr]
        for seed in range(40)
    }
    assert len(leaders) > len(ENGINES) / 2


def test_tracker_counts_own_prompts_until_they_end() -> None:
    """The prefill shrinks with time and is over at the first event."""
    tracker = FleetUsageTracker()
    chosen = plan(LONG)
    work = chosen.build_work(LONG, now=10.0)
    tracker.begin(work)
    known = tracker.get_usage(10.0)
    assert set(known) == set(chosen.prefill_engines)
    assert known[chosen.leader].prefill_seconds == pytest.approx(chosen.part_seconds)
    assert known[chosen.leader].held_tokens == LONG.memory_tokens
    assert known[chosen.prefill_engines[-1]].helper_parts == 1
    work.first_event_at = 11.0
    assert tracker.get_usage(11.0)[chosen.leader].decoding_requests == 1
    assert tracker.get_usage(11.0)[chosen.leader].prefill_seconds == 0
    tracker.end(work)
    assert tracker.get_usage(11.0) == {}


def test_digest_of_a_peer_counts_and_expires() -> None:
    """A hint counts for what is left of it, and then expires."""
    peer, tracker = FleetUsageTracker(), FleetUsageTracker()
    chosen = plan(LONG)
    peer.begin(chosen.build_work(LONG, now=10.0))
    digest = msgpack.unpackb(msgpack.packb(peer.build_digest(10.0)))
    tracker.apply_digest("peer", digest, age=0.1, now=50.0)
    seen = tracker.get_usage(50.0)[chosen.leader]
    assert seen.prefilling_requests == 1
    assert seen.prefill_seconds == pytest.approx(chosen.part_seconds - 0.1, abs=0.002)
    assert seen.weights == {800: 22.0}
    assert tracker.has_fresh_hints(50.0)
    assert tracker.get_usage(60.0) == {}
    assert not tracker.has_fresh_hints(60.0)


@pytest.mark.parametrize(
    "data", [None, [], {"e00": 3}, {"e00": [1]}, {"e00": [0, 0, 0, 0, 0, 0, 3, 3]}]
)
def test_malformed_digest_is_ignored(data: object) -> None:
    """A peer of another version may send anything."""
    tracker = FleetUsageTracker()
    tracker.apply_digest("peer", data, age=0.0, now=1.0)
    assert tracker.get_usage(1.0) == {}


def test_engine_counts_stand_in_for_peers_that_are_not_heard() -> None:
    """Requests beyond the host's own are assumed to be decoding."""
    tracker = FleetUsageTracker()
    tracker.record_request_count("e00", 5, now=1.0)
    assert tracker.get_usage(1.0)["e00"].decoding_requests == 5
    assert tracker.get_usage(5.0) == {}


def test_counts_of_removed_engines_expire_while_peers_are_heard() -> None:
    """An engine has a new id at each start, so old counts would accumulate."""
    tracker = FleetUsageTracker()
    tracker.apply_digest("peer", {}, age=0.0, now=9.0)
    tracker.record_request_count("e00", 5, now=1.0)
    tracker.get_usage(9.0)
    assert not tracker._counts


def test_peers_are_notified_at_once_of_long_prefills_only() -> None:
    """Until they know of it, they send short prompts to its engines."""
    tracker = FleetUsageTracker()
    notified: list[int] = []
    tracker.on_change.append(lambda is_long: notified.append(1))
    tracker.begin(plan(SHORT).build_work(SHORT, now=1.0))
    assert not notified
    tracker.begin(plan(LONG).build_work(LONG, now=1.0))
    assert notified


def test_peers_with_rare_rounds_are_notified_of_each_prompt_at_once() -> None:
    """A large cell has rare rounds; between two of them, all would pick one engine."""
    tracker = FleetUsageTracker()
    tracker.announces_every_prompt = True
    notified: list[int] = []
    tracker.on_change.append(lambda is_long: notified.append(1))
    tracker.begin(plan(SHORT).build_work(SHORT, now=1.0))
    assert notified


def test_an_engine_with_slow_passes_is_avoided() -> None:
    """The engine's passes take six times the published time, for all its requests.

    One late event, or the prefill of another prompt, does not make an engine slow. A
    slow engine is tried again after it was not observed for a while.
    """
    tracker = FleetUsageTracker()
    for number in range(c.SLOWDOWN_SAMPLES):
        tracker.record_pass("e00", 6.0, now=1.0)
        tracker.record_pass("e01", 6.0 if number % 2 else 1.1, now=1.0)
    known = tracker.get_usage(1.0)
    assert known["e00"].slowdown == 6.0
    assert "e01" not in known
    two = ENGINES[:2]
    assert plan(SHORT, known, two).leader == "e01"
    assert tracker.get_usage(1.1 + c.MAX_SLOWDOWN_AGE_SECONDS) == {}


def test_a_slow_engine_makes_a_parallel_prefill_longer() -> None:
    """Its part of the prefill ends later in proportion to its slowdown."""
    slow = {name: EngineUsage(slowdown=4.0) for name in ENGINES}
    first = plan(LONG, slow).first_event_seconds
    assert first > 2 * plan(LONG).first_event_seconds
    assert set(
        plan(LONG, {"e03": EngineUsage(slowdown=4.0)}).prefill_engines
    ).isdisjoint({"e03"})


def test_a_fixed_leader_is_kept_among_many_engines() -> None:
    """A helper refuses in a fleet of hundreds, so the prompt returns to its leader.

    Only a sample of the engines is considered. If the leader were not always in it, no
    plan could be made, and the caller's request would end in an error of this host.
    """
    many = [f"e{number:03}" for number in range(4 * c.MAX_PLAN_CANDIDATES)]
    for need in (SHORT, LONG, replace(LONG, prompt_tokens=900_000)):
        assert plan(replace(need, leader=many[-1]), engines=many).leader == many[-1]
    gone = replace(SHORT, leader="gone")
    assert plan_prefill(gone, many, {}, MODEL, Random(1)) is None


def test_a_huge_prompt_leaves_engines_for_arriving_short_prompts() -> None:
    """No number of engines prefills a huge prompt in time, amid a burst of short ones.

    Prefilled by all engines but one for two seconds, it left 86 short prompts to the
    last one, all late: 0.818 of a quiet day's worth, and 0.899 with the expected loss
    in the cost (a day of 18 engines, 542 short prompts). So engines stay free for them.
    """
    engines = [f"e{number:02}" for number in range(18)]
    known = {name: build_engine_with_short_prompts(6) for name in engines[:8]}
    huge = PromptRequirements(620_000, 800, 3.0, 1.0)
    slow = replace(
        MODEL,
        prefill_tokens_per_second=177_000,
        seconds_per_token_pair=1.84e-10,
        usual_answer_tokens=1_400,
    )
    chosen = plan_prefill(huge, engines, known, slow, Random(1))
    assert chosen is not None
    assert not set(chosen.prefill_engines) & set(known)
