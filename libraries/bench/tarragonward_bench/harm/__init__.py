"""Randomised runs on a simulated network: the load that all hosts put on targets."""

from .cold import ColdPlan, ColdRun, run_cold_seed
from .cooldowns import CooldownPlan, CooldownRun, run_cooldown_seed
from .crashes import CrashPlan, CrashRun, run_crash_seed
from .host import GossipFleet, GossipHost
from .limits import LimitPlan, LimitRun, run_limit_seed
from .segments import SegmentPlan, SegmentRun, run_segment_seed

__all__ = [
    "ColdPlan",
    "ColdRun",
    "CooldownPlan",
    "CooldownRun",
    "CrashPlan",
    "CrashRun",
    "GossipFleet",
    "GossipHost",
    "LimitPlan",
    "LimitRun",
    "SegmentPlan",
    "SegmentRun",
    "run_cold_seed",
    "run_cooldown_seed",
    "run_crash_seed",
    "run_limit_seed",
    "run_segment_seed",
]
