"""The daemon of one entry host: its tasks and its routes."""

from .app import Daemon
from .main import run

__all__ = ["Daemon", "run"]
