"""End-to-end tests with real processes."""

from tarragonward_core import ResultCode
from tarragonward_standins.client import (
    Outcome,
    async_call,
    async_complete,
    async_get_key_prefix,
)


async def test_a_completion_goes_through_every_host(make_site):
    site = await make_site()
    token = site.tokens["shelfwise"]
    for host in site.hosts.values():
        result = await async_complete(
            host.callers, token, site.plan.model, f"bay at {host.name}", 12, 10
        )
        assert result.outcome is Outcome.WHOLE, result


async def test_a_repeat_through_another_host_gets_the_same_bytes(make_site):
    """A call is repeated through another host.

    The key names the first host as owner. The second host forwards the repeat to it and
    returns the recorded answer; the service has run the call once.
    """
    site = await make_site()
    token = site.tokens["camara"]
    first, second, *_ = site.hosts.values()
    prefix = await async_get_key_prefix(first.callers, token)
    key = f"{prefix}.booking-1"
    original = await async_call(first.callers, token, "approve", b"combine", key)
    repeat = await async_call(second.callers, token, "approve", b"combine", key)
    assert original.code == ResultCode.OK.number
    assert (repeat.code, repeat.body) == (original.code, original.body)
    assert b'"run":1' in repeat.body
