"""Hold the published constants of a model engine's passes."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EngineModel"]


@dataclass(frozen=True)
class EngineModel:
    """How an engine works through its requests; times in seconds, sizes in tokens.

    A pass makes one step, or stride_steps where a request is writing. A step takes
    step_seconds, for each writer writer_seconds and context_seconds for each token of
    its context, and reads up to chunk_tokens of waiting prompts at
    read_tokens_per_second, with pair_seconds for each pair of a token and an earlier
    one.
    """

    slots: int
    memory_tokens: int
    stride_steps: int
    chunk_tokens: int
    step_seconds: float
    writer_seconds: float
    context_seconds: float
    read_tokens_per_second: float
    pair_seconds: float
    hop_seconds: float = 0.0
    report_lag_seconds: float = 0.0
    usual_prompt_tokens: int = 0
    usual_answer_tokens: int = 0

    def compute_read_seconds(self, tokens: int, parts: int = 1) -> float:
        """Return the time that one of so many engines reads its part of a prompt."""
        pairs = tokens * tokens / 2
        return (
            tokens / self.read_tokens_per_second + pairs * self.pair_seconds
        ) / parts

    def compute_write_seconds(self, writers: int, context_tokens: int) -> float:
        """Return the time of a pass's steps with so many writers, reading apart."""
        step = (
            self.step_seconds
            + writers * self.writer_seconds
            + context_tokens * self.context_seconds
        )
        return step * (self.stride_steps if writers else 1)
