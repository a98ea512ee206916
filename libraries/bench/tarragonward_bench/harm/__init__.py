"""Randomised runs on a simulated network: the load that all hosts put on targets."""

from .crashes import CrashPlan, CrashRun, run_crash_seed
from .host import GossipFleet, GossipHost
from .limits import LimitPlan, LimitRun, run_limit_seed

__all__ = [
    "CrashPlan",
    "CrashRun",
    "GossipFleet",
    "GossipHost",
    "LimitPlan",
    "LimitRun",
    "run_crash_seed",
    "run_limit_seed",
]
