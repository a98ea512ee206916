"""Compare owners named in key prefixes with owners by rendezvous hash, under faults."""

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
    """What callers met; a repeat is a second copy with the same key after the fault."""

    answered: int = 0
    repeats_answered: int = 0
    unknown: int = 0
    new_refused: int = 0
    doubled: int = 0


@dataclass
class _Host:
    """A host in a domain; view holds the numbers of the hosts that it believes in."""

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
        self.is_cut = False
        self.runs: Counter[str] = Counter()

    def get_alive(self) -> list[_Host]:
        return [host for host in self.hosts if host.is_alive]

    def can_reach(self, one: _Host, other: _Host) -> bool:
        return other.is_alive and not (self.is_cut and one.domain != other.domain)

    def run_at(self, owner: _Host, key: str, minted_at: float, now: float) -> Reply:
        """Run a call at its owner, whose ledger decides."""
        deadline = now + LIMIT_SECONDS
        decision = owner.ledger.accept(key, b"", minted_at, now, deadline)
        if not isinstance(decision, Send):
            return decision if isinstance(decision, Reply) else UNKNOWN
        owner.ledger.mark_sent(key, now)
        self.runs[key] += 1
        return owner.ledger.record_answer(key, ANSWER, now)


# A scheme takes fleet, entry host, key and the host that the key was taken from, and
# returns the owner; None where the entry host can't tell one.
Scheme = Callable[[_Fleet, _Host, str, _Host], _Host | None]


def choose_named(fleet: _Fleet, entry: _Host, key: str, taken_from: _Host) -> _Host:
    """Return the owner that the key's prefix names, whatever anybody believes."""
    return taken_from


def choose_hashed(
    fleet: _Fleet, entry: _Host, key: str, taken_from: _Host
) -> _Host | None:
    """Return the owner by rendezvous hash over the hosts that the entry believes in."""
    number = max(
        entry.view,
        key=lambda n: hashlib.blake2b(f"{key}|{n}".encode(), digest_size=8).digest(),
    )
    return fleet.hosts[number]


SCHEMES: dict[str, Scheme] = {"named": choose_named, "hashed": choose_hashed}


def kill_one(fleet: _Fleet) -> None:
    """Kill a host; all believe at once that it is gone."""
    fleet.hosts[0].is_alive = False
    for host in fleet.hosts:
        host.view -= {0}


def kill_one_unnoticed(fleet: _Fleet) -> None:
    """Kill a host; half of the others have not noticed."""
    fleet.hosts[0].is_alive = False
    for host in fleet.hosts[: HOSTS // 2]:
        host.view -= {0}


def cut_domains(fleet: _Fleet) -> None:
    """Cut the domains from each other; views stay as they were."""
    fleet.is_cut = True


def cut_domains_noticed(fleet: _Fleet) -> None:
    """Cut the domains; each believes that the others are gone, and serves on."""
    fleet.is_cut = True
    for host in fleet.hosts:
        host.view = frozenset(h.number for h in fleet.hosts if h.domain == host.domain)


def pause_one(fleet: _Fleet) -> None:
    """Take a paused host for dead everywhere but in its own view; it wakes again."""
    for host in fleet.hosts[1:]:
        host.view -= {0}


def add_one_unnoticed(fleet: _Fleet) -> None:
    """Let a new host be in the views of half of the hosts."""
    new = _Host(HOSTS, 0, frozenset(range(HOSTS + 1)))
    fleet.hosts.append(new)
    for host in fleet.hosts[: HOSTS // 2]:
        host.view |= {HOSTS}


FAULTS: dict[str, Callable[[_Fleet], None]] = {
    "none": lambda fleet: None,
    "host killed, noticed": kill_one,
    "host killed, half noticed": kill_one_unnoticed,
    "host paused, wakes": pause_one,
    "host added, half noticed": add_one_unnoticed,
    "domains cut, unnoticed": cut_domains,
    "domains cut, noticed": cut_domains_noticed,
}


def run_fault(scheme_name: str, fault: str, seed: int) -> Result:
    """Make calls, bring the fault about, repeat all of them and make as many new."""
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
        # A caller takes its prefix from the host that it talks to.
        entry = fleet.random.choice(fleet.get_alive())
        reply = _send(fleet, scheme, f"new-{number}", entry, entry)
        if reply.code is ResultCode.OK:
            result.answered += 1
        else:
            result.new_refused += 1
    result.doubled = sum(1 for runs in fleet.runs.values() if runs > 1)
    return result


def _send(
    fleet: _Fleet, scheme: Scheme, key: str, taken_from: _Host, entry: _Host
) -> Reply:
    owner = scheme(fleet, entry, key, taken_from)
    if owner is None or not fleet.can_reach(entry, owner):
        return UNKNOWN
    return fleet.run_at(owner, key, 0.0, 1.0)


def main() -> None:
    """Print one line a fault and scheme, in shares of the calls."""
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
                result.doubled,
            )
            cells = " | ".join(f"{share / CALLS:.1%}" for share in shares)
            print(f"| {fault} | {scheme} | {cells} |")


if __name__ == "__main__":
    main()
