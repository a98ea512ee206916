"""Tests of what lagging host lists say of targets."""

from tarragonward_membership import ListedTarget, TargetList

NAMES = ("engine-1", "engine-2")


def build_list(**leaving):
    return [
        ListedTarget(name.replace("_", "-"), value) for name, value in leaving.items()
    ]


def test_leaving_holds_while_a_lagging_replica_still_says_live():
    """Two replicas are read in turn; one has not heard that the target leaves.

    Were the last list believed, every second read would send new work there.
    """
    targets = TargetList()
    for step in range(6):
        targets.apply_list(build_list(engine_1=step % 2 == 0, engine_2=False), step * 2)
        assert targets.get_leaving(NAMES, step * 2) == {"engine-1"}


def test_a_target_missing_from_one_list_does_not_vanish():
    targets = TargetList()
    targets.apply_list(build_list(engine_1=False, engine_2=False), 0)
    targets.apply_list(build_list(engine_2=False), 2)
    assert targets.get_leaving(NAMES, 2) == set()
    targets.apply_list([], 4)
    assert targets.get_leaving(NAMES, 4) == set()


def test_a_target_missing_for_long_takes_no_work_until_it_is_listed_again():
    targets = TargetList()
    targets.apply_list(build_list(engine_1=False, engine_2=False), 0)
    for step in range(1, 6):
        targets.apply_list(build_list(engine_2=False), step)
    assert targets.get_leaving(NAMES, 6) == {"engine-1"}
    targets.apply_list(build_list(engine_1=False, engine_2=False), 7)
    assert targets.get_leaving(NAMES, 7) == set()


def test_a_target_that_is_live_again_takes_work_again():
    targets = TargetList()
    targets.apply_list(build_list(engine_1=True), 0)
    targets.apply_list(build_list(engine_1=False), 2)
    assert targets.get_leaving(NAMES, 3) == {"engine-1"}
    targets.apply_list(build_list(engine_1=False), 30)
    assert targets.get_leaving(NAMES, 30) == set()
