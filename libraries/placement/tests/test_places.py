"""Tests of the pools that separate short prompts from long ones in each domain."""

from tarragonward_placement import EngineUsage, PromptRequirements
from tarragonward_placement.places import rank_engines
from tarragonward_routes import EngineModel

MODEL = EngineModel(8, 450_000, 46, 2_048, 0.000925, 0.000004, 0.0, 256_000, 0.0)
DOMAINS = {f"{domain}{number}": domain for domain in "abc" for number in range(4)}
ENGINES = sorted(DOMAINS)
SHORT = PromptRequirements(5_000, 1_000, 0.3, 0.2)


def place(known, own_domain="a", domains=DOMAINS):
    places = rank_engines(SHORT, ENGINES, known, MODEL, domains, own_domain)
    return {each.name: each for each in places}


def test_each_domain_keeps_as_many_engines_as_its_own_writers_need():
    """Two domains decode little and one much; only the pool of the latter grows.

    The engines beyond the pools stay free of requests that tolerate no pause.
    """
    busy = {
        f"b{number}": EngineUsage(decoding_requests=6, weights={200: 9.0})
        for number in (0, 1)
    }
    places = place(busy)
    in_lane = [name for name, each in places.items() if not each.beyond_pool_share]
    assert in_lane == ["a0", "b0", "b1", "c0"]


def test_a_domain_cut_off_keeps_the_streams_of_its_own_hosts():
    """A failure domain is cut off from the others that have streams on its engines.

    Such a stream pauses until its caller leaves. So a host prefers the engines of its
    own domain for answers, and uses others only if its own are worse.
    """
    places = place({})
    near = [name for name, each in places.items() if not each.compute_distance_cost()]
    assert near == ["a0", "a1", "a2", "a3"]


def test_a_domain_without_engines_prefers_none():
    assert all(each.is_local for each in place({}, own_domain="d").values())


def test_long_prompts_take_the_ends_of_all_lanes():
    places = place({})
    last = {
        name
        for name, each in places.items()
        if not each.compute_position_cost(is_long=True)
    }
    assert last == {"a3", "b3", "c3"}
