"""Make text that depends on all text before it, as a language model's does."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

__all__ = ["AnswerText", "ExpectedAnswer", "expect_answer"]

STOP_BYTE = 0


class AnswerText:
    """The next token of a context: a function of the whole text so far.

    So an answer that goes on from prompt plus given text is the same as one that was
    never broken off, and a token lost, doubled or taken from another answer shows.
    """

    def __init__(self, context: str) -> None:
        self.context = context
        self._hash = hashlib.sha256(context.encode("utf-8", "surrogatepass"))

    def is_at_stop(self) -> bool:
        """Return whether the answer ends here by itself."""
        return self._hash.digest()[-1] == STOP_BYTE

    def next_token(self) -> str:
        """Return the next token and take it into the context."""
        token = " " + self._hash.hexdigest()[:3]
        self._hash.update(token.encode())
        return token


@dataclass(frozen=True)
class ExpectedAnswer:
    """What a whole answer must be."""

    text: str
    tokens: int
    finish_reason: str


def expect_answer(prompt: str, max_tokens: int) -> ExpectedAnswer:
    """Return the whole answer to a prompt."""
    answer = AnswerText(prompt)
    parts: list[str] = []
    while len(parts) < max_tokens:
        if answer.is_at_stop():
            return ExpectedAnswer("".join(parts), len(parts), "stop")
        parts.append(answer.next_token())
    return ExpectedAnswer("".join(parts), len(parts), "length")
