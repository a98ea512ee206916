"""Measure how early a cold fleet is useful: `script/measure lengths.loading`."""

from __future__ import annotations

from tarragonward_placement.loads import (
    PendingModelLoad,
    choose_loads,
    count_parallel_loads,
)
from tarragonward_standins.weight_store import WeightStoreModel, WeightStoreSizes

ENGINES = 20
DOMAINS = 3
MODEL_BYTES = 60e9
TICK_SECONDS = 0.5


def run_loads(parallel: int, sizes: WeightStoreSizes) -> list[float]:
    """Return when each engine was loaded, in order, in seconds."""
    wanted = [
        PendingModelLoad(f"engine-{n:02}", f"domain-{n % DOMAINS}")
        for n in range(ENGINES)
    ]
    store = WeightStoreModel(sizes)
    loaded: dict[str, float] = {}
    now = 0.0
    while len(loaded) < ENGINES:
        for engine in choose_loads(wanted, loaded, parallel):
            store.start(engine, MODEL_BYTES)
        now += TICK_SECONDS
        for engine in store.advance(TICK_SECONDS):
            loaded[engine] = now
    return sorted(loaded.values())


def main() -> None:
    """Print the times of loading one at a time, as decided, and all at once."""
    sizes = WeightStoreSizes()
    decided = count_parallel_loads(
        sizes.store_bytes_per_second, sizes.engine_bytes_per_second
    )
    for name, parallel in (("one", 1), ("decided", decided), ("all", ENGINES)):
        times = run_loads(parallel, sizes)
        print(
            f"{name:<8} at once={parallel:<3} first={times[0]:.1f}s"
            f" half={times[len(times) // 2 - 1]:.1f}s all={times[-1]:.1f}s"
            f" mean={sum(times) / len(times):.1f}s"
        )


if __name__ == "__main__":
    main()
