"""Decide how a prompt may be sent, from what is known of its segments."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from . import const as c
from .segment_entries import SuspectSegment
from .segments import have_same_id
from .suspects import Verdict

__all__ = [
    "STRICTNESS",
    "PromptContext",
    "SegmentVerdict",
    "compute_severity",
    "get_crash_limit",
    "judge_prompt",
]

# Verdicts from the mildest to the strictest.
STRICTNESS = (Verdict.CLEAR, Verdict.ALONE, Verdict.LATER, Verdict.REFUSED)


def _get_no_delay(segment: bytes) -> float:
    return 0.0


@dataclass(frozen=True)
class PromptContext:
    """A prompt that is to be sent, and what its host knows; times in seconds.

    account is a hash of the client account. refused_requests has the targets that
    crashed under each of the other requests that are refused by themselves.
    get_trial_delay returns by how many seconds this host's trials of a refused segment
    come later than those of other hosts, so that one host begins.
    """

    segments: tuple[bytes, ...]
    account: int
    now: float
    is_host_isolated: bool = False
    refused_requests: Collection[frozenset[int]] = ()
    get_trial_delay: Callable[[bytes], float] = _get_no_delay


@dataclass(frozen=True)
class SegmentVerdict:
    """How a prompt may be sent, and because of which of its segments.

    wait_seconds is how long a prompt with the verdict LATER has to wait.
    """

    verdict: Verdict = Verdict.CLEAR
    segments: tuple[bytes, ...] = ()
    wait_seconds: float = 0.0


def judge_prompt(
    prompt: PromptContext,
    suspects: Mapping[bytes, SuspectSegment],
    blamed: Collection[bytes],
) -> SegmentVerdict:
    """Return the strictest verdict on a prompt's segments.

    blamed are the suspects with enough uncleared crashes to be refused, if nothing
    explains those.
    """
    strictest = Verdict.CLEAR
    causes: list[bytes] = []
    wait_seconds = 0.0
    for segment in prompt.segments:
        suspect = suspects.get(segment)
        if suspect is None:
            continue
        others = {each: suspects[each] for each in blamed if each != segment}
        verdict = _judge(segment, suspect, prompt, others)
        wait = _compute_wait(suspect, verdict, prompt)
        if wait > 0.0:
            verdict, wait_seconds = Verdict.LATER, max(wait, wait_seconds)
        if STRICTNESS.index(verdict) > STRICTNESS.index(strictest):
            strictest, causes = verdict, []
        if verdict is strictest and verdict is not Verdict.CLEAR:
            causes.append(segment)
    return SegmentVerdict(strictest, tuple(causes), wait_seconds)


def get_crash_limit(suspect: SuspectSegment) -> int:
    """Return after how many unexplained crashes a suspect is refused."""
    if suspect.is_established:
        return c.ANSWERED_REFUSE_AFTER_CRASHES
    return c.REFUSE_AFTER_CRASHES


def compute_severity(suspect: SuspectSegment) -> int:
    """Return 2 if a suspect has enough crashes to be refused, 1 if one less, else 0."""
    limit, count = get_crash_limit(suspect), suspect.count_crashes()
    return (count >= limit - 1) + (count >= limit)


def _judge(
    segment: bytes,
    suspect: SuspectSegment,
    prompt: PromptContext,
    others: Mapping[bytes, SuspectSegment],
) -> Verdict:
    unexplained, tied = _split_explained(suspect, prompt, others)
    count = suspect.count_crashes(unexplained | tied)
    limit = get_crash_limit(suspect)
    if not suspect.is_established and _is_refused_elsewhere(segment, others):
        limit = 1
    if not _is_refusable(suspect, count, limit, prompt.now):
        is_doubtful = count >= c.RUN_ALONE_AFTER_CRASHES and not suspect.is_established
        return Verdict.ALONE if is_doubtful else Verdict.CLEAR
    if suspect.count_crashes(unexplained) < limit:
        # Another segment, which this prompt lacks, may as well be the cause.
        return Verdict.ALONE
    accounts = {suspect.crashes[target].account for target in unexplained}
    if prompt.account not in accounts and len(accounts) == 1:
        # What one account states of its prompts must not harm another's.
        return Verdict.ALONE
    return Verdict.ALONE if _is_trial_due(segment, suspect, prompt) else Verdict.REFUSED


def _is_refused_elsewhere(
    segment: bytes, others: Mapping[bytes, SuspectSegment]
) -> bool:
    """Return whether the targets of another service crash by the same segment."""
    return any(
        have_same_id(segment, other) and not suspect.is_established
        for other, suspect in others.items()
    )


def _is_refusable(suspect: SuspectSegment, count: int, limit: int, now: float) -> bool:
    """Return whether a suspect's unexplained crashes are enough to refuse it."""
    if count < limit:
        return False
    if not suspect.was_answered:
        return True
    first = min(crash.crashed_at for crash in suspect.uncleared.values())
    return now >= first + c.ANSWERED_REFUSE_AFTER_SECONDS


def _split_explained(
    suspect: SuspectSegment,
    prompt: PromptContext,
    others: Mapping[bytes, SuspectSegment],
) -> tuple[frozenset[int], frozenset[int]]:
    """Return the targets whose crashes nothing explains, and those of a tie.

    A blamed segment that the prompt lacks explains the crashes in which it was there,
    if there is more against it; with as much against it, there is a tie. So is there
    with a request that is refused by itself.
    """
    targets = frozenset(suspect.uncleared)
    rank = _rank_guilt(suspect)
    explained: set[int] = set()
    tied: set[int] = set()
    for segment, other in others.items():
        if segment in prompt.segments:
            continue
        if _rank_guilt(other) > rank:
            explained.update(other.uncleared)
        elif _rank_guilt(other) == rank:
            tied.update(other.uncleared)
    for crashed in prompt.refused_requests:
        if len(crashed) >= len(targets):
            tied.update(crashed)
    unexplained = targets - explained
    return unexplained - tied, unexplained & tied


def _rank_guilt(suspect: SuspectSegment) -> int:
    """Return a number that is higher the more there is against a suspect.

    While one segment crashes all targets, no prompt is answered, and new ones have
    crashes, too; so being established does not outweigh any number of crashes.
    """
    weight = 1 if suspect.is_established else c.UNANSWERED_CRASH_WEIGHT
    return weight * suspect.count_crashes()


def _compute_wait(
    suspect: SuspectSegment, verdict: Verdict, prompt: PromptContext
) -> float:
    """Return how long a prompt has to wait before it may be sent.

    An isolated host knows only its own crashes. Several isolated hosts would each let a
    segment crash more targets, so there one crash is enough to delay the next prompt
    with it.
    """
    wait = 0.0
    if verdict is Verdict.ALONE:
        wait = suspect.compute_attempt_end() - prompt.now
    is_doubtful = bool(suspect.uncleared) and not suspect.is_established
    if prompt.is_host_isolated and is_doubtful and verdict is not Verdict.REFUSED:
        retry_at = suspect.last_local_crash_at + c.ISOLATED_HOST_RETRY_DELAY_SECONDS
        wait = max(wait, retry_at - prompt.now)
    return wait


def _is_trial_due(
    segment: bytes, suspect: SuspectSegment, prompt: PromptContext
) -> bool:
    """Return whether a refused segment is tried again by this prompt."""
    seconds = (
        c.ANSWERED_SEGMENT_TRIAL_SECONDS
        if suspect.is_established
        else c.SEGMENT_TRIAL_SECONDS
    )
    steps = max(0, suspect.count_crashes() - get_crash_limit(suspect))
    growth = c.SEGMENT_TRIAL_GROWTH ** min(steps, c.MAX_SEGMENT_TRIAL_STEPS)
    failed_growth = c.FAILED_SEGMENT_TRIAL_GROWTH ** suspect.count_failed_trials()
    wait = min(seconds * growth, c.MAX_SEGMENT_TRIAL_SECONDS * failed_growth)
    last = max(crash.crashed_at for crash in suspect.uncleared.values())
    overdue_seconds = prompt.now - (last + wait)
    if overdue_seconds < 0.0 or suspect.compute_attempt_end() > prompt.now:
        return False
    return overdue_seconds >= prompt.get_trial_delay(segment)
