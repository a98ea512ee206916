"""Tests of the leaving targets in host lists that lag."""

from tarragonward_membership import ListedTarget, TargetList

NAMES = ("engine-1", "engine-2")


def build_list(**leaving):
    return [
        ListedTarget(name.replace("_", "-"), value) for name, value in leaving.items()
    ]


def test_target_stays_leaving_while_a_lagging_replica_lists_it_as_live():
    """Two replicas are read in turn, and one does not know yet that the target leaves.

    If only the last list counted, every second read would send new work there.
    """
    targets = TargetList()
    for step in range(6):
        targets.apply_list(build_list(engine_1=step % 2 == 0, engine_2=False), step * 2)
        assert targets.get_leaving(NAMES, step * 2) == {"engine-1"}


def test_target_missing_from_one_list_stays_live():
    targets = TargetList()
    targets.apply_list(build_list(engine_1=False, engine_2=False), 0)
    targets.apply_list(build_list(engine_2=False), 2)
    assert targets.get_leaving(NAMES, 2) == set()
    targets.apply_list([], 4)
    assert targets.get_leaving(NAMES, 4) == set()


def test_target_missing_from_several_lists_takes_no_work_until_listed_again():
    targets = TargetList()
    targets.apply_list(build_list(engine_1=False, engine_2=False), 0)
    for step in range(1, 6):
        targets.apply_list(build_list(engine_2=False), step)
    assert targets.get_leaving(NAMES, 6) == {"engine-1"}
    targets.apply_list(build_list(engine_1=False, engine_2=False), 7)
    assert targets.get_leaving(NAMES, 7) == set()


def test_target_listed_as_live_again_takes_work_again():
    targets = TargetList()
    targets.apply_list(build_list(engine_1=True), 0)
    targets.apply_list(build_list(engine_1=False), 2)
    assert targets.get_leaving(NAMES, 3) == {"engine-1"}
    targets.apply_list(build_list(engine_1=False), 30)
    assert targets.get_leaving(NAMES, 30) == set()
