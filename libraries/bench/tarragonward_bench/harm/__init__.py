"""Randomised runs of what all hosts together do to targets, on a fake network."""

from .crashes import CrashPlan, CrashRun, run_crash_seed
from .host import HarmFleet, HarmHost

__all__ = ["CrashPlan", "CrashRun", "HarmFleet", "HarmHost", "run_crash_seed"]
