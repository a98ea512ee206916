"""Measure how fast a cold fleet loads: `script/measure lengths.loading`."""

from __future__ import annotations

from tarragonward_placement.loads import (
    PendingModelLoad,
    choose_loads,
    count_parallel_loads,
)
from tarragonward_standins.weight_store import WeightStoreModel, WeightStoreSizes

ENGINE_COUNT = 20
DOMAIN_COUNT = 3
MODEL_BYTES = 60e9
TICK_SECONDS = 0.5


def run_loads(parallel: int, sizes: WeightStoreSizes) -> list[float]:
    """Return the times at which engines were loaded, in order, in seconds."""
    pending = [
        PendingModelLoad(f"engine-{n:02}", f"domain-{n % DOMAIN_COUNT}")
        for n in range(ENGINE_COUNT)
    ]
    store = WeightStoreModel(sizes)
    loaded_at: dict[str, float] = {}
    now = 0.0
    while len(loaded_at) < ENGINE_COUNT:
        for engine in choose_loads(pending, loaded_at, parallel):
            store.start(engine, MODEL_BYTES)
        now += TICK_SECONDS
        for engine in store.advance(TICK_SECONDS):
            loaded_at[engine] = now
    return sorted(loaded_at.values())


def main() -> None:
    """Print the times of loading sequentially, as the product does, and all at once."""
    sizes = WeightStoreSizes()
    decided = count_parallel_loads(
        sizes.store_bytes_per_second, sizes.engine_bytes_per_second
    )
    for name, parallel in (("one", 1), ("decided", decided), ("all", ENGINE_COUNT)):
        times = run_loads(parallel, sizes)
        print(
            f"{name:<8} at once={parallel:<3} first={times[0]:.1f}s"
            f" half={times[len(times) // 2 - 1]:.1f}s all={times[-1]:.1f}s"
            f" mean={sum(times) / len(times):.1f}s"
        )


if __name__ == "__main__":
    main()
