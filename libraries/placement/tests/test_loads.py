"""Tests of which engines load their model next."""

from tarragonward_placement.loads import PendingModelLoad, choose_loads

WANTED = [
    PendingModelLoad(f"{domain}-{n}", domain) for domain in "abc" for n in range(3)
]


def test_every_domain_gets_an_engine_before_any_gets_two():
    assert choose_loads(WANTED, (), 3) == ["a-0", "b-0", "c-0"]
    assert choose_loads(WANTED, ("b-0",), 3) == ["a-0", "c-0", "a-1"]


def test_hosts_with_equal_views_choose_equally_until_all_are_loaded():
    loaded = set()
    while len(loaded) < len(WANTED):
        one = choose_loads(WANTED, loaded, 2)
        assert one == choose_loads(WANTED[::-1], loaded, 2)
        assert one and not loaded & set(one)
        loaded.add(one[-1])
