"""Tests of outlier detection."""

from tarragonward_requests import AttemptFault, OutlierDetector

LOST = AttemptFault.CONNECTION_LOST


def test_a_refused_connection_excludes_at_once_and_a_probe_ends_it():
    """A dead engine has the least work in flight, and would be chosen again at once.

    It gets no work until a probe was answered; each failed probe doubles the wait.
    """
    outliers = OutlierDetector()
    assert outliers.record_failure("a", AttemptFault.NOT_CONNECTED, 0)
    assert outliers.select(["a", "b"], 100) == ["b"]
    assert outliers.get_due_probes(0.4) == []
    assert outliers.get_due_probes(0.5) == ["a"]
    outliers.record_probe("a", False, 0.5)
    assert outliers.get_due_probes(1.4) == []
    outliers.record_probe("a", True, 1.5)
    assert outliers.select(["a", "b"], 1.5) == ["a", "b"]


def test_lost_connections_exclude_only_in_a_row():
    outliers = OutlierDetector()
    assert not outliers.record_failure("a", LOST, 0)
    assert not outliers.record_failure("a", LOST, 0)
    outliers.record_success("a")
    assert not outliers.record_failure("a", LOST, 0)
    assert not outliers.record_failure("a", LOST, 0)
    assert outliers.record_failure("a", LOST, 0)


def test_the_last_targets_are_never_excluded():
    outliers = OutlierDetector()
    for name in "ab":
        outliers.record_failure(name, AttemptFault.SILENT, 0)
    assert outliers.select(["a", "b"], 0) == ["a", "b"]


def test_a_full_engine_is_no_outlier():
    outliers = OutlierDetector()
    for _ in range(9):
        assert not outliers.record_failure("a", AttemptFault.REFUSED, 0)
    assert outliers.select(["a", "b"], 0) == ["a", "b"]


def test_a_target_that_answers_probes_but_fails_work_waits_longer_each_time():
    outliers = OutlierDetector()
    for now in (0, 1, 2):
        assert outliers.record_failure("a", AttemptFault.SILENT, now)
        outliers.record_probe("a", True, now)
    outliers.record_failure("a", AttemptFault.SILENT, 10)
    assert outliers.get_due_probes(13.9) == []
    assert outliers.get_due_probes(14) == ["a"]
