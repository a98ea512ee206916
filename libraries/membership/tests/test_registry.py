"""The registry of boots: records in any order, none comes back."""

import random
from dataclasses import replace

import pytest

from tarragonward_core import Address
from tarragonward_membership import (
    RegisteredTarget,
    TargetRegistry,
    WithdrawnTarget,
    build_boot_id,
)


def build(target_id, revision, is_ready=True, service="s", port=None):
    """Return a record of a boot, by default at an address of its own."""
    port = port or 8000 + int(target_id.removeprefix("i-"))
    return RegisteredTarget(
        target_id, service, Address("10.0.0.1", port), "a", 8, is_ready, revision
    )


@pytest.fixture
def registry():
    return TargetRegistry()


def get_ready_ids(registry, service="s"):
    return [target.id for target in registry.get_ready(service)]


def test_a_target_that_drains_gets_nothing_new(registry):
    registry.apply(build("i-1", 1))
    registry.apply(build("i-2", 2))
    assert get_ready_ids(registry) == ["i-1", "i-2"]
    registry.apply(build("i-1", 3, is_ready=False))
    assert get_ready_ids(registry) == ["i-2"]


def test_a_late_record_does_not_bring_a_boot_back(registry):
    """A peer passes on a record that is older than the withdrawal heard since.

    The boot is gone and its address may be another's; a caller's request sent there
    would be refused at best, so the older record changes nothing.
    """
    registry.apply(build("i-1", 5))
    assert registry.apply(WithdrawnTarget("i-1", 9))
    assert not registry.apply(build("i-1", 7))
    assert get_ready_ids(registry) == []
    assert registry.apply(build("i-1", 11))
    assert get_ready_ids(registry) == ["i-1"]


def test_a_withdrawal_before_the_record_is_heard_holds(registry):
    registry.apply(WithdrawnTarget("i-1", 9))
    assert not registry.apply(build("i-1", 5))
    assert len(registry) == 0


@pytest.mark.parametrize("service", ["s", "other"])
@pytest.mark.parametrize("is_ready", [True, False])
def test_a_boot_whose_address_a_newer_one_has_gets_nothing(registry, service, is_ready):
    """A caller hears 503 though the service has targets that are well.

    Two targets crash, and their addresses go to new boots. The old records stand until
    they lapse; being idle both are chosen, the new boots refuse as misdirected, and the
    request's two attempts are used up.
    """
    registry.apply(build("i-1", 1, port=8001))
    registry.apply(build("i-2", 2, port=8002))
    registry.apply(build("i-3", 3, port=8003))
    assert get_ready_ids(registry) == ["i-1", "i-2", "i-3"]
    registry.apply(build("i-9", 4, is_ready, service, port=8001))
    assert "i-1" not in get_ready_ids(registry)
    assert {"i-2", "i-3"} <= set(get_ready_ids(registry))
    assert ("i-9" in get_ready_ids(registry, service)) is is_ready


def test_the_order_of_records_does_not_decide_who_has_an_address(registry):
    registry.apply(build("i-9", 4, port=8001))
    registry.apply(build("i-1", 1, port=8001))
    assert get_ready_ids(registry) == ["i-9"]
    registry.apply(WithdrawnTarget("i-9", 5))
    assert get_ready_ids(registry) == ["i-1"]


def test_a_whole_reading_withdraws_what_it_lacks_but_nothing_newer(registry):
    registry.apply(build("i-1", 1))
    registry.apply(build("i-3", 30))
    registry.apply_snapshot([build("i-2", 2)], revision=20)
    assert get_ready_ids(registry) == ["i-2", "i-3"]


@pytest.mark.parametrize("seed", range(50))
def test_records_in_any_order_lead_to_the_same_targets(seed):
    drawn = random.Random(seed)
    records = []
    for revision in range(1, 60):
        target_id = f"i-{drawn.randrange(8)}"
        if drawn.random() < 0.3:
            records.append(WithdrawnTarget(target_id, revision))
        else:
            is_ready, port = drawn.random() < 0.7, 8000 + drawn.randrange(6)
            records.append(build(target_id, revision, is_ready, port=port))
    in_order, mixed = TargetRegistry(), TargetRegistry()
    for record in records:
        in_order.apply(record)
    drawn.shuffle(records)
    for record in records + records[:20]:
        mixed.apply(record)
    assert mixed.get_ready("s") == in_order.get_ready("s")
    assert mixed.revision == in_order.revision


def start(name, born, revision, **fields):
    """Return a record of the boot of a target that started at a time of its own."""
    record = build(name, revision, **fields)
    return replace(record, id=build_boot_id(name, born), incarnation=born)


def test_a_boot_under_the_same_name_is_another_target(registry):
    registry.apply(start("i-1", 1_000, 1))
    first = registry.get("i-1")
    assert registry.apply(start("i-1", 2_000, 2))
    assert registry.get("i-1").id != first.id
    assert not registry.is_current_boot(first)
    assert registry.is_current_boot(registry.get("i-1"))


@pytest.mark.parametrize("clock", [2_000, 500])
def test_a_late_record_of_an_earlier_boot_changes_nothing(registry, clock):
    """An engine starts again, by a clock that may be wrong, and is heard.

    Then the store takes what its earlier boot wrote before it ended: a newer revision
    that tells of a boot which is gone. The one that runs stays in use.
    """
    registry.apply(start("i-1", 1_000, 1))
    registry.apply(start("i-1", clock, 5))
    assert not registry.apply(start("i-1", 1_000, 6, is_ready=False))
    assert get_ready_ids(registry) == [build_boot_id("i-1", clock)]
    assert registry.apply(start("i-1", clock, 8, is_ready=False))
    assert get_ready_ids(registry) == []


def test_an_earlier_boot_stays_over_across_a_withdrawal(registry):
    registry.apply(start("i-1", 1_000, 1))
    registry.apply(WithdrawnTarget("i-1", 2))
    registry.apply(start("i-1", 2_000, 3))
    registry.apply(WithdrawnTarget("i-1", 4))
    assert not registry.apply(start("i-1", 1_000, 5))
    assert registry.apply(start("i-1", 2_000, 6))


def test_a_record_of_no_known_service_holds_no_address(registry):
    """Another writer leaves an entry with an engine's address and an unknown service.

    It is the newest record at that address; taken for its holder, the engine that is
    there would get no more work.
    """
    registry.set_services(["s"])
    registry.apply(build("i-1", 1, port=80))
    registry.apply(build("i-2", 2, service="nowhere", port=80))
    assert get_ready_ids(registry) == ["i-1"]
    assert get_ready_ids(registry, "nowhere") == []
