"""Decisions, without I/O, about which hosts are there and what they tell each other."""

from .demands import REST_ACCOUNT
from .hellos import Hello, PeerEntry
from .loads import LoadReport
from .membership import Membership
from .messages import (
    AskHelper,
    Effect,
    Event,
    Gossip,
    GossipArrived,
    HelperAnswered,
    IndirectAck,
    IndirectProbe,
    ListedHost,
    ListRead,
    Member,
    MemberChanged,
    MemberRecord,
    MemberState,
    PeerIsAhead,
    ProbeAnswered,
    ProbeFailed,
    RecordState,
    SendAnswer,
    SendProbe,
    Tick,
)
from .probing import get_round_seconds
from .registry import (
    RegisteredTarget,
    TargetRegistry,
    Withdrawn,
    build_boot_id,
)
from .scales import hash_name
from .seeds import (
    Greet,
    HelloHeard,
    PeerFound,
    PeerLost,
    RoundDue,
    SeedEffect,
    SeedMembership,
    SeedPeer,
)
from .targets import ListedTarget, TargetList
from .watchers import choose_hosts

__all__ = [
    "hash_name",
    "REST_ACCOUNT",
    "AskHelper",
    "Effect",
    "Event",
    "Gossip",
    "GossipArrived",
    "Greet",
    "Hello",
    "HelloHeard",
    "HelperAnswered",
    "IndirectAck",
    "IndirectProbe",
    "ListRead",
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
    "PeerIsAhead",
    "PeerLost",
    "ProbeAnswered",
    "ProbeFailed",
    "RecordState",
    "RegisteredTarget",
    "RoundDue",
    "SeedEffect",
    "SeedMembership",
    "SeedPeer",
    "SendAnswer",
    "SendProbe",
    "TargetList",
    "TargetRegistry",
    "Tick",
    "Withdrawn",
    "build_boot_id",
    "choose_hosts",
    "get_round_seconds",
]
