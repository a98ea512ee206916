"""Tests of the prompts that daemons suspect of crashing engines."""

import asyncio
from types import SimpleNamespace

import pytest

from tarragonward_core import Address, FrameError, HostIdentity, Metrics
from tarragonward_daemon import const as c
from tarragonward_daemon.completions import Completion
from tarragonward_daemon.suspects import PromptIdentity, SuspectNews, SuspectTask
from tarragonward_requests import Verdict


def make_task(port=1):
    identity = HostIdentity(Address("127.0.0.1", port), 1)
    host = SimpleNamespace(metrics=Metrics(), identity=identity)
    return SuspectTask(host, None, None)


def make_identity(own, blocks=(1, 2)):
    completion = Completion("m", f"prompt {own}", 9, 9, True, False, None)
    return PromptIdentity("town", completion, (*blocks, 100 + own))


def build_news(task):
    trackers = (task.suspects.requests, task.suspects.segments)
    entries = [
        tuple(tracker.build_entry(each, 1.0).pack() for each, _ in tracker.items())
        for tracker in trackers
    ]
    return SuspectNews(*entries)


async def test_crashes_of_unlike_prompts_at_several_hosts_are_added_up():
    """Each host sees one crash under prompts that share their first blocks."""
    hosts = [make_task() for _ in range(3)]
    for number, host in enumerate(hosts):
        host.record_crash(make_identity(number), f"engine-{number}", 0.0)
    for host in hosts[1:]:
        hosts[0].handle_news(build_news(host))
    segment = make_identity(9).segments[0]
    assert len(hosts[0].suspects.segments.get(segment).uncleared) == 3


async def test_prompt_that_begins_like_those_that_crashed_engines_is_refused():
    host = make_task()
    for number in range(3):
        now = asyncio.get_running_loop().time()
        host.record_crash(make_identity(number), f"engine-{number}", now)
    assert host.evaluate(make_identity(9)).verdict is Verdict.REFUSED
    assert host.evaluate(make_identity(9, blocks=(7,))).verdict is Verdict.CLEAR


async def test_prompts_of_two_models_share_no_segment():
    first = make_identity(1)
    other = Completion("n", "prompt 1", 9, 9, True, False, None)
    second = PromptIdentity("town", other, (1, 2, 101))
    assert not set(first.segments) & set(second.segments)


@pytest.mark.parametrize("entry", [(), (b"12345678",), (1, 2, 3, 4, 5), None])
async def test_malformed_news_is_refused(entry):
    with pytest.raises(FrameError):
        make_task().handle_news(SuspectNews((), (entry,)))


def test_all_known_suspects_are_sent_again_in_turn():
    """A host that starts learned only of the last few suspects of the others."""
    host = make_task()
    for number in range(3 * c.MAX_REPEATED_SUSPECTS):
        for target in range(2):
            host.suspects.requests.record_crash(
                number.to_bytes(8, "big"), 1, target, 0.0
            )
    repeated = set()
    for _ in range(3):
        host._repeat_known()
        repeated |= host._changed[0]
        host._changed[0].clear()
    assert len(repeated) == 3 * c.MAX_REPEATED_SUSPECTS


def test_hosts_try_a_refused_prompt_one_after_the_other():
    """Hosts that all try it when it is due would each crash an engine."""
    hosts = [make_task(port) for port in range(1, 4)]
    identity = make_identity(1)
    delays = {host._compute_trial_delay(identity.fingerprint) for host in hosts}
    assert len(delays) == 3
    assert all(0.0 <= delay < c.TRIAL_SPREAD_SECONDS for delay in delays)
