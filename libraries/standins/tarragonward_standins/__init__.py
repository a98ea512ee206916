"""Small stand-ins of what the system meets; the daemon never imports them."""

from .answers import AnswerText, ExpectedAnswer, expect_answer
from .engine import EngineStandIn
from .engine_model import EngineModel, EngineSizes, EngineWork, StepResult
from .fault_proxy import FaultProxy, Faults
from .platform import PlatformStandIn
from .service import ServiceStandIn

__all__ = [
    "AnswerText",
    "EngineModel",
    "EngineSizes",
    "EngineStandIn",
    "EngineWork",
    "ExpectedAnswer",
    "FaultProxy",
    "Faults",
    "PlatformStandIn",
    "ServiceStandIn",
    "StepResult",
    "expect_answer",
]
