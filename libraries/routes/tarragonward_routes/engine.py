"""Define the published performance model of an engine."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EngineModel"]


@dataclass(frozen=True)
class EngineModel:
    """The timing of an engine's passes; times in seconds, sizes in tokens.

    A pass has one step, or stride_steps while any request is decoding. A step takes
    step_seconds, plus seconds_per_decoding_request for each decoding request, plus
    seconds_per_context_token for each token of their contexts. It also prefills up to
    chunk_tokens of waiting prompts at prefill_tokens_per_second, plus
    seconds_per_token_pair for each pair of a prompt token and an earlier one.
    """

    slots: int
    memory_tokens: int
    stride_steps: int
    chunk_tokens: int
    step_seconds: float
    seconds_per_decoding_request: float
    seconds_per_context_token: float
    prefill_tokens_per_second: float
    seconds_per_token_pair: float
    hop_seconds: float = 0.0
    report_lag_seconds: float = 0.0
    usual_prompt_tokens: int = 0
    usual_answer_tokens: int = 0

    def compute_prefill_seconds(self, tokens: int, parts: int = 1) -> float:
        """Return the prefill time of a prompt that is split over engines in parts."""
        pairs = tokens * tokens / 2
        return (
            tokens / self.prefill_tokens_per_second
            + pairs * self.seconds_per_token_pair
        ) / parts

    def estimate_occupancy(self, prompt_tokens: int, output_tokens: int) -> float:
        """Return for how long a prompt occupies a place of an engine, half full."""
        passes = output_tokens / max(self.stride_steps, 1)
        decode_seconds = self.compute_decode_seconds(self.slots // 2, 0)
        return self.compute_prefill_seconds(prompt_tokens) + passes * decode_seconds

    def compute_decode_seconds(
        self, decoding_requests: int, context_tokens: int
    ) -> float:
        """Return the time of a pass that decodes requests, without prefill."""
        step = (
            self.step_seconds
            + decoding_requests * self.seconds_per_decoding_request
            + context_tokens * self.seconds_per_context_token
        )
        return step * (self.stride_steps if decoding_requests else 1)
