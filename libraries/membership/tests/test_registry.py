"""Tests of the target registry: records in any order, no boot is restored."""

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
from tarragonward_membership.registry import MAX_LEAVING_BOOTS


def build(target_id, revision, is_ready=True, service="s", port=None):
    """Return a record of a boot, by default at its own address."""
    port = port or 8000 + int(target_id.removeprefix("i-"))
    return RegisteredTarget(
        target_id, service, Address("10.0.0.1", port), "a", 8, is_ready, revision
    )


@pytest.fixture
def registry():
    return TargetRegistry()


def get_ready_ids(registry, service="s"):
    return [target.id for target in registry.get_ready(service)]


def test_draining_target_is_not_ready(registry):
    registry.apply(build("i-1", 1))
    registry.apply(build("i-2", 2))
    assert get_ready_ids(registry) == ["i-1", "i-2"]
    registry.apply(build("i-1", 3, is_ready=False))
    assert get_ready_ids(registry) == ["i-2"]


def test_delayed_record_does_not_restore_a_withdrawn_boot(registry):
    """A peer sends a record that is older than the withdrawal already applied.

    The boot has ended and its address may belong to another one, so a request sent
    there would be refused at best. The older record changes nothing.
    """
    registry.apply(build("i-1", 5))
    assert registry.apply(WithdrawnTarget("i-1", 9))
    assert not registry.apply(build("i-1", 7))
    assert get_ready_ids(registry) == []
    assert registry.apply(build("i-1", 11))
    assert get_ready_ids(registry) == ["i-1"]


def test_withdrawal_applied_before_an_older_record_holds(registry):
    registry.apply(WithdrawnTarget("i-1", 9))
    assert not registry.apply(build("i-1", 5))
    assert len(registry) == 0


@pytest.mark.parametrize("service", ["s", "other"])
@pytest.mark.parametrize("is_ready", [True, False])
def test_boot_whose_address_was_reused_is_not_ready(registry, service, is_ready):
    """A caller gets 503 although the service has healthy targets.

    Two targets crash, and new boots get their addresses. Until the old records expire,
    both targets look idle and are chosen, the new boots refuse as misdirected, and the
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


def test_address_holder_does_not_depend_on_the_order_of_records(registry):
    registry.apply(build("i-9", 4, port=8001))
    registry.apply(build("i-1", 1, port=8001))
    assert get_ready_ids(registry) == ["i-9"]
    registry.apply(WithdrawnTarget("i-9", 5))
    assert get_ready_ids(registry) == ["i-1"]


def test_snapshot_withdraws_missing_targets_but_no_newer_ones(registry):
    registry.apply(build("i-1", 1))
    registry.apply(build("i-3", 30))
    registry.apply_snapshot([build("i-2", 2)], revision=20)
    assert get_ready_ids(registry) == ["i-2", "i-3"]


@pytest.mark.parametrize("seed", range(50))
def test_records_in_any_order_lead_to_the_same_targets(seed):
    rng = random.Random(seed)
    records = []
    for revision in range(1, 60):
        target_id = f"i-{rng.randrange(8)}"
        if rng.random() < 0.3:
            records.append(WithdrawnTarget(target_id, revision))
        else:
            is_ready, port = rng.random() < 0.7, 8000 + rng.randrange(6)
            records.append(build(target_id, revision, is_ready, port=port))
    in_order, shuffled = TargetRegistry(), TargetRegistry()
    for record in records:
        in_order.apply(record)
    rng.shuffle(records)
    for record in records + records[:20]:
        shuffled.apply(record)
    assert shuffled.get_ready("s") == in_order.get_ready("s")
    assert shuffled.revision == in_order.revision


def start(name, incarnation, revision, **fields):
    """Return a record of the boot of a target that started at the given time."""
    record = build(name, revision, **fields)
    return replace(record, id=build_boot_id(name, incarnation), incarnation=incarnation)


def test_new_boot_supersedes_the_previous_one_of_its_name(registry):
    registry.apply(start("i-1", 1_000, 1))
    first = registry.get("i-1")
    assert registry.apply(start("i-1", 2_000, 2))
    assert registry.get("i-1").id != first.id
    assert not registry.is_current_boot(first)
    assert registry.is_current_boot(registry.get("i-1"))


@pytest.mark.parametrize("second_incarnation", [2_000, 500])
def test_delayed_record_of_an_earlier_boot_is_ignored(registry, second_incarnation):
    """A record of an ended boot reaches the store after that of its successor.

    Its revision is newer, and the restarted engine's clock may be wrong, so neither
    orders the boots. The running boot must stay in use.
    """
    registry.apply(start("i-1", 1_000, 1))
    registry.apply(start("i-1", second_incarnation, 5))
    assert not registry.apply(start("i-1", 1_000, 6, is_ready=False))
    assert get_ready_ids(registry) == [build_boot_id("i-1", second_incarnation)]
    assert registry.apply(start("i-1", second_incarnation, 8, is_ready=False))
    assert get_ready_ids(registry) == []


def test_superseded_boot_stays_superseded_across_a_withdrawal(registry):
    registry.apply(start("i-1", 1_000, 1))
    registry.apply(WithdrawnTarget("i-1", 2))
    registry.apply(start("i-1", 2_000, 3))
    registry.apply(WithdrawnTarget("i-1", 4))
    assert not registry.apply(start("i-1", 1_000, 5))
    assert registry.apply(start("i-1", 2_000, 6))


def test_record_of_an_unknown_service_claims_no_address(registry):
    """Another writer leaves a record with an engine's address and an unknown service.

    It is the newest record at that address. If it claimed the address, the engine
    there would get no more work.
    """
    registry.set_services(["s"])
    registry.apply(build("i-1", 1, port=80))
    registry.apply(build("i-2", 2, service="nowhere", port=80))
    assert get_ready_ids(registry) == ["i-1"]
    assert get_ready_ids(registry, "nowhere") == []


def test_record_that_says_ready_does_not_take_back_a_stated_leaving(registry):
    """The store accepts the report of a leaving target late, and repeats old ones."""
    boot = start("i-1", 7, 1)
    registry.apply(boot)
    assert registry.mark_leaving(boot)
    assert get_ready_ids(registry) == []
    registry.apply(start("i-1", 7, 2))
    registry.apply(WithdrawnTarget("i-1", 3))
    registry.apply(start("i-1", 7, 4))
    assert get_ready_ids(registry) == []
    assert not registry.mark_leaving(boot)


def test_new_boot_of_a_leaving_target_is_ready(registry):
    """A target may start again under its id; what the earlier boot said is over."""
    boot = start("i-1", 7, 1)
    registry.apply(boot)
    registry.mark_leaving(boot)
    registry.apply(start("i-1", 8, 2))
    assert len(registry.get_ready("s")) == 1


def test_memory_of_leaving_boots_is_bounded(registry):
    """Thousands of boots leave in a day, and hosts run for weeks."""
    for number in range(10_000):
        registry.mark_leaving(start("i-1", number, 1))
    assert len(registry._leaving_boots) == MAX_LEAVING_BOOTS


def test_record_that_says_ready_does_not_take_back_a_reported_leaving(registry):
    """The store came back from a copy that is older than the target's report."""
    registry.apply(start("i-1", 7, 1))
    registry.apply(start("i-1", 7, 2, is_ready=False))
    registry.apply(start("i-1", 7, 3))
    assert get_ready_ids(registry) == []


def test_suspended_boot_gets_no_work_until_it_is_resumed(registry):
    """A copy of the store brought back the entry of a target that had left."""
    boot = start("i-1", 7, 1)
    registry.apply(boot)
    registry.apply(WithdrawnTarget("i-1", 2))
    assert registry.is_withdrawn(boot)
    registry.suspend(boot)
    registry.apply(start("i-1", 7, 3))
    assert get_ready_ids(registry) == []
    registry.resume(boot)
    assert len(registry.get_ready("s")) == 1
    assert not registry.is_withdrawn(boot)


@pytest.mark.parametrize("change", [{"service": "other"}, {"is_ready": False}, {}])
def test_record_of_another_writer_supersedes_no_boot(registry, change):
    """A record without the incarnation that a target states is not the target's own."""
    own = replace(build("i-1", 1), incarnation=7)
    registry.apply(own)
    foreign = replace(own, revision=2, incarnation=None, **change)
    assert registry.lacks_incarnation(foreign)
    assert not registry.apply(foreign)
    assert registry.apply(replace(own, revision=3))
    assert get_ready_ids(registry) == ["i-1"]
    assert registry.is_current_boot(own)
    # The target's own report that it leaves is heard.
    assert registry.apply(replace(own, revision=4, is_ready=False))
    assert get_ready_ids(registry) == []


def test_boots_that_begin_to_state_an_incarnation_are_accepted(registry):
    registry.apply(build("i-1", 1))
    assert registry.apply(replace(build("i-1", 2), incarnation=7))
    assert get_ready_ids(registry) == ["i-1"]
