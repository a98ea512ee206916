"""Randomised tests of groups: hosts contend, all finish, and nothing stays reserved."""

import heapq
from random import Random

import pytest

from tarragonward_core import invariants
from tarragonward_placement import (
    GroupMember,
    GroupReady,
    GroupReservation,
    ReleasePart,
    ReservationGranted,
    ReservationRefused,
    ReservePart,
    RetryGroup,
)
from tarragonward_placement.groups import plan_group

ENGINES = {name: 400_000 for name in "abcde"}
NEED = 1_000_000


class Contest:
    """Hosts that each want groups; messages take a random time and may be lost."""

    def __init__(self, seed, hosts, groups, loss):
        self.random = Random(seed)
        self.loss = loss
        self.held = {name: {} for name in ENGINES}
        self.left = {host: groups for host in range(hosts)}
        self.events, self.sequence, self.now, self.ended = [], 0, 0.0, 0
        self.most_ready = 0
        self.ready = set()
        for host in self.left:
            self.at(self.random.random() / 100, self.start, host, 0)

    def at(self, delay, call, *arguments):
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay, self.sequence, call, arguments))

    def run(self, limit):
        while self.events and self.now < limit:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)

    def free(self, engine):
        return ENGINES[engine] - sum(self.held[engine].values())

    def start(self, host, attempts):
        stale = [
            (name, self.random.choice((size, 300_000)))
            for name, size in ENGINES.items()
        ]
        members = plan_group(stale, NEED)
        if members is None:
            self.at(0.1, self.start, host, attempts)
            return
        self.sequence += 1
        group = GroupReservation(members, attempts)
        self.apply(host, f"{host}/{self.sequence}", group, attempts, group.start())

    def apply(self, host, name, group, attempts, effects):
        for effect in effects:
            delay = 0.001 + self.random.random() / 100
            match effect:
                case ReservePart(member):
                    self.at(delay, self.reserve, host, name, group, attempts, member)
                case ReleasePart(engine):
                    self.at(delay, self.held[engine].pop, name, None)
                case GroupReady():
                    self.ready.add(name)
                    self.at(2.0, self.finish, host, name, group)
                case RetryGroup(max_delay):
                    wait = max_delay * self.random.random()
                    self.at(0.05 + wait, self.start, host, attempts + 1)

    def reserve(self, host, name, group, attempts, member):
        granted = member.tokens <= self.free(member.engine)
        if granted:
            self.held[member.engine][name] = member.tokens
        is_lost = self.random.random() < self.loss
        kind = ReservationGranted if granted and not is_lost else ReservationRefused
        self.apply(host, name, group, attempts, group.handle(kind(member.engine)))

    def finish(self, host, name, group):
        assert sum(name in held for held in self.held.values()) >= 3
        self.ended += 1
        for effect in group.release():
            self.held[effect.engine].pop(name, None)
        self.left[host] -= 1
        if self.left[host]:
            self.at(0.0, self.start, host, 0)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(("hosts", "loss"), [(2, 0.0), (4, 0.0), (3, 0.2)])
def test_contending_hosts_all_finish_and_nothing_stays_reserved(seed, hosts, loss):
    """Hosts repeatedly and concurrently want more than half of the engines each.

    If a host waited while holding parts, two could hold half each for ever. Answers are
    lost too: a part that was granted without the host knowing must be released as well.
    """
    invariants.strict = True
    contest = Contest(seed, hosts, groups=3, loss=loss)
    contest.run(limit=600.0)
    invariants.strict = False
    assert contest.ended == hosts * 3
    assert all(not held for held in contest.held.values())


def test_parts_are_requested_in_engine_order_and_a_late_answer_is_ignored():
    members = [GroupMember("b", 2), GroupMember("a", 1)]
    group = GroupReservation(members)
    assert group.start() == [ReservePart(members[1])]
    assert group.handle(ReservationGranted("a")) == [ReservePart(members[0])]
    *released, retry = group.handle(ReservationRefused("b"))
    assert released == [ReleasePart("a"), ReleasePart("b")]
    assert isinstance(retry, RetryGroup)
    assert group.handle(ReservationGranted("b")) == []
    assert group.release() == []
