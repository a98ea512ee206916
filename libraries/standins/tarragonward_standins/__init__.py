"""Test doubles for engines, services, clients and the platform.

Used by tests and benchmarks only; the daemon never imports this package.
"""

from .answers import AnswerText, ExpectedAnswer, expect_answer
from .engine import EngineStandIn
from .engine_model import EngineModel, EngineSizes, EngineWork, StepResult
from .fault_proxy import FaultProxy, Faults
from .platform import PlatformStandIn
from .scripted import (
    CHUNKED,
    RawAnswer,
    RawCaller,
    RawRequest,
    Script,
    ScriptedTarget,
    answer_with,
    async_lose_answer,
    async_reset,
    build_answer,
    build_chunk,
    build_event,
    refuse_with,
    stream_events,
)
from .service import ServiceStandIn

__all__ = [
    "CHUNKED",
    "AnswerText",
    "EngineModel",
    "EngineSizes",
    "EngineStandIn",
    "EngineWork",
    "ExpectedAnswer",
    "FaultProxy",
    "Faults",
    "PlatformStandIn",
    "RawAnswer",
    "RawCaller",
    "RawRequest",
    "Script",
    "ScriptedTarget",
    "ServiceStandIn",
    "StepResult",
    "answer_with",
    "async_lose_answer",
    "async_reset",
    "build_answer",
    "build_chunk",
    "build_event",
    "expect_answer",
    "refuse_with",
    "stream_events",
]
