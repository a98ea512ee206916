"""What concerns whole failure domains: their evacuation, and the homes of requests."""

from .evacuation_task import EvacuationTask
from .homes import HomePolicy, combine_homes

__all__ = ["EvacuationTask", "HomePolicy", "combine_homes"]
