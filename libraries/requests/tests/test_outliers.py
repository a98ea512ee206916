"""Tests of outlier detection."""

from tarragonward_requests import AttemptFault, OutlierDetector

LOST = AttemptFault.CONNECTION_LOST


def test_a_refused_connection_ejects_at_once_and_a_probe_restores():
    """A crashed engine has the fewest requests in flight and would be chosen again.

    It gets no work until a probe succeeds; each failed probe doubles the ejection time.
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


def test_lost_connections_eject_only_if_consecutive():
    outliers = OutlierDetector()
    assert not outliers.record_failure("a", LOST, 0)
    assert not outliers.record_failure("a", LOST, 0)
    outliers.record_success("a")
    assert not outliers.record_failure("a", LOST, 0)
    assert not outliers.record_failure("a", LOST, 0)
    assert outliers.record_failure("a", LOST, 0)


def test_all_targets_are_selectable_if_all_are_ejected():
    outliers = OutlierDetector()
    for name in "ab":
        outliers.record_failure(name, AttemptFault.SILENT, 0)
    assert outliers.select(["a", "b"], 0) == ["a", "b"]


def test_a_refusing_engine_is_no_outlier():
    outliers = OutlierDetector()
    for _ in range(9):
        assert not outliers.record_failure("a", AttemptFault.REFUSED, 0)
    assert outliers.select(["a", "b"], 0) == ["a", "b"]


def test_a_target_that_answers_probes_but_fails_work_is_ejected_for_longer():
    outliers = OutlierDetector()
    for now in (0, 1, 2):
        assert outliers.record_failure("a", AttemptFault.SILENT, now)
        outliers.record_probe("a", True, now)
    outliers.record_failure("a", AttemptFault.SILENT, 10)
    assert outliers.get_due_probes(13.9) == []
    assert outliers.get_due_probes(14) == ["a"]
