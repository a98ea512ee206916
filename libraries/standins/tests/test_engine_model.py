"""Tests of the engine model: defaults, memory, scheduling and prefix cache."""

from dataclasses import asdict, replace
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonward_standins.engine_model import EngineModel, EngineSizes, EngineWork

ROOT = Path(__file__).parents[3]
SMALL = EngineSizes(kv_tokens=10_000, chunk_tokens=1_000, block_tokens=100)


def build_work(name, prompt=500, answer=10, **more):
    return EngineWork(name, prompt, answer, **more)


def run_until_idle(model):
    first = []
    while (result := model.step()) is not None:
        first += result.first_tokens_for
    return first


def test_settings_file_equals_defaults():
    loaded = EngineSizes.load(ROOT / "examples" / "engine-assumptions.toml")
    assert asdict(loaded) == asdict(EngineSizes())


def test_step_time_grows_with_prefill_and_batch():
    times = []
    for prompt, others in ((500, 0), (1_000, 0), (1_000, 3)):
        model = EngineModel(SMALL)
        for number in range(others):
            model.submit(build_work(f"other-{number}", 100))
        if others:
            model.step()
        model.submit(build_work("one", prompt))
        times.append(model.step().seconds)
    assert times == sorted(set(times))


def test_prefill_follows_priority_and_chunk_limit():
    model = EngineModel(SMALL)
    model.submit(build_work("long", 5_000, priority=3, chunk_tokens=200))
    model.step()
    assert model.queued_prefill_tokens == 4_800
    model.submit(build_work("short", 900))
    result = model.step()
    assert result.first_tokens_for == ("short",)
    assert model.get_queued_by_priority() == {3: 4_700}


def test_memory_is_limited_and_freed():
    model = EngineModel(SMALL)
    assert model.submit(build_work("one", 6_000))
    assert not model.submit(build_work("two", 6_000))
    assert model.reserve("group", 3_000)
    assert not model.submit(build_work("three", 1_500))
    assert model.submit(build_work("leader", 6_000, reservation_id="group"))
    assert not model.submit(build_work("stranger", 10, reservation_id="other"))
    for name in ("one", "leader"):
        model.remove(name)
    model.release("group")
    assert model.free_kv_tokens == SMALL.kv_tokens


def test_prefix_is_cached_until_memory_is_needed():
    model = EngineModel(SMALL)
    hashes = tuple(range(5))
    model.submit(build_work("one", 500, prefix_hashes=hashes))
    run_until_idle(model)
    model.remove("one")
    model.submit(build_work("two", 800, prefix_hashes=(*hashes, 9)))
    assert model.queued_prefill_tokens == 300
    model.remove("two")
    model.submit(build_work("big", 9_900))
    events = list(model.get_cache_events(0))
    assert [event.sequence for event in events] == list(range(1, len(events) + 1))
    assert set(events[-1].removed) <= set(hashes)


def test_exported_request_continues_on_another_engine():
    one, two = EngineModel(SMALL), EngineModel(SMALL)
    one.submit(build_work("work", 1_500, 5))
    one.step()
    assert two.import_kv(one.export_kv("work"))
    assert one.free_kv_tokens == SMALL.kv_tokens
    assert two.queued_prefill_tokens == 500
    assert run_until_idle(two) == ["work"]


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 6), st.integers(1, 4_000)), max_size=40))
def test_memory_accounting_is_exact(steps):
    model = EngineModel(replace(SMALL, max_batch=3))
    for number, (kind, size) in enumerate(steps):
        if kind <= 1:
            work = build_work(f"w{number}", size, priority=kind, chunk_tokens=size // 2)
            model.submit(work)
        elif kind == 2:
            model.reserve(f"w{number}", size)
        elif kind == 3:
            model.step()
        else:
            model.remove(f"w{number - kind}")
            model.release(f"w{number - kind}")
        assert 0 <= model.free_kv_tokens <= SMALL.kv_tokens
    run_until_idle(model)
    for number in range(len(steps)):
        model.remove(f"w{number}")
        model.release(f"w{number}")
    assert model.free_kv_tokens == SMALL.kv_tokens
    assert model.step() is None
