"""Tests of the pools that separate short prompts from long ones in each domain."""

from tarragonward_placement import EngineUsage, PromptRequirements
from tarragonward_placement.places import rank_engines
from tarragonward_routes import EngineModel

MODEL = EngineModel(8, 450_000, 46, 2_048, 0.000925, 0.000004, 0.0, 256_000, 0.0)
DOMAINS = {f"{domain}{number}": domain for domain in "abc" for number in range(4)}
ENGINES = sorted(DOMAINS)
SHORT = PromptRequirements(5_000, 1_000, 0.3, 0.2)


def rank(known, own_domain="a", domains=DOMAINS):
    positions = rank_engines(SHORT, ENGINES, known, MODEL, domains, own_domain)
    return {each.name: each for each in positions}


def test_each_domain_has_a_pool_of_the_size_that_its_requests_need():
    """Two domains decode little and one much; only the pool of the latter grows.

    The engines beyond the pools stay free of requests that tolerate no pause.
    """
    busy = {
        f"b{number}": EngineUsage(decoding_requests=6, weights={200: 9.0})
        for number in (0, 1)
    }
    positions = rank(busy)
    in_pool = [name for name, each in positions.items() if not each.beyond_pool_share]
    assert in_pool == ["a0", "b0", "b1", "c0"]


def test_hosts_prefer_engines_of_their_own_domain():
    """A failure domain is cut off from the others that have streams on its engines.

    Such a stream pauses until its caller leaves. So a host prefers the engines of its
    own domain for answers, and uses others only if its own are worse.
    """
    positions = rank({})
    local = [
        name for name, each in positions.items() if not each.compute_distance_cost()
    ]
    assert local == ["a0", "a1", "a2", "a3"]


def test_a_host_of_a_domain_without_engines_prefers_none():
    assert all(each.is_local for each in rank({}, own_domain="d").values())


def test_long_prompts_prefer_the_last_engine_of_each_domain():
    positions = rank({})
    last = {
        name
        for name, each in positions.items()
        if not each.compute_position_cost(is_long=True)
    }
    assert last == {"a3", "b3", "c3"}
