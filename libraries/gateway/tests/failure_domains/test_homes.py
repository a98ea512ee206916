"""Tests of requests that must stay within their home regions."""

from dataclasses import replace

import pytest

from tarragonward_core import Address
from tarragonward_gateway.failure_domains import HomePolicy, combine_homes
from tarragonward_gateway.relays import RelayTask
from tarragonward_membership import RegisteredTarget
from tarragonward_routes import Account, RequestKind, Route, Share
from tarragonward_standins import answer_with

REGIONS = {"d1": "north", "d2": "south"}


def build_route(*homes):
    return Route(
        "r",
        "app.example",
        "/app/",
        RequestKind.IDEMPOTENT,
        (Share("s", 1),),
        home_regions=frozenset(homes),
    )


@pytest.mark.parametrize(
    ("route_homes", "account_homes", "combined"),
    [
        ((), (), None),
        (("north",), (), {"north"}),
        ((), ("north", "south"), {"north", "south"}),
        (("north",), ("north", "south"), {"north"}),
        (("north",), ("south",), set()),
    ],
)
def test_homes_of_route_and_account_both_bind(route_homes, account_homes, combined):
    account = Account("town", home_regions=frozenset(account_homes))
    assert combine_homes(build_route(*route_homes), account) == combined


def test_homes_of_a_route_bind_requests_without_an_account():
    assert combine_homes(build_route("north"), None) == {"north"}


def test_domain_of_an_unknown_region_is_no_home():
    policy = HomePolicy(REGIONS)
    assert policy.allows(None, "d3")
    assert policy.allows(frozenset({"north"}), "d1")
    assert not policy.allows(frozenset({"north"}), "d2")
    assert not policy.allows(frozenset({"north"}), "d3")


@pytest.fixture
def make_regions(make_site):
    """Return a function that makes a site with a target in each of two regions."""

    async def async_make(**route):
        site = await make_site(answer_with(), answer_with(), **route)
        first = site.targets[0]
        site.state.registry.apply(
            RegisteredTarget(first.id, "s", first.address, "d2", 8, True, 50)
        )
        site.state.settings = replace(site.state.settings, regions=REGIONS)
        return site

    return async_make


async def test_requests_stay_at_home(make_regions):
    site = await make_regions(home_regions=frozenset({"north"}))
    for _ in range(5):
        assert (await site.async_ask()).status == 200
    assert [len(target.requests) for target in site.targets] == [0, 5]


async def test_request_without_a_target_at_home_is_refused_at_once(make_regions):
    """Its targets are gone; those of the other region must not get its body."""
    site = await make_regions(home_regions=frozenset({"west"}))
    answer = await site.async_ask()
    assert answer.status == 503
    assert float(answer.get("retry-after")[0]) > 0
    assert site.runs == 0


async def test_repeat_stays_at_home(make_regions):
    """The only target at home fails; the repeat must not leave the region."""
    site = await make_regions(home_regions=frozenset({"north"}))
    site.targets[1].script = answer_with(status="500 Failed")
    assert (await site.async_ask()).status == 500
    assert not site.targets[0].requests


async def test_only_peers_at_home_relay(make_regions):
    """A relayed body passes through another host, perhaps in another region."""
    site = await make_regions()
    relays = RelayTask(site.state, site.chooser)
    at_home, abroad = Address("127.0.0.2", 1), Address("127.0.0.3", 1)
    relays.get_peers = lambda: (at_home, abroad)
    relays.get_domain = {at_home: "d1", abroad: "d2"}.get
    assert relays._list_peers(None) == [at_home, abroad]
    assert relays._list_peers(frozenset({"north"})) == [at_home]
