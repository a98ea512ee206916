"""Randomised runs of what all hosts together do to targets, on a fake network."""

from .crashes import CrashPlan, CrashRun, run_crash_seed
from .host import HarmFleet, HarmHost
from .limits import LimitPlan, LimitRun, run_limit_seed

__all__ = [
    "CrashPlan",
    "CrashRun",
    "HarmFleet",
    "HarmHost",
    "LimitPlan",
    "LimitRun",
    "run_crash_seed",
    "run_limit_seed",
]
