"""Decisions, without I/O, about where prompts run and which are admitted."""

from .messages import EngineView, Placed, PlacementRequest, Refused
from .placement import Placement

__all__ = ["EngineView", "Placed", "Placement", "PlacementRequest", "Refused"]
