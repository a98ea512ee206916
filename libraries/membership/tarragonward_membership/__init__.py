"""Decisions, without I/O, about which hosts are there and what they tell each other."""

from .demands import OTHER_ACCOUNTS
from .encoding import hash_name
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
from .seeds import (
    HelloReceived,
    KnownPeer,
    PeerFound,
    PeerLost,
    RoundDue,
    SeedEffect,
    SeedMembership,
    SendHello,
)
from .targets import ListedTarget, TargetList
from .watchers import choose_hosts

__all__ = [
    "hash_name",
    "OTHER_ACCOUNTS",
    "RequestIndirectProbe",
    "Effect",
    "Event",
    "Gossip",
    "GossipReceived",
    "SendHello",
    "Hello",
    "HelloReceived",
    "IndirectProbeAnswered",
    "IndirectAck",
    "IndirectProbe",
    "HostListRead",
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
    "RoundDue",
    "SeedEffect",
    "SeedMembership",
    "KnownPeer",
    "SendAnswer",
    "SendProbe",
    "TargetList",
    "TargetRegistry",
    "Tick",
    "WithdrawnTarget",
    "build_boot_id",
    "choose_hosts",
    "get_round_seconds",
]
