"""Tests of the orders to evacuate failure domains."""

from tarragonward_core import Address
from tarragonward_membership import (
    EvacuationBegun,
    EvacuationEnded,
    Evacuations,
    RegisteredTarget,
    TargetRegistry,
    WithdrawnTarget,
)
from tarragonward_membership import const as c


def test_an_order_is_in_force_while_it_is_published():
    orders = Evacuations()
    assert orders.begin("a", 1.0) == EvacuationBegun("a")
    assert orders.begin("a", 2.0) is None
    assert orders.domains == {"a"}
    assert orders.end("a", 5.0) == EvacuationEnded("a", 4.0)
    assert not orders.domains


def test_two_domains_are_evacuated_apart():
    orders = Evacuations()
    orders.begin("b", 1.0)
    orders.begin("a", 2.0)
    assert [order.domain for order in orders.get_orders()] == ["a", "b"]
    orders.end("b", 3.0)
    assert orders.domains == {"a"}


def test_withdrawal_of_an_order_that_is_not_known_changes_nothing():
    assert Evacuations().end("a", 1.0) is None


def test_order_that_the_source_lost_stays_in_force_for_a_while():
    """The source comes back from a copy; operators believe the domain to be empty."""
    orders = Evacuations()
    orders.begin("a", 0.0)
    assert orders.end("a", 10.0, is_restored=True) is None
    assert orders.end_lost(10.0 + c.LOST_EVACUATION_SECONDS - 0.1) == []
    assert orders.domains == {"a"}
    ended = orders.end_lost(10.0 + c.LOST_EVACUATION_SECONDS)
    assert ended == [EvacuationEnded("a", 10.0 + c.LOST_EVACUATION_SECONDS)]
    assert not orders.domains


def test_lost_order_that_is_published_again_does_not_end():
    orders = Evacuations()
    orders.begin("a", 0.0)
    orders.end("a", 10.0, is_restored=True)
    assert orders.begin("a", 12.0) is None
    assert orders.end_lost(1_000.0) == []
    assert orders.get_orders()[0].began_at == 0.0


def test_orders_are_bounded():
    """Any writer may publish keys; hosts must not run out of memory."""
    orders = Evacuations()
    for number in range(c.MAX_EVACUATIONS + 10):
        orders.begin(f"d{number}", 0.0)
    assert len(orders) == c.MAX_EVACUATIONS


def register(registry, name, domain, revision=1, is_ready=True):
    target = RegisteredTarget(
        name, "s", Address("h", hash(name) % 60_000), domain, 8, is_ready, revision
    )
    registry.apply(target)
    return target


def test_registry_offers_no_target_of_an_evacuated_domain():
    registry = TargetRegistry()
    target = register(registry, "t1", "a")
    register(registry, "t2", "b")
    registry.set_evacuated({"a"})
    assert [each.id for each in registry.get_ready("s")] == ["t2"]
    assert not registry.is_usable(target)
    register(registry, "t3", "a", revision=2)
    assert [each.id for each in registry.get_ready("s")] == ["t2"]
    registry.set_evacuated(())
    assert [each.id for each in registry.get_ready("s")] == ["t1", "t2", "t3"]


def test_return_of_a_domain_brings_no_leaving_or_withdrawn_target_back():
    """Targets that left while their domain was empty must not get requests again."""
    registry = TargetRegistry()
    register(registry, "t1", "a")
    register(registry, "t2", "a")
    register(registry, "t3", "a")
    registry.set_evacuated({"a"})
    register(registry, "t1", "a", revision=2, is_ready=False)
    registry.apply(WithdrawnTarget("t2", 3))
    registry.set_evacuated(())
    assert [each.id for each in registry.get_ready("s")] == ["t3"]
