"""Randomised runs of streams whose targets number their events in various ways.

`script/measure event_runs` prints, for each way of finding missing events, how many
sound streams are cut, how many with a missing event pass as whole, and the sends.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tarragonward_requests import (
    EventNumbering,
    EventNumberings,
    EventSequence,
    NextEvents,
    StreamEvent,
)

__all__ = ["StreamRun", "run_event_seed", "run_stream"]

PIECES = 12
MAX_SENDS = 3
STREAMS_PER_SEED = 40
LAST_PIECE_TOKENS = 17
MAX_STEP = 5
# Of the runs of a stream's targets, each: cut, without one event, or, if resumed,
# without the first event, or from the beginning.
CUT_SHARE = 0.3
FAULTY_SHARE = 0.05
SERVICE = "s"


def _number_by_step(step: int, first: int) -> Callable[[random.Random], list[int]]:
    def number(rng: random.Random) -> list[int]:
        return [first + step * n for n in range(PIECES)]

    return number


def _number_by_tokens(rng: random.Random) -> list[int]:
    return [46 * n for n in range(1, PIECES)] + [46 * (PIECES - 1) + LAST_PIECE_TOKENS]


def _number_at_random(rng: random.Random) -> list[int]:
    ids, last = [], 0
    for _ in range(PIECES):
        last += rng.randint(1, MAX_STEP)
        ids.append(last)
    return ids


NUMBERINGS: dict[str, Callable[[random.Random], list[int]]] = {
    "one by one": _number_by_step(1, 1),
    "from zero": _number_by_step(1, 0),
    "by tokens": _number_by_tokens,
    "one, then by tokens": _number_by_step(46, 1),
    "random steps": _number_at_random,
}


@dataclass(frozen=True)
class StreamRun:
    """The outcome of one stream.

    is_wrong: the caller got an event twice, or not and what follows it. is_cut: it got
    only a part. is_sound: no target left an event out. cuts: runs that broke off.
    """

    numbering: str
    is_wrong: bool
    is_cut: bool
    is_sound: bool
    cuts: int
    sends: int


class _Targets:
    """The targets of one stream; each run of them may fail in several ways."""

    def __init__(self, rng: random.Random, numbering: str) -> None:
        self._random = rng
        self._ids = NUMBERINGS[numbering](rng)
        self.is_sound = True
        self.cuts = 0

    def run(self, last_event_id: int | None) -> tuple[list[StreamEvent], bool]:
        """Return the events of the next run, and whether it ends whole."""
        rng, pieces = self._random, list(enumerate(self._ids))
        if last_event_id is not None and rng.random() >= FAULTY_SHARE:
            pieces = [(n, each) for n, each in pieces if each > last_event_id]
        if len(pieces) > 2 and rng.random() < FAULTY_SHARE:
            lost = rng.randrange(0 if last_event_id is not None else 1, len(pieces) - 1)
            del pieces[lost]
            self.is_sound = False
        is_whole = rng.random() >= CUT_SHARE
        if not is_whole:
            self.cuts += 1
            pieces = pieces[: rng.randrange(len(pieces))] if pieces else []
        events = [StreamEvent(b"%d" % n, each) for n, each in pieces]
        return events, is_whole


def run_stream(
    rng: random.Random, numbering: str, sequence: EventSequence
) -> StreamRun:
    """Run one stream to its end; its sequence decides what its caller gets."""
    targets, got, sends = _Targets(rng, numbering), [], 0
    is_ended = False
    while not is_ended and sends < MAX_SENDS:
        sends += 1
        sequence.begin_run()
        events, is_whole = targets.run(sequence.last_event_id)
        forwarded = sequence.select(events)
        got += [int(event.data) for event in forwarded.events]
        is_ended = is_whole and not forwarded.has_gap
    expected = list(range(PIECES))
    is_wrong = got != expected[: len(got)] or (is_ended and got != expected)
    return StreamRun(
        numbering, is_wrong, not is_ended, targets.is_sound, targets.cuts, sends
    )


def run_event_seed(seed: int) -> int:
    """Run streams of one service for the soak; raise AssertionError at a fault."""
    rng = random.Random(seed)
    numbering = rng.choice(list(NUMBERINGS))
    numberings, sends = EventNumberings(), 0
    for number in range(STREAMS_PER_SEED):
        sequence = EventSequence(None, numberings.get(SERVICE, float(number)))
        run = run_stream(rng, numbering, sequence)
        sends += run.sends
        if not run.is_cut:
            numberings.record_whole_stream(SERVICE, sequence, float(number))
        if numbering in ("one by one", "from zero"):
            assert not run.is_wrong, f"an event is missing, {numbering}, {number}"
        if run.is_sound:
            assert not run.is_wrong, f"a sound stream was changed, {number}"
            # One send may be needed to see that ids increase by more than one.
            has_sends = run.cuts + 1 < MAX_SENDS
            assert not (run.is_cut and has_sends), f"a sound stream was cut, {number}"
    return sends


class _OneByOne(EventSequence):
    """Takes any step over one for a missing event."""

    def select(self, events: Iterable[StreamEvent]) -> NextEvents:
        selected: list[StreamEvent] = []
        for event in events:
            last, number = self.last_event_id, event.event_id
            assert number is not None
            if last is not None and number <= last:
                continue
            if last is not None and number != last + 1:
                return NextEvents(tuple(selected), has_gap=True)
            self.last_event_id = number
            selected.append(event)
        return NextEvents(tuple(selected))


def _count(rows: list[StreamRun]) -> str:
    sound = sum(run.is_cut and run.is_sound and run.cuts == 0 for run in rows)
    wrong = sum(run.is_wrong for run in rows)
    sends = sum(run.sends for run in rows) / len(rows)
    return f"{len(rows)} {sound} {wrong} {sends:.2f}"


def main() -> None:
    """Print the figures of each way and numbering, for the same seeds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=50)
    options = parser.parse_args()
    print("way, numbering: streams, sound and uncut ones cut, wrong, sends a stream")
    for way in ("one by one", "any step", "a stream alone", "product"):
        rows: dict[str, list[StreamRun]] = {name: [] for name in NUMBERINGS}
        for name in NUMBERINGS:
            for seed in range(options.seeds):
                rows[name] += _run_service(seed, name, way)
        for name, runs in rows.items():
            print(f"{way}, {name}: {_count(runs)}")


def _run_service(seed: int, numbering: str, way: str) -> list[StreamRun]:
    numberings, runs = EventNumberings(), []
    for number in range(STREAMS_PER_SEED):
        numbered = EventNumbering.UNKNOWN
        if way == "any step":
            numbered = EventNumbering.SPARSE
        if way == "product":
            numbered = numberings.get(SERVICE, float(number))
        kind = _OneByOne if way == "one by one" else EventSequence
        sequence = kind(None, numbered)
        rng = random.Random(seed * STREAMS_PER_SEED + number)
        runs.append(run_stream(rng, numbering, sequence))
        if not runs[-1].is_cut:
            numberings.record_whole_stream(SERVICE, sequence, float(number))
    return runs


if __name__ == "__main__":
    main()
