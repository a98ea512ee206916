"""Decide, without I/O, which hosts and targets are up and what hosts gossip."""

from .demands import OTHER_ACCOUNTS
from .encoding import hash_name
from .evacuations import Evacuation, EvacuationBegun, EvacuationEnded, Evacuations
from .hellos import Hello, PeerEntry
from .loads import LoadReport
from .membership import Membership
from .messages import (
    Effect,
    Event,
    Gossip,
    GossipReceived,
    HostListRead,
    IndirectAck,
    IndirectProbe,
    IndirectProbeAnswered,
    ListedHost,
    Member,
    MemberChanged,
    MemberRecord,
    MemberState,
    PeerHasNewerConfiguration,
    ProbeAnswered,
    ProbeFailed,
    RecordState,
    RequestIndirectProbe,
    SendAnswer,
    SendProbe,
    Tick,
)
from .probing import get_round_seconds
from .registry import (
    RegisteredTarget,
    TargetRegistry,
    WithdrawnTarget,
    build_boot_id,
)
from .seed_events import (
    HelloReceived,
    KnownPeer,
    PeerFound,
    PeerLost,
    RoundDue,
    SeedEffect,
    SendHello,
)
from .seeds import SeedMembership
from .targets import ListedTarget, TargetList
from .watchers import choose_hosts

__all__ = [
    "OTHER_ACCOUNTS",
    "Effect",
    "Evacuation",
    "EvacuationBegun",
    "EvacuationEnded",
    "Evacuations",
    "Event",
    "Gossip",
    "GossipReceived",
    "Hello",
    "HelloReceived",
    "HostListRead",
    "IndirectAck",
    "IndirectProbe",
    "IndirectProbeAnswered",
    "KnownPeer",
    "ListedHost",
    "ListedTarget",
    "LoadReport",
    "Member",
    "MemberChanged",
    "MemberRecord",
    "MemberState",
    "Membership",
    "PeerEntry",
    "PeerFound",
    "PeerHasNewerConfiguration",
    "PeerLost",
    "ProbeAnswered",
    "ProbeFailed",
    "RecordState",
    "RegisteredTarget",
    "RequestIndirectProbe",
    "RoundDue",
    "SeedEffect",
    "SeedMembership",
    "SendAnswer",
    "SendHello",
    "SendProbe",
    "TargetList",
    "TargetRegistry",
    "Tick",
    "WithdrawnTarget",
    "build_boot_id",
    "choose_hosts",
    "get_round_seconds",
    "hash_name",
]
