"""Randomised runs on a simulated network: the load that all hosts put on targets."""

from .crashes import CrashPlan, CrashRun, run_crash_seed
from .host import GossipFleet, GossipHost
from .limits import LimitPlan, LimitRun, run_limit_seed
from .rests import RestPlan, RestRun, run_rest_seed

__all__ = [
    "CrashPlan",
    "CrashRun",
    "GossipFleet",
    "GossipHost",
    "LimitPlan",
    "LimitRun",
    "run_crash_seed",
    "RestPlan",
    "RestRun",
    "run_limit_seed",
    "run_rest_seed",
]
