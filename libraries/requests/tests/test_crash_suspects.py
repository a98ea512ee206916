"""Tests of the verdicts on requests and on the segments of their prompts."""

from dataclasses import dataclass

import pytest

from tarragonward_requests import CrashSuspects, Verdict
from tarragonward_requests import const as c

BODY_BYTES = 10
# The users' bound on sends by connected hosts after a request has ended three targets.
MAX_LATE_SENDS = 3
STEP_SECONDS = 10.0
# The users' bound on the time until the service is back.
RECOVERY_SECONDS = 12.0


@dataclass(frozen=True)
class Identity:
    """A request for the trackers."""

    fingerprint: bytes
    segments: tuple[bytes, ...] = ()
    body_size: int = BODY_BYTES
    account: int = 1


def make_culprits(count, has_segments):
    """Return requests that crash targets, each with a segment of its own or none."""
    names = [bytes([number]) * 8 for number in range(count)]
    segments = [(b"s" + name[1:],) if has_segments else () for name in names]
    return [Identity(*each) for each in zip(names, segments, strict=True)]


def send_until_refused(suspects, culprit, first_target, now):
    """Send a request that crashes each target; return the sends and the time."""
    for sends in range(20):
        found = suspects.evaluate(culprit, now)
        if found.verdict is Verdict.REFUSED:
            return sends, now

        suspects.record_deferred(culprit, found, now)
        if found.verdict is not Verdict.LATER:
            target = first_target + sends
            suspects.record_crash(culprit, target, now, now + 0.1, found)
        now += STEP_SECONDS
    return sends, now


@pytest.mark.parametrize("has_segments", [False, True])
@pytest.mark.parametrize("count", [2, 3, 6])
def test_requests_that_crash_the_same_targets_do_not_excuse_each_other(
    count, has_segments
):
    """A refused request is sent on whenever a worse one seems to explain its."""
    suspects = CrashSuspects()
    first, *others = make_culprits(count, has_segments)
    sends, now = send_until_refused(suspects, first, 0, 0.0)
    assert sends == c.REFUSE_AFTER_CRASHES
    late = 0
    for number, other in enumerate(others, 1):
        # It ran beside the first one each time, and on one more target.
        known = suspects.requests.get(first.fingerprint).crashes
        for target in (*known, 100 * number):
            suspects.record_crash(other, target, now, now + 0.1)
            now += STEP_SECONDS
        sends, now = send_until_refused(suspects, first, 100 * number + 1, now)
        late += sends
    assert late <= MAX_LATE_SENDS


def count_sends(crash):
    """Return how often a request is sent that crashes its target each time."""
    suspects, sends, now = CrashSuspects(), 0, 0.0
    request = Identity(b"crashing")
    for number in range(20):
        now += STEP_SECONDS
        found = suspects.evaluate(request, now)
        if found.verdict is Verdict.REFUSED:
            break
        sends += 1
        crash(suspects, request, number, now)
    return sends


def test_target_that_crashes_again_under_its_id_counts_again():
    """Its record is late, so it is sent to under the id of the boot before."""
    sends = count_sends(
        lambda suspects, request, number, now: suspects.record_crash(
            request, 7, now, now + 0.1
        )
    )
    assert sends <= c.REFUSE_AFTER_CRASHES + MAX_LATE_SENDS


def test_answer_that_did_not_begin_to_run_clears_no_crash():
    """Targets answer by an error before they run a request that crashes them."""

    def crash(suspects, request, number, now):
        suspects.record_crash(request, number, now, now + 0.1)
        suspects.record_answered(request, None, now + 1.0)

    assert count_sends(crash) <= c.REFUSE_AFTER_CRASHES + MAX_LATE_SENDS


@pytest.mark.parametrize("spread_seconds", [0.0, 3.0])
def test_request_in_progress_at_all_lost_targets_is_served_when_they_are_back(
    spread_seconds,
):
    """A power loss ends many targets, and a popular request ran on each of them."""
    suspects = CrashSuspects()
    request = Identity(b"lookup_1")
    at_once = suspects.evaluate(request, 0.0)
    targets = 6
    for number in range(targets):
        now = spread_seconds * number / targets
        found = suspects.evaluate(request, now) if spread_seconds else at_once
        if found.verdict in (Verdict.CLEAR, Verdict.ALONE):
            suspects.record_crash(request, number, now - 0.1, now, found)
    assert wait_until_sent(suspects, request, spread_seconds) <= RECOVERY_SECONDS


@pytest.mark.parametrize("was_answered", [False, True])
@pytest.mark.parametrize("gap_seconds", [0.05, 0.3, 0.6])
def test_segment_of_prompts_at_all_lost_targets_is_served_when_they_are_back(
    was_answered, gap_seconds
):
    """Targets that lose power one after the other all ran prompts with one segment."""
    suspects = CrashSuspects()
    now = 0.0
    if was_answered:
        suspects.record_answered(Identity(b"prompt_0", (b"segment1",)), now, now)
    for number in range(21):
        prompt = Identity(f"prompt{number:02}".encode(), (b"segment1",))
        now += gap_seconds
        suspects.record_crash(prompt, number, now - 0.01, now)
    prompt = Identity(b"prompt_x", (b"segment1",))
    assert wait_until_sent(suspects, prompt, now) <= RECOVERY_SECONDS


def wait_until_sent(suspects, request, now):
    """Return after how many seconds a request may be sent again."""
    for step in range(1_000):
        found = suspects.evaluate(request, now + step)
        if found.verdict in (Verdict.CLEAR, Verdict.ALONE):
            return step
        suspects.record_deferred(request, found, now + step)
        if found.verdict is Verdict.REFUSED:
            suspects.record_refused(request, found, now + step)
    return 1_000
