"""Decide which boots of targets may get work, from records that may be delayed."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Any

from tarragonward_core import Address

__all__ = ["RegisteredTarget", "TargetRegistry", "WithdrawnTarget", "build_boot_id"]

# Withdrawn names to remember, so that a delayed record does not restore a target.
MAX_WITHDRAWN_NAMES = 4_096
# Boots to remember that were superseded by a later boot of the same name.
MAX_SUPERSEDED_BOOTS = 4_096
# Boots to remember that stated themselves that they are leaving.
MAX_LEAVING_BOOTS = 4_096
# Four base-36 digits tell the boots of a name apart in the messages of all hosts. Boots
# whose start times differ by a multiple of 28 minutes share a tag, but by then all that
# hosts knew of the earlier one has expired, which takes at most 30 s.
BOOT_TAG_VALUES = 36**4


def build_boot_id(name: str, incarnation: int | None) -> str:
    """Return the id of a boot; it is short, as peers send it in each gossip round."""
    if incarnation is None:
        return name
    return f"{name}.{_format_base36(incarnation % BOOT_TAG_VALUES)}"


def _format_base36(number: int) -> str:
    digits = ""
    while number:
        number, digit = divmod(number, 36)
        digits = "0123456789abcdefghijklmnopqrstuvwxyz"[digit] + digits
    return digits or "0"


@dataclass(frozen=True)
class RegisteredTarget:
    """A boot of a target as registered; revision orders the records of a name.

    id identifies the boot. Whatever is known of a target is kept by id, so the state of
    one boot is never taken for that of another. name is shared by all boots of the
    target and defaults to the id. incarnation identifies the boot if the target
    publishes it.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    is_ready: bool
    revision: int
    cold_start_remaining_seconds: float = 0.0
    name: str = ""
    incarnation: int | None = None

    def __post_init__(self) -> None:
        """Default the name to the id."""
        if not self.name:
            object.__setattr__(self, "name", self.id)


@dataclass(frozen=True)
class WithdrawnTarget:
    """The withdrawal of a target, whichever boot of it was registered."""

    name: str
    revision: int


class TargetRegistry:
    """The newest record of each target; older records are ignored.

    Records from the store and from peers may be applied in any order, as revisions
    order them. Revisions don't order the boots of a target: a record written by an
    earlier boot may reach the store after that of its successor, and start times can't
    be compared, as the clock of a target may be wrong. Either could replace a running
    engine by one that has ended. So a superseded boot is never accepted again.
    """

    def __init__(self) -> None:
        self._targets: dict[str, RegisteredTarget] = {}
        self._withdrawn: OrderedDict[str, int] = OrderedDict()
        # The last boot of each name, also of withdrawn ones, and the superseded boots.
        self._last_boots: OrderedDict[str, int | None] = OrderedDict()
        self._superseded_boots: OrderedDict[tuple[str, int | None], None] = (
            OrderedDict()
        )
        self._leaving_boots: OrderedDict[tuple[str, int | None], None] = OrderedDict()
        self._suspended_boots: set[tuple[str, int | None]] = set()
        self._evacuated_domains: frozenset[str] = frozenset()
        # Caches, cleared by each change and rebuilt on demand.
        self._by_service: dict[str, tuple[RegisteredTarget, ...]] = {}
        self._address_holders: dict[Address, RegisteredTarget] = {}
        self._services: frozenset[str] | None = None
        self.revision = 0

    def __len__(self) -> int:
        return len(self._targets)

    def set_services(self, names: Iterable[str]) -> None:
        """Set the existing services; a record of another service claims no address."""
        self._services = frozenset(names)
        self._clear_caches()

    def set_evacuated(self, domains: Collection[str]) -> None:
        """Set the failure domains whose targets get no work until further notice."""
        self._evacuated_domains = frozenset(domains)
        self._clear_caches()

    def apply(self, record: RegisteredTarget | WithdrawnTarget) -> bool:
        """Apply a record; return whether it changed the known targets.

        A boot that was registered as leaving once stays so, as a boot that leaves ends.
        The store may come back from a copy that is older than the target's report.
        """
        if isinstance(record, RegisteredTarget) and self.lacks_incarnation(record):
            return False
        if isinstance(record, RegisteredTarget) and not record.is_ready:
            self.mark_leaving(record)
        if record.revision <= self._get_revision(record.name):
            return False
        self.revision = max(self.revision, record.revision)
        if isinstance(record, WithdrawnTarget):
            return self._withdraw(record)
        if (record.name, record.incarnation) in self._superseded_boots:
            return False
        self._supersede_earlier_boot(record)
        self._withdrawn.pop(record.name, None)
        self._targets[record.name] = record
        _remember(
            self._last_boots, record.name, record.incarnation, MAX_WITHDRAWN_NAMES
        )
        self._clear_caches()
        return True

    def lacks_incarnation(self, record: RegisteredTarget) -> bool:
        """Return whether a record is no target's own: its boots state an incarnation.

        If it counted as that of a later boot, the running one would be superseded, and
        none of its further records accepted.
        """
        last = self._last_boots.get(record.name)
        return record.incarnation is None and last is not None

    def apply_snapshot(
        self, records: Iterable[RegisteredTarget], revision: int
    ) -> None:
        """Apply all records as of a revision; withdraw the targets that they lack."""
        listed = list(records)
        for record in listed:
            self.apply(record)
        present = {record.name for record in listed}
        for target in list(self._targets.values()):
            if target.name not in present and target.revision <= revision:
                self.apply(WithdrawnTarget(target.name, revision))
        self.revision = max(self.revision, revision)

    def mark_leaving(self, target: RegisteredTarget) -> bool:
        """Stop new work for a boot that said that it leaves; return whether it is new.

        A boot that leaves ends, so this holds for good. Its record may be older and say
        ready for as long as the store does not accept the target's report.
        """
        boot = target.name, target.incarnation
        is_new = boot not in self._leaving_boots
        _remember(self._leaving_boots, boot, None, MAX_LEAVING_BOOTS)
        if is_new:
            self._clear_caches()
        return is_new

    def is_usable(self, target: RegisteredTarget) -> bool:
        """Return whether a boot may get work.

        It is ready by its record, neither leaving nor suspended, and its failure domain
        is not being evacuated.
        """
        boot = target.name, target.incarnation
        is_out = boot in self._leaving_boots or boot in self._suspended_boots
        is_evacuated = target.failure_domain in self._evacuated_domains
        return target.is_ready and not is_out and not is_evacuated

    def is_withdrawn(self, target: RegisteredTarget) -> bool:
        """Return whether the last record of a boot was its withdrawal."""
        last_boot = self._last_boots.get(target.name, target.incarnation)
        return target.name in self._withdrawn and last_boot == target.incarnation

    def suspend(self, target: RegisteredTarget) -> None:
        """Give a boot no work until resume() is called for it."""
        self._suspended_boots.add((target.name, target.incarnation))
        self._clear_caches()

    def resume(self, target: RegisteredTarget) -> None:
        """End the suspension of a boot, if there is one."""
        boot = target.name, target.incarnation
        if boot in self._suspended_boots:
            self._suspended_boots.discard(boot)
            self._clear_caches()

    def is_registered(self, target: RegisteredTarget) -> bool:
        """Return whether a boot is still registered, with the same service."""
        known = self._targets.get(target.name)
        if known is None:
            return False
        boot = known.incarnation, known.service
        return boot == (target.incarnation, target.service)

    def get(self, name: str) -> RegisteredTarget | None:
        """Return the boot registered under a name, or None where there is none."""
        return self._targets.get(name)

    def get_boot(self, boot_id: str) -> RegisteredTarget | None:
        """Return the registered boot with an id, or None if there is none."""
        known = self._targets.get(boot_id)
        if known is not None and known.id == boot_id:
            return known
        boots = self._targets.values()
        return next((each for each in boots if each.id == boot_id), None)

    def is_current_boot(self, target: RegisteredTarget) -> bool:
        """Return whether no later boot of the target has superseded this one."""
        return (target.name, target.incarnation) not in self._superseded_boots

    def get_all(self) -> tuple[RegisteredTarget, ...]:
        """Return all registered boots."""
        return tuple(self._targets.values())

    def get_ready(self, service: str) -> tuple[RegisteredTarget, ...]:
        """Return the boots of a service that may get work, ordered by id."""
        if service not in self._by_service:
            usable = (
                target
                for target in self._targets.values()
                if target.service == service and self.is_usable(target)
            )
            self._by_service[service] = tuple(
                sorted(filter(self._holds_address, usable), key=lambda each: each.id)
            )
        return self._by_service[service]

    def _holds_address(self, target: RegisteredTarget) -> bool:
        # A crashed boot stays registered until its record expires, seconds later, and
        # its address may belong to another boot by then. Being idle, the crashed boot
        # would be chosen first, the new boot would refuse the request as misdirected,
        # and two such refusals use up a request's attempts. An address is reused only
        # after its boot has ended, and an ended boot writes no records, so the newest
        # record at an address is the current one. Records of unknown services are
        # ignored, as any writer may have left them.
        if not self._address_holders:
            for each in self._targets.values():
                if self._services is not None and each.service not in self._services:
                    continue
                holder = self._address_holders.get(each.address)
                if holder is None or each.revision > holder.revision:
                    self._address_holders[each.address] = each
        return self._address_holders.get(target.address, target) is target

    def _supersede_earlier_boot(self, record: RegisteredTarget) -> None:
        known = self._last_boots.get(record.name, record.incarnation)
        if known != record.incarnation:
            _remember(
                self._superseded_boots, (record.name, known), None, MAX_SUPERSEDED_BOOTS
            )

    def _withdraw(self, record: WithdrawnTarget) -> bool:
        _remember(self._withdrawn, record.name, record.revision, MAX_WITHDRAWN_NAMES)
        gone = self._targets.pop(record.name, None)
        self._clear_caches()
        return gone is not None

    def _clear_caches(self) -> None:
        self._by_service.clear()
        self._address_holders.clear()

    def _get_revision(self, name: str) -> int:
        target = self._targets.get(name)
        if target is not None:
            return target.revision
        return self._withdrawn.get(name, 0)


def _remember(known: OrderedDict[Any, Any], key: Any, value: Any, limit: int) -> None:
    """Store an item as the newest, and remove the oldest ones beyond the limit."""
    known[key] = value
    known.move_to_end(key)
    while len(known) > limit:
        known.popitem(last=False)
