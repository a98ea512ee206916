"""Tests of the classification of lost requests by their log lines."""

import pytest

from tarragonward_bench.days.losses import find_cause, read_losses

PROMPT = "outcome=answered prompt_tokens=5000 aim=0.3 pause_aim=0.25 sends=1"


def read(fields):
    line = f"  12.5 h1 at=1.0 up=24.5 host=h1 event=request_ended request_id=a {fields}"
    (request,) = read_losses(["not a log line", line])
    return request


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        (f"{PROMPT} first_event=0.2 worst_pause=0.1", None),
        (f"{PROMPT} first_event=1.2 predicted=0.9", "late as placed"),
        (
            f"{PROMPT} first_event=0.1 worst_pause=2.1 held_up=2.0",
            "held up by a later reading",
        ),
        (f"{PROMPT} first_event=0.1 worst_pause=0.9", "pause broken otherwise"),
        (
            f"{PROMPT} first_event=0.9 predicted=0.1",
            "late though predicted in time",
        ),
        (f'{PROMPT} first_event=3.2 faults="silent"', "out of reach"),
        (
            'outcome="caller left" prompt_tokens=9 aim=3 first_event=1',
            "left by its caller",
        ),
        ("outcome=OVERLOADED status=503 aim=0.2", "refused"),
        ("outcome=answered status=500 aim=0.2", "failed by its target"),
    ],
)
def test_cause_of_a_lost_request_follows_from_its_log_line(fields, cause):
    request = read(fields)
    assert find_cause(request) == cause
    assert (request.at, request.host) == (12.5, "h1")
