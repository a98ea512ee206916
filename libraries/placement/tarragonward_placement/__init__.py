"""Decide, without I/O, where prompts run and which are admitted."""

from .affinity import CacheUpdate, PrefixIndex, hash_blocks
from .cells import Cell, LocatedMember, choose_cell, partition_hosts
from .cold_targets import ColdBound, ColdTargets
from .concurrency import ConcurrencyLimits
from .const import (
    BLOCK_TOKENS,
    DEFAULT_PREFILL_TOKENS_PER_SECOND,
    FIRST_LONG_PRIORITY,
)
from .fleet import (
    EngineUsage,
    FleetUsageTracker,
    InFlightPrompt,
    parse_digest,
    parse_summary,
)
from .groups import (
    GroupEffect,
    GroupMember,
    GroupReady,
    GroupReservation,
    ReleasePart,
    ReservationGranted,
    ReservationRefused,
    ReservePart,
    RetryGroup,
)
from .limits import AccountLimits, share_by_weight
from .loads import PendingModelLoad, choose_loads, count_parallel_loads
from .messages import (
    EngineView,
    FleetView,
    Placed,
    PlacementPolicy,
    PlacementRequest,
    Refused,
)
from .placement import Placement
from .places import PromptRequirements
from .reach import (
    DomainEjected,
    DomainRestored,
    Evidence,
    TargetEjected,
    TargetHealthTracker,
    TargetRestored,
)
from .readings import PrefillPlan, plan_prefill
from .relays import RelayDirectory
from .relocation import predict_event_wait, should_migrate
from .reservation_use import ReservationTracker, ReservationUse
from .target_cooldowns import TargetCooldowns
from .target_limits import HostView, LimitEntry, TargetLimits, compute_host_share
from .wait_order import Waiting, WaitOrder
from .widening import widen_plan

__all__ = [
    "parse_digest",
    "parse_summary",
    "ColdBound",
    "ColdTargets",
    "ConcurrencyLimits",
    "RelayDirectory",
    "HostView",
    "LimitEntry",
    "TargetLimits",
    "TargetCooldowns",
    "compute_host_share",
    "TargetRestored",
    "TargetEjected",
    "Evidence",
    "DomainRestored",
    "DomainEjected",
    "AccountLimits",
    "BLOCK_TOKENS",
    "CacheUpdate",
    "Cell",
    "DEFAULT_PREFILL_TOKENS_PER_SECOND",
    "PendingModelLoad",
    "EngineView",
    "EngineUsage",
    "FIRST_LONG_PRIORITY",
    "FleetUsageTracker",
    "FleetView",
    "GroupEffect",
    "GroupMember",
    "GroupReady",
    "GroupReservation",
    "LocatedMember",
    "Placed",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "PrefixIndex",
    "PromptRequirements",
    "InFlightPrompt",
    "PrefillPlan",
    "Refused",
    "ReleasePart",
    "ReservationGranted",
    "ReservationRefused",
    "ReservePart",
    "ReservationTracker",
    "ReservationUse",
    "RetryGroup",
    "TargetHealthTracker",
    "WaitOrder",
    "Waiting",
    "choose_cell",
    "partition_hosts",
    "choose_loads",
    "count_parallel_loads",
    "hash_blocks",
    "should_migrate",
    "plan_prefill",
    "predict_event_wait",
    "share_by_weight",
    "widen_plan",
]
