"""Randomised runs on a simulated network: the load that all hosts put on targets."""

from .cooldowns import CooldownPlan, CooldownRun, run_cooldown_seed
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
    "CooldownPlan",
    "CooldownRun",
    "run_limit_seed",
    "run_cooldown_seed",
]
