"""Tests of the reading of the host list."""

import pytest

from tarragonward_config import Settings
from tarragonward_core import Address, HostIdentity
from tarragonward_daemon.core import HostState
from tarragonward_daemon.membership import MembershipTask
from tarragonward_standins import PlatformStandIn

DOCUMENT = {"client_accounts": {}, "models": {}, "services": {}, "targets": {}}


def build_entry(kind, name, port, state="live"):
    return {
        "kind": kind,
        "name": name,
        "address": f"127.0.0.9:{port}",
        "failure_domain": "north",
        "region": "local",
        "state": state,
    }


@pytest.fixture
async def platform():
    hosts = [build_entry("entry", "entry-1", 7), build_entry("target", "engine-1", 8)]
    platform = PlatformStandIn(Address("127.0.0.1", 0), DOCUMENT, hosts)
    await platform.async_setup()
    yield platform
    await platform.async_unload()


@pytest.fixture
def task(platform):
    own = Address("127.0.0.9", 9)
    settings = Settings(
        name="entry-2",
        region="local",
        failure_domain="north",
        callers=own,
        operators=own,
        peers=own,
        configuration=(platform.address,),
        host_list=(platform.address,),
        peer_key=b"0" * 32,
        operator_token="0" * 16,
    )
    return MembershipTask(HostState(settings, HostIdentity(own, 1)))


async def test_an_unchanged_host_list_is_not_transferred_again(platform, task):
    """The list of a large fleet is read every two seconds and rarely changes."""
    await task._async_read_list(platform.address)
    first = task._lists[platform.address]
    await task._async_read_list(platform.address)
    assert task._lists[platform.address] is first
    members = task.membership.get_members()
    assert [member.listed.name for member in members] == ["entry-1"]
    platform.hosts = [*platform.hosts, build_entry("entry", "entry-3", 10)]
    await task._async_read_list(platform.address)
    members = task.membership.get_members()
    assert [member.listed.name for member in members] == ["entry-1", "entry-3"]
