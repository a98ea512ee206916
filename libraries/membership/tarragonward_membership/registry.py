"""Decide which boots of targets may get work, from records that may come late."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from tarragonward_core import Address

__all__ = ["RegisteredTarget", "TargetRegistry", "WithdrawnTarget", "build_boot_id"]

# How many withdrawn names are remembered, so that a late record brings none back.
MAX_WITHDRAWN = 4_096
# How many boots that another one of the same name has followed are remembered.
MAX_ENDED = 4_096
# Digits of base 36 that tell the boots of one name apart, where all hosts name them.
# Starts whose times differ by a multiple of 28 minutes get the same ones; by then all
# that was known of the earlier one has aged out, at 30 s at most.
TAG_VALUES = 36**4


def build_boot_id(name: str, incarnation: int | None) -> str:
    """Return the id of one boot of a target; short, as peers tell it in each round."""
    if incarnation is None:
        return name
    return f"{name}.{_write_base36(incarnation % TAG_VALUES)}"


def _write_base36(number: int) -> str:
    digits = ""
    while number:
        number, digit = divmod(number, 36)
        digits = "0123456789abcdefghijklmnopqrstuvwxyz"[digit] + digits
    return digits or "0"


@dataclass(frozen=True)
class RegisteredTarget:
    """One boot of a target as registered; revision orders what is said of it.

    id is the boot's own: what is known of a target is kept by it, so nothing of one
    boot is ever taken for another's. name is what all its boots register under, the
    id where no other is given; incarnation tells them apart where the target tells it.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    is_ready: bool
    revision: int
    cold_seconds: float = 0.0
    name: str = ""
    incarnation: int | None = None

    def __post_init__(self) -> None:
        """Name a target whose boots are not told apart by its id."""
        if not self.name:
            object.__setattr__(self, "name", self.id)


@dataclass(frozen=True)
class WithdrawnTarget:
    """A target that is registered no more, whichever boot of it was."""

    name: str
    revision: int


class TargetRegistry:
    """The newest record of each target; one older than that known changes nothing.

    Records from the store and from peers may be taken in any order: their revisions
    order them. Not so the boots of a target: a record that an earlier boot wrote may
    reach the store after the newer one's, and the times of two starts can't be
    compared, as a target's clock may be wrong. Symptom: the engine that runs is left
    for one that is gone. So a boot that another one has followed is over for good.
    """

    def __init__(self) -> None:
        self._targets: dict[str, RegisteredTarget] = {}
        self._withdrawn: OrderedDict[str, int] = OrderedDict()
        # The last boot of names that were withdrawn, and all that were followed.
        self._last: OrderedDict[str, int | None] = OrderedDict()
        self._ended: OrderedDict[tuple[str, int | None], None] = OrderedDict()
        # Both are built anew after a change, when they are asked for.
        self._by_service: dict[str, tuple[RegisteredTarget, ...]] = {}
        self._holders: dict[Address, RegisteredTarget] = {}
        self._services: frozenset[str] | None = None
        self.revision = 0

    def __len__(self) -> int:
        return len(self._targets)

    def set_services(self, names: Iterable[str]) -> None:
        """Take the services that there are: others' records hold no address."""
        self._services = frozenset(names)
        self._forget_built()

    def apply(self, record: RegisteredTarget | WithdrawnTarget) -> bool:
        """Take a record in; return whether it changed what is known."""
        if record.revision <= self._get_revision(record.name):
            return False
        self.revision = max(self.revision, record.revision)
        if isinstance(record, WithdrawnTarget):
            return self._withdraw(record)
        if (record.name, record.incarnation) in self._ended:
            return False
        self._end_earlier(record)
        self._withdrawn.pop(record.name, None)
        self._targets[record.name] = record
        _remember(self._last, record.name, record.incarnation, MAX_WITHDRAWN)
        self._forget_built()
        return True

    def apply_all(self, records: Iterable[RegisteredTarget], revision: int) -> None:
        """Take in a whole reading at a revision: what it lacks was withdrawn."""
        listed = list(records)
        for record in listed:
            self.apply(record)
        present = {record.name for record in listed}
        for target in list(self._targets.values()):
            if target.name not in present and target.revision <= revision:
                self.apply(WithdrawnTarget(target.name, revision))
        self.revision = max(self.revision, revision)

    def get(self, name: str) -> RegisteredTarget | None:
        """Return the boot registered under a name, or None where there is none."""
        return self._targets.get(name)

    def is_current_boot(self, target: RegisteredTarget) -> bool:
        """Return whether no other boot of the target has followed this one."""
        return (target.name, target.incarnation) not in self._ended

    def get_all(self) -> tuple[RegisteredTarget, ...]:
        """Return all registered boots."""
        return tuple(self._targets.values())

    def get_ready(self, service: str) -> tuple[RegisteredTarget, ...]:
        """Return the boots of a service that may get work, ordered by id."""
        if service not in self._by_service:
            usable = (
                target
                for target in self._targets.values()
                if target.service == service and target.is_ready
            )
            self._by_service[service] = tuple(
                sorted(filter(self._holds_address, usable), key=lambda each: each.id)
            )
        return self._by_service[service]

    def _holds_address(self, target: RegisteredTarget) -> bool:
        # A boot that crashed stays registered until its record lapses, seconds later,
        # and its address may be another boot's by then. Symptom: being idle it is
        # chosen first, the other one refuses as misdirected, and two such refusals use
        # up a request's attempts. An address is given on only after its boot has ended,
        # and a boot that ended writes no more, so the newest record tells who is there.
        # A record of a service that there is not tells of nobody: any writer may have
        # left it.
        if not self._holders:
            for each in self._targets.values():
                if self._services is not None and each.service not in self._services:
                    continue
                holder = self._holders.get(each.address)
                if holder is None or each.revision > holder.revision:
                    self._holders[each.address] = each
        return self._holders.get(target.address, target) is target

    def _end_earlier(self, record: RegisteredTarget) -> None:
        known = self._last.get(record.name, record.incarnation)
        if known != record.incarnation:
            _remember(self._ended, (record.name, known), None, MAX_ENDED)

    def _withdraw(self, record: WithdrawnTarget) -> bool:
        _remember(self._withdrawn, record.name, record.revision, MAX_WITHDRAWN)
        gone = self._targets.pop(record.name, None)
        self._forget_built()
        return gone is not None

    def _forget_built(self) -> None:
        self._by_service.clear()
        self._holders.clear()

    def _get_revision(self, name: str) -> int:
        target = self._targets.get(name)
        if target is not None:
            return target.revision
        return self._withdrawn.get(name, 0)


def _remember(known: OrderedDict[Any, Any], key: Any, value: Any, most: int) -> None:
    """Keep an item as the newest one, and drop the oldest beyond a number."""
    known[key] = value
    known.move_to_end(key)
    while len(known) > most:
        known.popitem(last=False)
