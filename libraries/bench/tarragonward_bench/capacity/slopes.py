"""Fit straight lines to what was measured at several sizes."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

__all__ = ["Slope", "fit_slope", "measure_cpu_seconds", "measure_kept_bytes"]


@dataclass(frozen=True)
class Slope:
    """A line through measured points; fit is R squared."""

    name: str
    size_unit: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    fit: float

    def at(self, size: float) -> float:
        """Return the value that the line gives for a size, at least 0."""
        return max(self.intercept + self.slope * size, 0.0)

    def __str__(self) -> str:
        points = " ".join(
            f"{size:g}:{value:.4g}"
            for size, value in zip(self.sizes, self.values, strict=True)
        )
        return (
            f"slope {self.name}: {self.slope:.5g} {self.unit} a {self.size_unit}"
            f" + {self.intercept:.5g}, fit {self.fit:.3f} ({points})"
        )


def fit_slope(
    name: str,
    size_unit: str,
    unit: str,
    measure: Callable[[int], float],
    sizes: Sequence[int],
) -> Slope:
    """Measure at each size and fit a line by least squares."""
    values = [measure(size) for size in sizes]
    slope, intercept = np.polyfit(sizes, values, 1)
    expected = np.polyval((slope, intercept), sizes)
    spread = float(np.sum((np.array(values) - np.mean(values)) ** 2))
    error = float(np.sum((np.array(values) - expected) ** 2))
    fit = 1.0 - error / spread if spread else 1.0
    return Slope(
        name,
        size_unit,
        unit,
        tuple(map(float, sizes)),
        tuple(map(float, values)),
        float(slope),
        float(intercept),
        fit,
    )


def measure_kept_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that what build returns keeps, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del kept
        return size
    finally:
        tracemalloc.stop()


def measure_peak_bytes(action: Callable[[], Any]) -> int:
    """Return the most bytes that action held at once, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    try:
        action()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def measure_cpu_seconds(action: Callable[[], Any], repeats: int = 1) -> float:
    """Return the processor seconds of one run of action, the mean of repeats."""
    begin = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - begin) / repeats
