"""Compare call owners named in key prefixes with owners by rendezvous hashing."""

from __future__ import annotations

import argparse
import hashlib
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonward_core import ResultCode
from tarragonward_requests import CallLedger, RecordedAnswer, Reply, Send

__all__ = ["FAULTS", "Result", "run_fault"]

HOSTS = 9
CALLS = 2_000
LIMIT_SECONDS = 5.0
RETENTION_SECONDS = 900.0
ANSWER = RecordedAnswer(200, "text/plain", b"done")
UNKNOWN = Reply(ResultCode.OUTCOME_UNKNOWN)


@dataclass
class Result:
    """Outcomes of calls; repeats are copies with the same key, sent after the fault."""

    answered: int = 0
    repeats_answered: int = 0
    unknown: int = 0
    new_refused: int = 0
    duplicate_runs: int = 0


@dataclass
class _Host:
    """Host in a domain; view holds the numbers of the hosts it considers alive."""

    number: int
    domain: int
    view: frozenset[int]
    ledger: CallLedger = field(default_factory=lambda: CallLedger(RETENTION_SECONDS))
    is_alive: bool = True


class _Fleet:
    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        everyone = frozenset(range(HOSTS))
        self.hosts = [_Host(n, n % 3, everyone) for n in range(HOSTS)]
        self.is_partitioned = False
        self.runs: Counter[str] = Counter()

    def get_alive(self) -> list[_Host]:
        return [host for host in self.hosts if host.is_alive]

    def can_reach(self, one: _Host, other: _Host) -> bool:
        return other.is_alive and not (
            self.is_partitioned and one.domain != other.domain
        )

    def run_at(self, owner: _Host, key: str, minted_at: float, now: float) -> Reply:
        """Run a call at its owner if the owner's ledger accepts it."""
        deadline = now + LIMIT_SECONDS
        decision = owner.ledger.accept(key, b"", minted_at, now, deadline)
        if not isinstance(decision, Send):
            return decision if isinstance(decision, Reply) else UNKNOWN
        owner.ledger.mark_sent(key, now)
        self.runs[key] += 1
        return owner.ledger.record_answer(key, ANSWER, now)


# Takes the fleet, the entry host, the key and the host that issued the key; returns the
# owner, or None if the entry host can't determine it.
Scheme = Callable[[_Fleet, _Host, str, _Host], _Host | None]


def choose_named(fleet: _Fleet, entry: _Host, key: str, issuer: _Host) -> _Host:
    """Return the owner named in the key's prefix, independent of membership views."""
    return issuer


def choose_hashed(fleet: _Fleet, entry: _Host, key: str, issuer: _Host) -> _Host | None:
    """Return the owner by rendezvous hashing over the entry host's view."""
    number = max(
        entry.view,
        key=lambda n: hashlib.blake2b(f"{key}|{n}".encode(), digest_size=8).digest(),
    )
    return fleet.hosts[number]


SCHEMES: dict[str, Scheme] = {"named": choose_named, "hashed": choose_hashed}


def kill_host(fleet: _Fleet) -> None:
    """Kill a host; all hosts notice at once."""
    fleet.hosts[0].is_alive = False
    for host in fleet.hosts:
        host.view -= {0}


def kill_host_half_noticed(fleet: _Fleet) -> None:
    """Kill a host; only half of the hosts have noticed."""
    fleet.hosts[0].is_alive = False
    for host in fleet.hosts[: HOSTS // 2]:
        host.view -= {0}


def partition_domains(fleet: _Fleet) -> None:
    """Partition the domains from each other; the views don't change."""
    fleet.is_partitioned = True


def partition_domains_noticed(fleet: _Fleet) -> None:
    """Partition the domains; each considers the others dead and continues to serve."""
    fleet.is_partitioned = True
    for host in fleet.hosts:
        host.view = frozenset(h.number for h in fleet.hosts if h.domain == host.domain)


def pause_host(fleet: _Fleet) -> None:
    """Pause a host until all others consider it dead, then resume it."""
    for host in fleet.hosts[1:]:
        host.view -= {0}


def add_host_half_noticed(fleet: _Fleet) -> None:
    """Add a host; only half of the hosts have noticed."""
    new = _Host(HOSTS, 0, frozenset(range(HOSTS + 1)))
    fleet.hosts.append(new)
    for host in fleet.hosts[: HOSTS // 2]:
        host.view |= {HOSTS}


FAULTS: dict[str, Callable[[_Fleet], None]] = {
    "none": lambda fleet: None,
    "host killed, noticed": kill_host,
    "host killed, half noticed": kill_host_half_noticed,
    "host paused, wakes": pause_host,
    "host added, half noticed": add_host_half_noticed,
    "domains cut, unnoticed": partition_domains,
    "domains cut, noticed": partition_domains_noticed,
}


def run_fault(scheme_name: str, fault: str, seed: int) -> Result:
    """Make calls, inject the fault, repeat all calls and make as many new ones."""
    fleet, scheme, result = _Fleet(seed), SCHEMES[scheme_name], Result()
    keys = []
    for number in range(CALLS):
        source = fleet.random.choice(fleet.get_alive())
        keys.append((f"old-{number}", source))
        _send(fleet, scheme, *keys[-1], entry=fleet.random.choice(fleet.get_alive()))
    FAULTS[fault](fleet)
    for key, source in keys:
        entry = fleet.random.choice(fleet.get_alive())
        reply = _send(fleet, scheme, key, source, entry)
        if reply.code is ResultCode.OK:
            result.repeats_answered += 1
        else:
            result.unknown += 1
    for number in range(CALLS):
        # Callers get the key prefix from the host that they send the call to.
        entry = fleet.random.choice(fleet.get_alive())
        reply = _send(fleet, scheme, f"new-{number}", entry, entry)
        if reply.code is ResultCode.OK:
            result.answered += 1
        else:
            result.new_refused += 1
    result.duplicate_runs = sum(1 for runs in fleet.runs.values() if runs > 1)
    return result


def _send(
    fleet: _Fleet, scheme: Scheme, key: str, issuer: _Host, entry: _Host
) -> Reply:
    owner = scheme(fleet, entry, key, issuer)
    if owner is None or not fleet.can_reach(entry, owner):
        return UNKNOWN
    return fleet.run_at(owner, key, 0.0, 1.0)


def main() -> None:
    """Print a table of outcome rates by fault and scheme."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(f"{HOSTS} hosts, 3 domains, {CALLS} calls before and after, seed", end=" ")
    print(options.seed)
    print("| fault | owner | repeats answered | repeats unknown | new run | doubled |")
    print("| --- | --- | --- | --- | --- | --- |")
    for fault in FAULTS:
        for scheme in SCHEMES:
            result = run_fault(scheme, fault, options.seed)
            shares = (
                result.repeats_answered,
                result.unknown,
                result.answered,
                result.duplicate_runs,
            )
            cells = " | ".join(f"{share / CALLS:.1%}" for share in shares)
            print(f"| {fault} | {scheme} | {cells} |")


if __name__ == "__main__":
    main()
