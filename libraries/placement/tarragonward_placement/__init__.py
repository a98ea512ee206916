"""Decisions, without I/O, about where prompts run and which are admitted."""

from .affinity import CacheUpdate, PrefixIndex, hash_blocks
from .cells import Cell, Located, choose_cell, divide_hosts
from .const import (
    BLOCK_TOKENS,
    DEFAULT_PREFILL_TOKENS_PER_SECOND,
    FIRST_LONG_PRIORITY,
)
from .fleet import EngineUsage, FleetUsageTracker, InFlightPrompt
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
from .loads import EngineLoad, choose_loads, count_parallel_loads
from .messages import (
    EngineView,
    FleetView,
    Placed,
    PlacementPolicy,
    PlacementRequest,
    Refused,
)
from .placement import Placement
from .places import PromptNeed
from .reach import (
    DomainEjected,
    DomainRestored,
    Evidence,
    TargetEjected,
    TargetHealthTracker,
    TargetRestored,
)
from .readings import PrefillPlan, plan_prefill
from .relocation import gains_by_moving, predict_wait
from .target_limits import HostView, LimitEntry, TargetLimits, compute_part
from .widening import widen_plan

__all__ = [
    "HostView",
    "LimitEntry",
    "TargetLimits",
    "compute_part",
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
    "EngineLoad",
    "EngineView",
    "EngineUsage",
    "FIRST_LONG_PRIORITY",
    "FleetUsageTracker",
    "FleetView",
    "GroupEffect",
    "GroupMember",
    "GroupReady",
    "GroupReservation",
    "Located",
    "Placed",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "PrefixIndex",
    "PromptNeed",
    "InFlightPrompt",
    "PrefillPlan",
    "Refused",
    "ReleasePart",
    "ReservationGranted",
    "ReservationRefused",
    "ReservePart",
    "RetryGroup",
    "TargetHealthTracker",
    "choose_cell",
    "divide_hosts",
    "choose_loads",
    "count_parallel_loads",
    "hash_blocks",
    "gains_by_moving",
    "plan_prefill",
    "predict_wait",
    "share_by_weight",
    "widen_plan",
]
