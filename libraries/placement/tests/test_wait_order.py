"""Tests of the order in which requests get scarce places."""

from collections import Counter

import pytest

from tarragonward_placement import WaitOrder
from tarragonward_placement import const as c


def serve(order, count):
    """Serve requests in order; return the accounts served."""
    served = []
    for _ in range(count):
        first = order.first
        order.remove(first, is_served=True)
        served.append(first.account)
    return served


def fill(order, counts, urgency=1, cost=1.0):
    for account, count in counts.items():
        for _ in range(count):
            order.add(account, urgency, cost)


def test_requests_of_one_account_go_in_the_order_of_their_arrival():
    order = WaitOrder()
    added = [order.add("a", 1, 1.0) for _ in range(5)]
    for each in added:
        assert order.first is each
        order.remove(each, is_served=True)
    assert order.first is None and order.last is None and not len(order)


@pytest.mark.parametrize("factor", [10, 50])
@pytest.mark.parametrize("others", [1, 23])
def test_account_at_many_times_its_share_delays_the_others_by_their_own_number(
    factor, others
):
    """It fills the queue first; each other account's request waits for one round."""
    order = WaitOrder()
    fill(order, {"flood": factor * 4})
    fill(order, {f"small-{n}": 4 for n in range(others)})
    served = serve(order, 4 * (others + 1))
    assert Counter(served) == {"flood": 4, **{f"small-{n}": 4 for n in range(others)}}


def test_accounts_of_a_large_site_are_all_served_in_one_round():
    order = WaitOrder()
    fill(order, {"flood": 500})
    fill(order, {f"small-{n}": 1 for n in range(2_600)})
    assert len(set(serve(order, 2_601))) == 2_601


def test_shares_are_of_cost_and_not_of_requests():
    """One account's prompts occupy a place five times as long as another's."""
    order = WaitOrder()
    fill(order, {"long": 40}, cost=5.0)
    fill(order, {"short": 40}, cost=1.0)
    served = Counter(serve(order, 24))
    assert served["short"] == 5 * served["long"]


def test_more_urgent_requests_go_first():
    order = WaitOrder()
    fill(order, {"a": 3}, urgency=2)
    fill(order, {"b": 2}, urgency=0)
    fill(order, {"a": 1}, urgency=0)
    assert Counter(serve(order, 3)) == {"a": 1, "b": 2}
    assert serve(order, 3) == ["a"] * 3


def test_account_that_was_idle_gains_nothing_by_it():
    """It must not be served alone until it has caught up with all the others."""
    order = WaitOrder()
    fill(order, {"busy": 60})
    serve(order, 30)
    fill(order, {"new": 30})
    assert Counter(serve(order, 20))["new"] <= 11


def test_account_that_was_served_alone_is_not_held_back_for_it():
    """Places that nobody else asked for count against nobody."""
    order = WaitOrder()
    fill(order, {"busy": 60})
    serve(order, 30)
    fill(order, {"new": 30})
    assert Counter(serve(order, 20))["busy"] >= 9


def test_request_that_leaves_unserved_is_not_charged():
    order = WaitOrder()
    left = [order.add("a", 1, 1.0) for _ in range(10)]
    fill(order, {"b": 5})
    for each in left:
        order.remove(each, is_served=False)
    fill(order, {"a": 5})
    assert Counter(serve(order, 6)) == {"a": 3, "b": 3}


def test_last_is_of_the_account_that_has_most_waiting():
    """It gives way when the queue is full."""
    order = WaitOrder()
    fill(order, {"flood": 20, "small": 2})
    assert order.last.account == "flood"
    fill(order, {"small": 1}, urgency=5)
    assert order.last.urgency == 5


def test_requests_before_a_new_one_are_counted():
    order = WaitOrder()
    fill(order, {"flood": 20, "small": 2})
    assert order.count_before("flood", 1) == 22
    assert order.count_before("small", 1) <= 5
    assert order.count_before("new", 1) == 2
    assert order.count_before("flood", 0) == 0


def test_remembered_accounts_are_bounded():
    """Any number of accounts may ask in turn while one request is always waiting."""
    order = WaitOrder()
    order.add("always", 9, 1.0)
    for number in range(3 * c.MAX_REMEMBERED_ACCOUNTS):
        fill(order, {f"a{number}": 2})
        serve(order, 2)
    assert len(order._next_start) <= c.MAX_REMEMBERED_ACCOUNTS + 1


def test_all_accounts_are_level_once_nothing_waits():
    order = WaitOrder()
    fill(order, {"busy": 9})
    serve(order, 9)
    fill(order, {"busy": 5, "new": 5})
    assert Counter(serve(order, 4)) == {"busy": 2, "new": 2}
