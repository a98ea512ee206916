"""Generate deterministic answer text in which each token depends on the context."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

__all__ = ["AnswerText", "ExpectedAnswer", "expect_answer"]

STOP_BYTE = 0


class AnswerText:
    """Generates tokens, each a hash of the prompt and all tokens before it.

    An answer resumed from the prompt and the text generated so far is therefore equal
    to an uninterrupted one, and a token that is lost, duplicated or taken from another
    answer changes all text after it.
    """

    def __init__(self, context: str) -> None:
        self.context = context
        self._hash = hashlib.sha256(context.encode("utf-8", "surrogatepass"))

    def is_finished(self) -> bool:
        """Return whether the answer ends here with a stop token."""
        return self._hash.digest()[-1] == STOP_BYTE

    def next_token(self) -> str:
        """Generate the next token and append it to the context."""
        token = " " + self._hash.hexdigest()[:3]
        self._hash.update(token.encode())
        return token


@dataclass(frozen=True)
class ExpectedAnswer:
    """The complete answer that a prompt must produce."""

    text: str
    tokens: int
    finish_reason: str


def expect_answer(prompt: str, max_tokens: int) -> ExpectedAnswer:
    """Return the complete answer to a prompt."""
    answer = AnswerText(prompt)
    parts: list[str] = []
    while len(parts) < max_tokens:
        if answer.is_finished():
            return ExpectedAnswer("".join(parts), len(parts), "stop")
        parts.append(answer.next_token())
    return ExpectedAnswer("".join(parts), len(parts), "length")
