"""Sample the request arrivals of the two users' mixes from a seed."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from random import Random

from tarragonward_placement import BLOCK_TOKENS

__all__ = ["MIXES", "Arrival", "Mix", "sample_arrivals"]

ACCOUNT_COUNT = 10
# Shares of the load and weights: three large accounts, seven small ones.
LARGE_SHARES = (0.25, 0.20, 0.15)
LARGE_WEIGHT = 3.0
FOLLOW_UP_SHARE = 0.35
FOLLOW_UP_TOKENS = (200, 1_200)
MAX_OPEN_CONVERSATIONS = 6
SHARED_PREFIX_BLOCKS = 2
BLOCK_INDEX_BITS = 20
# By this time every host has read its first reports.
FIRST_ARRIVAL_SECONDS = 1.0


@dataclass(frozen=True)
class RequestKind:
    """A kind of request: its share, ranges of prompt and answer tokens, time limit."""

    name: str
    share: float
    prompt_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]
    time_limit_seconds: float


@dataclass(frozen=True)
class Mix:
    """One user's current fleet, and the rate and kinds of its requests."""

    name: str
    engines: int
    hosts: int
    failure_domains: int
    requests_per_second: float
    kinds: tuple[RequestKind, ...]
    weights: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Arrival:
    """One request as a caller sends it."""

    at: float
    request_id: str
    account: str
    prompt_tokens: int
    max_tokens: int
    time_limit_seconds: float
    prefix_hashes: tuple[int, ...]
    host: int


def _build_weights() -> dict[str, float]:
    large = {f"large-{n}": LARGE_WEIGHT for n in range(len(LARGE_SHARES))}
    small = {f"small-{n}": 1.0 for n in range(ACCOUNT_COUNT - len(LARGE_SHARES))}
    return {**large, **small}


MIXES = {
    "shelfwise": Mix(
        name="shelfwise",
        engines=20,
        hosts=8,
        failure_domains=3,
        requests_per_second=11.0,
        kinds=(
            RequestKind("facings", 0.30, (1_000, 2_000), (20, 80), 20.0),
            RequestKind("bay", 0.45, (1_500, 4_000), (60, 250), 30.0),
            RequestKind("aisle", 0.18, (6_000, 30_000), (100, 400), 60.0),
            RequestKind("category", 0.05, (40_000, 100_000), (100, 400), 240.0),
            RequestKind("store", 0.02, (120_000, 1_000_000), (200, 600), 600.0),
        ),
        weights=_build_weights(),
    ),
    "camara": Mix(
        name="camara",
        engines=15,
        hosts=7,
        failure_domains=3,
        requests_per_second=7.5,
        kinds=(
            RequestKind("booking", 0.60, (1_000, 3_500), (40, 200), 20.0),
            RequestKind("history", 0.28, (5_000, 30_000), (100, 400), 60.0),
            RequestKind("machine", 0.10, (35_000, 100_000), (100, 400), 240.0),
            RequestKind("ledger", 0.02, (120_000, 1_000_000), (200, 600), 600.0),
        ),
        weights=_build_weights(),
    ),
}


class _Conversations:
    """Prompts that continue earlier ones of the same account and kind."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._open: dict[tuple[str, str], list[tuple[int, int]]] = {}
        self._next = 1

    def sample(self, account: str, kind: RequestKind) -> tuple[int, int]:
        """Return (conversation, prompt tokens) of the next prompt."""
        open_conversations = self._open.setdefault((account, kind.name), [])
        if open_conversations and self._random.random() < FOLLOW_UP_SHARE:
            conversation, tokens = open_conversations.pop(
                self._random.randrange(len(open_conversations))
            )
            tokens += self._random.randint(*FOLLOW_UP_TOKENS)
            tokens = min(tokens, kind.prompt_tokens[1])
        else:
            conversation, self._next = self._next, self._next + 1
            tokens = self._random.randint(*kind.prompt_tokens)
        open_conversations.append((conversation, tokens))
        del open_conversations[:-MAX_OPEN_CONVERSATIONS]
        return conversation, tokens


def sample_arrivals(
    mix: Mix, seconds: float, seed: int, overload: float = 0.0
) -> list[Arrival]:
    """Return the requests of a run; overload adds that many times the load.

    The overload is from one large account, in the middle third of the run.
    """
    random = Random(seed)
    conversations = _Conversations(random)
    arrivals = []
    for at, account in _sample_times(mix, seconds, overload, random):
        kind = random.choices(mix.kinds, [kind.share for kind in mix.kinds])[0]
        conversation, tokens = conversations.sample(account, kind)
        arrivals.append(
            Arrival(
                at=at,
                request_id=f"r{len(arrivals)}",
                account=account,
                prompt_tokens=tokens,
                max_tokens=random.randint(*kind.answer_tokens),
                time_limit_seconds=kind.time_limit_seconds,
                prefix_hashes=_build_prefix_hashes(account, conversation, tokens),
                host=random.randrange(mix.hosts),
            )
        )
    return arrivals


def _sample_times(
    mix: Mix, seconds: float, overload: float, random: Random
) -> list[tuple[float, str]]:
    small = [name for name in mix.weights if name.startswith("small")]
    small_share = (1 - sum(LARGE_SHARES)) / len(small)
    shares = dict.fromkeys(small, small_share)
    shares |= {f"large-{n}": share for n, share in enumerate(LARGE_SHARES)}
    times = []
    at = FIRST_ARRIVAL_SECONDS
    while at < seconds:
        times.append((at, random.choices(list(shares), list(shares.values()))[0]))
        at += random.expovariate(mix.requests_per_second)
    at = seconds / 3
    while overload and at < seconds * 2 / 3:
        times.append((at, "large-0"))
        at += random.expovariate(mix.requests_per_second * overload)
    return sorted(times)


def _build_prefix_hashes(
    account: str, conversation: int, tokens: int
) -> tuple[int, ...]:
    """Return block hashes: those of the account's prefix, then the conversation's."""
    shared_prefix = sum(account.encode()) << 2 * BLOCK_INDEX_BITS
    conversation_prefix = conversation << BLOCK_INDEX_BITS
    return tuple(
        (shared_prefix if index < SHARED_PREFIX_BLOCKS else conversation_prefix) + index
        for index in range(tokens // BLOCK_TOKENS)
    )


def scale_mix(mix: Mix, factor: float) -> Mix:
    """Return the mix with its load multiplied by a factor."""
    return replace(mix, requests_per_second=mix.requests_per_second * factor)
