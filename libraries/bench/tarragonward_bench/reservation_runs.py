"""Randomised runs of the renewal of one prompt's reserved memory.

`script/measure reservation_runs` prints, for each way of looking whether memory is in
use, how long it stays reserved after its request has ended, and how many looks it
takes.
"""

from __future__ import annotations

import argparse
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from tarragonward_placement import ReservationTracker, ReservationUse

__all__ = ["ReservationRun", "run_reservation", "run_reservation_seed"]

FREE_SECONDS = 4.0
UNUSED_SECONDS = 9.0
HOLD_SECONDS = 2.8
MAX_LOOK_SECONDS = 0.4
MAX_LAG_SECONDS = 0.3
MAX_QUEUE_SECONDS = 4.0
USE_SECONDS = (1.5, 12.0)
EVENT_SECONDS = 0.3
# A preempted prompt uses its memory again after this at most.
MAX_PAUSE_SECONDS = 2.0
MAX_LOST_SHARE = 0.1
# The caller leaves, or the time limit ends.
SEND_SECONDS = 30.0
SEEDS_PER_RUN = 20

Look = Callable[[ReservationTracker, float], bool]


@dataclass(frozen=True)
class ReservationRun:
    """One send's reservation; times in seconds after it was made.

    kept_seconds: how long the memory stayed reserved after its use had ended. is_cut:
    it expired or was released before. is_seen: an event or a look showed it in use.
    is_plain: calls were lost or the use was interrupted, but not both.
    """

    kept_seconds: float
    is_cut: bool
    is_seen: bool
    is_plain: bool
    looks: int


class _Engine:
    """Memory that a request uses for a while, pauses included, and reports of it."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self.begins_at = rng.uniform(0.0, MAX_QUEUE_SECONDS)
        self.ends_at = self.begins_at + rng.uniform(*USE_SECONDS)
        self._pause_at = rng.uniform(self.begins_at, self.ends_at)
        self._pause_seconds = rng.choice((0.0, rng.uniform(0.0, MAX_PAUSE_SECONDS)))
        self._lag = rng.uniform(0.0, MAX_LAG_SECONDS)
        self._lost_share = rng.choice((0.0, MAX_LOST_SHARE))
        self._lost: set[str] = set()
        # The answer is lost at once, on its way, or not at all.
        self.last_event_at = rng.choice(
            (-math.inf, rng.uniform(self.begins_at, self.ends_at), self.ends_at)
        )
        self.expires_at = HOLD_SECONDS

    @property
    def is_plain(self) -> bool:
        """Return whether calls are lost, or the use is interrupted, or neither."""
        return not (self._lost_share and self._pause_seconds)

    def _is_lost(self, kind: str) -> bool:
        """Return whether a call is lost; never two of a kind in a row are."""
        is_lost = self._random.random() < self._lost_share and kind not in self._lost
        (self._lost.add if is_lost else self._lost.discard)(kind)
        return is_lost

    def report(self, now: float) -> ReservationUse:
        """Return what a report says, which is a little old."""
        if self._is_lost("report"):
            return ReservationUse.UNKNOWN
        at = now - self._lag
        if self.expires_at <= at:
            return ReservationUse.GONE
        is_paused = 0.0 <= at - self._pause_at < self._pause_seconds
        is_used = self.begins_at <= at < self.ends_at and not is_paused
        return ReservationUse.USED if is_used else ReservationUse.UNUSED

    def find_last_event(self, now: float) -> float:
        """Return when the last event came up to a time, minus infinity if none did."""
        since = min(now, self.last_event_at) - self.begins_at
        events = since // EVENT_SECONDS
        return self.begins_at + events * EVENT_SECONDS if since >= 0.0 else -math.inf

    def renew(self, now: float, hold_seconds: float) -> None:
        """Renew the reservation, unless the call is lost."""
        if not self._is_lost("renewal"):
            self.expires_at = now + hold_seconds


def run_reservation(seed: int, wants_look: Look | None = None) -> ReservationRun:
    """Run one send; wants_look replaces the product's choice when to look."""
    rng = random.Random(seed)
    engine = _Engine(rng)
    tracker = ReservationTracker(0.0, HOLD_SECONDS, FREE_SECONDS, UNUSED_SECONDS)
    now, due_at, looks, is_seen = 0.0, 0.0, 0, False
    recorded_at = -math.inf
    wants_look = wants_look or ReservationTracker.needs_report
    while now < SEND_SECONDS:
        due_at += tracker.interval_seconds
        now = max(now, due_at)
        event_at = engine.find_last_event(now)
        if event_at > recorded_at:
            tracker.record_event(event_at)
            recorded_at = event_at
        if engine.last_event_at == engine.ends_at <= now:
            # The answer is complete, and the send releases its memory.
            now = engine.ends_at
            break
        use, looked_at = ReservationUse.USED, now
        if wants_look(tracker, now):
            looks += 1
            use = engine.report(now)
            now += rng.uniform(0.0, MAX_LOOK_SECONDS)
            is_seen = is_seen or use is ReservationUse.USED
        hold_seconds = tracker.choose_hold(use, looked_at, now)
        if not hold_seconds:
            break
        engine.renew(now, hold_seconds)
    freed_at = min(now, engine.expires_at)
    is_seen = is_seen or engine.last_event_at > 0.0
    kept = freed_at - engine.ends_at
    return ReservationRun(kept, kept < 0.0, is_seen, engine.is_plain, looks)


def run_reservation_seed(seed: int) -> int:
    """Run sends for the soak; raise AssertionError if memory is kept or cut."""
    looks = 0
    for number in range(SEEDS_PER_RUN):
        run = run_reservation(seed * SEEDS_PER_RUN + number)
        looks += run.looks
        is_excused = not (run.is_plain and run.is_seen)
        assert not run.is_cut or is_excused, f"memory in use was freed, {number}"
        if run.is_seen:
            assert run.kept_seconds <= FREE_SECONDS, f"memory was kept, {number}"
    return looks


def _build_ways() -> dict[str, Look]:
    """Return ways to choose when to look, by name."""

    def look_once(tracker: ReservationTracker, now: float) -> bool:
        is_due = now >= 0.7 * UNUSED_SECONDS and tracker not in looked
        if is_due:
            looked.add(tracker)
        return is_due

    looked: set[ReservationTracker] = set()
    return {
        "product: with each renewal in silence": ReservationTracker.needs_report,
        "with each renewal": lambda tracker, now: True,
        "every other renewal in silence": lambda tracker, now: (
            tracker.needs_report(now) and int(now / tracker.interval_seconds) % 2 == 0
        ),
        "once, after most of the unused time": look_once,
    }


def main() -> None:
    """Print the figures of each way, for the same seeds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=2_000)
    options = parser.parse_args()
    print("way: sends, kept over the bound, longest kept s, cut in use, looks a send")
    for name, wants_look in _build_ways().items():
        runs = [run_reservation(n, wants_look) for n in range(options.seeds)]
        kept = sum(run.kept_seconds > FREE_SECONDS for run in runs)
        longest = max(run.kept_seconds for run in runs)
        cut = sum(run.is_cut for run in runs)
        looks = sum(run.looks for run in runs) / len(runs)
        print(f"{name}: {len(runs)} {kept} {longest:.2f} {cut} {looks:.2f}")


if __name__ == "__main__":
    main()
