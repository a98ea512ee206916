"""Hold the numbers of placement and admission."""

from __future__ import annotations

DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000.0
DEFAULT_RETRY_AFTER_SECONDS = 1.0
