"""Tests of the platform's pass model and of settings templates."""

import pytest

from tarragonward_standins.platform_engine import PassEngine, PassSizes, PassWork
from tarragonward_standins.platform_settings import render_settings

SIZES = PassSizes()


def run(engine, until=10_000):
    """Run passes until idle; return events as (time, request id, tokens)."""
    now, events = 0.0, []
    for _ in range(until):
        if not engine.has_work:
            return events
        result = engine.begin_pass()
        now += result.seconds
        events += [(now, work.id, tokens) for work, tokens in result.decoded]
        for work in engine.end_pass(result):
            if not (work.is_part or work.pending_parts or work.generated_tokens):
                work.generated_tokens = 1
                events.append((now, work.id, 1))
        for work in list(engine.running):
            if not work.is_part and work.generated_tokens >= work.answer_tokens:
                engine.remove(work)
    raise AssertionError("the engine never ends")


def test_single_prompt_takes_the_specified_time():
    """200,000 tokens: 98 chunks, and the attention pairs of the whole prompt."""
    engine = PassEngine(SIZES)
    engine.add(PassWork("w", 200_000, 47))
    (first, _, _), (last, _, tokens) = run(engine)
    steps = 98 * SIZES.step_ms
    pairs = 200_000**2 / 2 / 1e6 * SIZES.pairs_per_m
    assert first == pytest.approx((steps + 200_000 / 256 + pairs) / 1000, rel=1e-6)
    context = 200_001 / 1000 * SIZES.context_per_k
    step = SIZES.step_ms + SIZES.per_seq_ms + context
    assert (last - first, tokens) == (pytest.approx(46 * step / 1000, rel=1e-4), 46)


def test_long_prefill_delays_concurrent_decoding():
    """A pass with a decoding request runs all steps, each with a prefill chunk."""
    alone, beside = PassEngine(SIZES), PassEngine(SIZES)
    for engine in (alone, beside):
        engine.add(PassWork("short", 1_000, 461, urgency=0))
    beside.add(PassWork("long", 400_000, 1))

    def measure(events):
        times = [at for at, work_id, _ in events if work_id == "short"]
        return max(after - at for at, after in zip(times, times[1:], strict=False))

    assert measure(run(beside)) > 5 * measure(run(alone))


def test_newest_part_of_a_split_prompt_is_prefilled_first():
    """An older part and an unsplit prompt wait until a newer part is prefilled.

    The platform's runners behave so, both with the leader's own part and with parts for
    others. The newer part delays the first event of the older prompt.
    """
    engine = PassEngine(SIZES)
    unsplit = PassWork("whole", 40_000, 1)
    older = PassWork("older", 400_000, 1, part_tokens=50_000, pending_parts=1)
    newer = PassWork("newer", 400_000, 0, part_tokens=50_000, is_part=True)
    for work in (unsplit, older):
        engine.add(work)
    engine.end_pass(engine.begin_pass())
    engine.add(newer)
    done = []
    while engine.has_work and len(done) < 3:
        done += engine.end_pass(engine.begin_pass())
    assert [work.id for work in dict.fromkeys(done)] == ["newer", "older", "whole"]


def test_urgent_request_runs_first():
    engine = PassEngine(PassSizes(slots=1))
    for number, urgency in enumerate((5, 5, 0)):
        engine.add(PassWork(f"w{number}", 5_000, 10, urgency))
    order = [work_id for _, work_id, tokens in run(engine) if tokens == 1]
    assert order[0] == "w2"


def test_newest_request_is_preempted_if_memory_runs_out():
    engine = PassEngine(PassSizes(memory_tokens=10_000))
    requests = [PassWork(f"w{n}", 4_900, 600) for n in range(2)]
    for work in requests:
        engine.add(work)
    engine.begin_pass()
    assert len(engine.running) == 2
    events = run(engine)
    assert engine.free_tokens == 10_000
    assert sum(tokens for _, work_id, tokens in events if work_id == "w0") == 600


def test_reservations_wait_are_granted_and_expire():
    engine = PassEngine(PassSizes(memory_tokens=100))
    assert engine.reserve("a", 101, 1.0, True, 0.0) == 400
    assert engine.reserve("a", 60, 1.0, False, 0.0) == 200
    assert engine.reserve("b", 60, 9.0, False, 0.0) == 409
    assert engine.reserve("b", 60, 9.0, True, 0.0) == 202
    assert engine.reserve("a", 60, 1.0, False, 0.5) == 200
    engine.expire(1.2)
    assert engine.reservations["b"].is_waiting
    engine.expire(1.6)
    assert not engine.reservations["b"].is_waiting
    engine.release("b")
    assert engine.free_tokens == 100


def test_settings_template_is_rendered():
    fields = {"a": {"b": [1, 2]}, "t": True, "none": None, "m": {"x": 1, "y": 2}}
    template = (
        "{{a.b}} {{a.b.1}} {{a|json}} [{{none}}] {{#m}}{{@}}={{.}}{{,}}{{/m}}"
        " {{#t}}yes{{/t}}{{^t}}no{{/t}}{{#none}}yes{{/none}}{{^none}}no{{/none}}"
    )
    expected = '1,2 2 {"b": [1, 2]} [] x=1,y=2 yesno'
    assert render_settings(template, fields) == expected
