"""Tests of requests that crash the targets that run them."""

from contextlib import ExitStack
from dataclasses import replace

from tarragonward_gateway.choices import TargetRequirements
from tarragonward_gateway.clock import read_clock
from tarragonward_requests import SendVerdict, Verdict, fingerprint_request
from tarragonward_standins import answer_with, async_reset

MARK = b"crash"
CRASHING = fingerprint_request("town", "POST", "app.example", b"/app/x", MARK)
FINGERPRINT = fingerprint_request("town", "POST", "app.example", b"/app/x", b"other")


def crash_on_mark(targets):
    """Return a script: a marked request crashes the target, others are answered."""
    answer = answer_with()

    async def script(request, writer):
        if not request.body.startswith(MARK):
            await answer(request, writer)
            return
        [target] = [t for t in targets if request in t.requests]
        await target.async_unload()
        writer.transport.abort()

    return script


def ask(site, body, segments=""):
    lines = [f"Content-Length: {len(body)}"]
    if segments:
        lines.append(f"X-Prompt-Segments: {segments}")
    return site.async_ask("POST", body=body, lines=lines)


async def make_crashing_site(make_site, count, **route):
    site = await make_site(**route)
    for _ in range(count):
        await site.async_add(crash_on_mark(site.targets))
    return site


async def test_request_that_crashed_three_targets_is_refused(make_site):
    """A caller repeats a request that crashes targets: ten repeats crashed twenty."""
    site = await make_crashing_site(make_site, 8)
    for _ in range(6):
        await ask(site, MARK)
    assert site.runs == 3
    assert (await ask(site, b"other")).status == 200


async def test_request_that_became_suspect_since_it_was_placed_is_not_sent(make_site):
    """Other hosts told of its crashes while it waited for a place."""
    site = await make_crashing_site(make_site, 8)
    suspects, chooser = site.forwarder.suspects, site.chooser
    accepts_requests = chooser.accepts_requests

    def learn_of_crashes(target):
        for number in range(3):
            suspects.tracker.record_crash(CRASHING, len(MARK), number, read_clock())
        return accepts_requests(target)

    chooser.accepts_requests = learn_of_crashes
    answer = await ask(site, MARK)
    assert (answer.status, answer.get("x-result-code")) == (503, ["2009"])
    assert site.runs == 0


async def test_announced_trial_is_not_withheld(make_site, monkeypatch):
    """While a segment's trial is announced, its prompts are refused at all hosts."""
    suspects = (await make_crashing_site(make_site, 1)).forwarder.suspects
    refused = SendVerdict(Verdict.REFUSED)
    monkeypatch.setattr(suspects, "evaluate", lambda identity: refused)
    assert not suspects.has_become_suspect(None, SendVerdict(Verdict.ALONE))
    assert suspects.has_become_suspect(None, SendVerdict(Verdict.CLEAR))


async def test_request_whose_crashes_are_explained_is_tried_alone_once(make_site):
    """Two requests that crash targets ran on the same ones and excuse each other."""
    site = await make_crashing_site(make_site, 8)
    tracker = site.forwarder.suspects.tracker
    for number in range(8):
        tracker.record_crash(FINGERPRINT, 9, number, read_clock())
    for number in range(3):
        tracker.record_crash(CRASHING, len(MARK), number, read_clock())
    for _ in range(6):
        await ask(site, MARK)
    assert site.runs == 1


async def test_dropped_connection_makes_no_suspect(make_site):
    """Lost connections on an unreliable link must not turn requests into suspects."""
    site = await make_site(*[async_reset] * 2, attempts=2)
    for _ in range(4):
        assert (await ask(site, MARK)).status == 502
    assert site.runs == 8
    assert not len(site.forwarder.suspects.tracker)


async def test_request_in_progress_beside_a_crash_is_answered(make_site):
    """Requests that were in progress on a crashed target must not be refused."""
    site = await make_crashing_site(make_site, 8)
    victim = FINGERPRINT
    tracker = site.forwarder.suspects.tracker
    for target in (1, 2):
        tracker.record_crash(victim, len(b"other"), target, read_clock())
    assert tracker.evaluate(victim, read_clock()) is Verdict.ALONE
    assert (await ask(site, b"other")).status == 200
    assert tracker.evaluate(victim, read_clock()) is Verdict.CLEAR


async def test_refusal_of_a_suspect_has_no_retry_after(make_site):
    """A caller that was told when to retry would crash the next target."""
    site = await make_crashing_site(make_site, 8, attempts=3)
    has_run = await ask(site, MARK)
    assert (has_run.status, has_run.get("x-result-code")) == (502, ["4006"])
    not_run = await ask(site, MARK)
    assert (not_run.status, not_run.get("x-result-code")) == (503, ["2009"])
    assert not not_run.get("retry-after")


async def test_suspect_is_sent_where_no_other_request_is_in_progress(make_site):
    """A third crash should lose as little other work as possible."""
    site = await make_crashing_site(make_site, 3)
    chooser = site.chooser
    need = TargetRequirements("s", site.state.table.routes[0], 0.0)
    with ExitStack() as stack:
        for _ in range(2):
            stack.enter_context(chooser.track_in_flight(chooser.choose(need)))
        alone = chooser.choose(replace(need, is_suspect=True)).target
        assert alone is site.state.registry.get_ready("s")[2]
        stack.enter_context(chooser.isolate_target(alone))
        assert chooser.choose(need).target is not alone


async def test_unlike_prompts_with_a_segment_crash_few_targets(make_site):
    """Prompts that share a segment and nothing else: twenty crashed thirty targets."""
    site = await make_crashing_site(make_site, 30)
    assert (await ask(site, b"sound", "common:40,own:9")).status == 200
    runs = site.runs
    answers = [
        await ask(site, MARK + bytes([number]), f"common:40,bad:200,own{number}:9")
        for number in range(20)
    ]
    assert site.runs - runs <= 4
    assert [answer.status for answer in answers[4:]] == [503] * 16
    assert not answers[-1].get("retry-after")
    for number in range(20):
        sound = await ask(site, b"%d" % number, f"common:40,own{number}:9")
        assert sound.status == 200


async def test_prompt_beside_another_ones_segment_is_answered(make_site):
    """A session's prompts were beside the cause, and share all but one segment."""
    site = await make_crashing_site(make_site, 30)
    for number in range(6):
        await ask(
            site, MARK + bytes([number]), f"common:40,session:99,bad:200,o:{number}"
        )
    assert site.runs <= 4
    assert (await ask(site, b"sound", "common:40,session:99,own:9")).status == 200
    for number in range(6):
        sound = await ask(site, b"%d" % number, f"common:40,session:99,own{number}:9")
        assert sound.status == 200


async def test_malformed_segments_are_forwarded_unchanged(make_site):
    site = await make_crashing_site(make_site, 1)
    for text in (",,,", ":::", "a" * 8_000, "a:1,,b", "%zz:1,x:2"):
        assert (await ask(site, b"sound", text)).status == 200
        assert site.targets[0].requests[-1].get("x-prompt-segments") == [text]
