"""Check whether hosts act on what runners state about themselves in their answers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from tarragonward_core import Address

from .platform_clients import Attempt
from .platform_runner import Arrival

__all__ = ["HostStarts", "find_sends_after_leaving", "find_sends_during_cooldown"]

LEAVING_SECONDS = 2.0
COOLDOWN_NOTICE_SECONDS = 0.5
MAX_SENDS_DURING_COOLDOWN = 2

# By the address of a host: when its processes were started.
HostStarts = Mapping[Address, Sequence[float]]


def find_sends_after_leaving(
    attempts: Iterable[Attempt], arrivals: Iterable[Arrival], host_starts: HostStarts
) -> list[str]:
    """Return the requests that hosts sent to runners known to them as leaving.

    A host knows it once it has passed on an answer that states it. Requests that
    callers send more than LEAVING_SECONDS later must not reach that runner from that
    host, unless the host was started anew since.
    """
    sends = _pair_sends(attempts, arrivals)
    passed_on: dict[tuple[Address, str], list[float]] = defaultdict(list)
    for attempt, arrival in sends:
        passed_at = attempt.first_event_at or attempt.ended_at
        seal = f"{arrival.runner_id}.{arrival.request_id}"
        is_passed_on = attempt.answer.get("x-response-seal") == seal
        if arrival.states_leaving and is_passed_on and passed_at is not None:
            passed_on[attempt.node, arrival.runner_id].append(passed_at)

    def is_known(attempt: Attempt, arrival: Arrival) -> bool:
        started = [at for at in host_starts.get(attempt.node, ()) if at <= arrival.at]
        return any(
            max(started, default=0.0) <= at < attempt.sent_at - LEAVING_SECONDS
            for at in passed_on[attempt.node, arrival.runner_id]
        )

    return [
        arrival.request_id
        for attempt, arrival in sends
        if arrival.status != 421 and is_known(attempt, arrival)
    ]


def find_sends_during_cooldown(
    attempts: Iterable[Attempt], arrivals: Iterable[Arrival], host_starts: HostStarts
) -> list[str]:
    """Return the requests beyond the allowed ones during cooldowns asked of a host.

    A runner that refuses a request may ask its host to send nothing for some seconds.
    Between COOLDOWN_NOTICE_SECONDS after that and the end of the cooldown at most
    MAX_SENDS_DURING_COOLDOWN requests may reach it from the host, unless the host was
    started anew since.
    """
    by_pair: dict[tuple[Address, str], list[Arrival]] = defaultdict(list)
    for attempt, arrival in _pair_sends(attempts, arrivals):
        by_pair[attempt.node, arrival.runner_id].append(arrival)
    excess: dict[str, None] = {}
    for (node, _), sent in by_pair.items():
        starts = host_starts.get(node, ())
        for refused in sent:
            if refused.cooldown_seconds is None or refused.ended_at is None:
                continue
            begin = refused.ended_at + COOLDOWN_NOTICE_SECONDS
            end = refused.ended_at + refused.cooldown_seconds
            if any(refused.ended_at < at <= end for at in starts):
                continue
            during = [each for each in sent if begin <= each.at < end]
            for each in during[MAX_SENDS_DURING_COOLDOWN:]:
                excess[each.request_id] = None
    return list(excess)


def _pair_sends(
    attempts: Iterable[Attempt], arrivals: Iterable[Arrival]
) -> list[tuple[Attempt, Arrival]]:
    by_id = {attempt.request_id: attempt for attempt in attempts}
    return [
        (by_id[arrival.request_id], arrival)
        for arrival in arrivals
        if arrival.request_id in by_id
    ]
