"""Prompt segments that crash runners: the prompts of a day, and the rules on them."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from .platform_clients import Attempt, ClientRequest, RequestPlan
from .platform_runner import Arrival, list_shared_segments
from .platform_statements import HostStarts

__all__ = [
    "CrashingSegments",
    "SoundPrompts",
    "count_sound_prompts",
    "find_neglected_prompts",
    "find_sends_of_crashing_segments",
]

STABLE_SECONDS = 3.0
CRASHES_UNTIL_KNOWN = 5
MAX_SENDS_ONCE_KNOWN = 3
MIN_COMPARED_REQUESTS = 20
MIN_BEGUN_RATIO = 0.5
SEGMENT_TOKENS = 200
PREFIX_HEADER = "X-Prompt-Prefix"
COUNTS_HEADER = "X-Token-Counts"


@dataclass(frozen=True)
class CrashingSegments:
    """Prompts of a day, no two alike, that hold a segment which crashes runners.

    begin_seconds is when the first one is sent, position is the segment's place among
    the shared ones, and counts is how many such segments there are.
    """

    per_second: float = 1.2
    begin_seconds: float = 4.0
    position: int = 1
    count: int = 1

    @property
    def ids(self) -> tuple[str, ...]:
        """Return the ids of the segments."""
        return tuple(f"dead{number:04x}" for number in range(self.count))

    def change_plan(self, plan: RequestPlan, rng: random.Random) -> RequestPlan:
        """Return a sound prompt's plan with one of the segments added."""
        headers = dict(plan.headers)
        *shared, own = headers[PREFIX_HEADER].split(",")
        shared.insert(self.position, f"{rng.choice(self.ids)}:{SEGMENT_TOKENS}")
        headers[PREFIX_HEADER] = ",".join([*shared, own])
        prompt, answer = headers[COUNTS_HEADER].split(",")
        headers[COUNTS_HEADER] = f"{int(prompt) + SEGMENT_TOKENS},{answer}"
        return RequestPlan(**{**vars(plan), "headers": tuple(headers.items())})


def find_sends_of_crashing_segments(
    requests: Iterable[ClientRequest],
    arrivals: Sequence[Arrival],
    starts: HostStarts,
) -> Iterator[str]:
    """Find segments that reach runners although hosts must know what they do.

    More than MAX_SENDS_ONCE_KNOWN prompts with a segment may not be sent by hosts that
    have run for STABLE_SECONDS, later than that after the fifth crash.
    """
    hosts = {a.request_id: a.node for r in requests for a in r.attempts}
    for segment, crashed_at in _find_crashes(arrivals).items():
        if len(crashed_at) < CRASHES_UNTIL_KNOWN:
            continue
        known_at = crashed_at[CRASHES_UNTIL_KNOWN - 1] + STABLE_SECONDS
        late = [
            arrival
            for arrival in arrivals
            if arrival.at > known_at
            and segment in list_shared_segments(arrival.headers)
            and not _has_started_before(starts, hosts, arrival)
        ]
        if len(late) > MAX_SENDS_ONCE_KNOWN:
            yield f"segment {segment}: {len(late)} sends, {len(crashed_at)} crashes"


@dataclass(frozen=True)
class SoundPrompts:
    """Sound prompts that share something with those of a segment that crashes runners.

    For those before the first crash and for those once the segment must be known, the
    counts of prompts, and of those that began to run at their first attempt.
    """

    segment: str
    shared: str
    before: int
    begun_before: int
    after: int
    begun_after: int

    @property
    def is_comparable(self) -> bool:
        """Return whether there are enough prompts of both kinds."""
        return self.has_enough_before and self.after >= MIN_COMPARED_REQUESTS

    @property
    def has_enough_before(self) -> bool:
        """Return whether there are enough prompts before the first crash."""
        return self.before >= MIN_COMPARED_REQUESTS

    @property
    def are_neglected(self) -> bool:
        """Return whether too few of them begin once the segment must be known."""
        least = MIN_BEGUN_RATIO * self.begun_before * self.after
        return self.is_comparable and self.begun_after * self.before < least


def find_neglected_prompts(
    requests: Sequence[ClientRequest], arrivals: Sequence[Arrival]
) -> Iterator[str]:
    """Find segments for which sound prompts are refused, too.

    Sound prompts of the same route that share the key or the first segment must begin
    at their first attempt at least MIN_BEGUN_RATIO as often as before the first crash.
    """
    for sound in count_sound_prompts(requests, arrivals):
        if sound.are_neglected:
            yield (
                f"segment {sound.segment}: {sound.begun_after} of {sound.after} sound "
                f"prompts with the same {sound.shared} begun, "
                f"{sound.begun_before} of {sound.before} before"
            )


def count_sound_prompts(
    requests: Sequence[ClientRequest], arrivals: Sequence[Arrival]
) -> Iterator[SoundPrompts]:
    """Count, for each segment, the sound prompts with its key or first segment."""
    begun = {arrival.request_id for arrival in arrivals if arrival.has_run}
    crashes = _find_crashes(arrivals)
    firsts = [
        (request.plan, request.attempts[0]) for request in requests if request.attempts
    ]
    for segment, crashed_at in crashes.items():
        bad = [each for each in firsts if segment in _list_segments(each[0])]
        known_at = crashed_at[:CRASHES_UNTIL_KNOWN][-1] + 2 * STABLE_SECONDS
        until = max((attempt.sent_at for _, attempt in bad), default=known_at)
        for shared, is_alike in _list_likenesses(bad):
            sound = [
                attempt
                for plan, attempt in firsts
                if is_alike(plan, attempt)
                and not crashes.keys() & set(_list_segments(plan))
                and not (attempt.has_disconnected and attempt.leaves_early)
            ]
            before = [a for a in sound if a.sent_at < crashed_at[0] - STABLE_SECONDS]
            after = [a for a in sound if known_at < a.sent_at <= until]
            begun_before, begun_after = (
                sum(a.request_id in begun for a in group) for group in (before, after)
            )
            yield SoundPrompts(
                segment, shared, len(before), begun_before, len(after), begun_after
            )


def _list_likenesses(
    bad: Sequence[tuple[RequestPlan, Attempt]],
) -> Iterator[tuple[str, Callable[[RequestPlan, Attempt], bool]]]:
    """Iterate over what a sound prompt may share with those that crash runners."""
    routes = {plan.route for plan, _ in bad}
    keys = {attempt.headers.get("x-key") for _, attempt in bad}
    first_segments = {_list_segments(plan)[0] for plan, _ in bad}
    yield (
        "key",
        lambda plan, attempt: (
            plan.route in routes and attempt.headers.get("x-key") in keys
        ),
    )
    yield (
        "first segment",
        lambda plan, _: (
            plan.route in routes
            and not first_segments.isdisjoint(_list_segments(plan)[:1])
        ),
    )


def _find_crashes(arrivals: Iterable[Arrival]) -> dict[str, list[float]]:
    """Return the sorted times at which each segment crashed a runner."""
    crashes: dict[str, dict[str, float]] = defaultdict(dict)
    for arrival in arrivals:
        if arrival.crashing_segment and arrival.runner_crashed_at is not None:
            by_runner = crashes[arrival.crashing_segment]
            by_runner.setdefault(arrival.runner_id, arrival.runner_crashed_at)
    return {segment: sorted(ends.values()) for segment, ends in crashes.items()}


def _list_segments(plan: RequestPlan) -> Collection[str]:
    return list_shared_segments({name.lower(): value for name, value in plan.headers})


def _has_started_before(
    starts: HostStarts, hosts: Mapping[str, object], arrival: Arrival
) -> bool:
    """Return whether the host that sent a request had just been started."""
    return any(
        started_at <= arrival.at < started_at + STABLE_SECONDS
        for started_at in starts.get(hosts.get(arrival.request_id), ())
    )
