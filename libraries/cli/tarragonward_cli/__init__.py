"""The command-line tool for operators and callers."""

from .main import build_application, run

__all__ = ["build_application", "run"]
