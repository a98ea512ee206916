"""Tests that the checker judges a host that gets most new connections."""

import pytest

from tarragonward_core import Address
from tarragonward_standins.platform_clients import Attempt, ClientRequest, RequestPlan
from tarragonward_standins.platform_concentration import (
    Concentration,
    find_unserved_at_one_host,
)

HOST = Address("127.0.0.1", 1)
PLAN = RequestPlan("/a/", "idempotent", "h", "/a/")
CONCENTRATION = Concentration(began_at=20.0, ended_at=26.0)


def build_requests(count, status, at):
    """Return requests whose first attempt got a status; 0: closed unread."""
    requests = []
    for number in range(count):
        attempt = Attempt(f"{at}-{number}-{status}", HOST, at, {}, status=status)
        attempt.is_complete = True
        requests.append(ClientRequest(PLAN, at, [attempt]))
    return requests


@pytest.mark.parametrize(
    ("served", "failed", "at", "is_violation"),
    [
        (14, 6, 23.0, True),
        (15, 5, 23.0, False),
        (0, 19, 23.0, False),
        (0, 20, 22.9, False),
        (0, 20, 26.0, False),
    ],
)
def test_requests_that_a_crowded_host_reads_and_fails_are_a_violation(
    served, failed, at, is_violation
):
    requests = build_requests(20, 200, 15.0)
    requests += build_requests(served, 200, at) + build_requests(failed, 503, at)
    found = list(find_unserved_at_one_host(requests, [], [CONCENTRATION]))
    assert bool(found) == is_violation


def test_connections_closed_unread_do_not_count_if_a_later_attempt_is_read():
    requests = build_requests(20, 200, 15.0) + build_requests(20, 0, 23.0)
    assert list(find_unserved_at_one_host(requests, [], [CONCENTRATION]))
    for request in requests[20:]:
        request.attempts += build_requests(1, 200, 23.1)[0].attempts
    assert not list(find_unserved_at_one_host(requests, [], [CONCENTRATION]))
