"""Whether this host may send a request to a target now."""

from .cold_task import ColdTargetTask
from .send_limits import SendLimits

__all__ = ["ColdTargetTask", "SendLimits"]
