"""Answers to completed commands, by the idempotency tokens of their clients."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

StoredAnswer = tuple[str, bytes, bytes]  # Token, digest of its command, answer.


class TokenTable:
    """Part of the replicated state: it follows from the log alone. Bounded; the oldest token goes first."""

    __slots__ = ("answers", "capacity")

    def __init__(self, capacity: int, answers: Iterable[StoredAnswer] = ()) -> None:
        self.capacity = capacity
        self.answers = OrderedDict[str, tuple[bytes, bytes]]()
        for token, digest, answer in answers:
            self.answers[token] = digest, answer

    def get(self, token: str) -> tuple[bytes, bytes] | None:
        """Digest of the command that came with the token, and its answer; None where it is not known."""
        return self.answers.get(token)

    def keep(self, token: str, digest: bytes, answer: bytes) -> None:
        """Store the answer to a token that is not known yet."""
        assert token not in self.answers, token
        self.answers[token] = digest, answer
        if len(self.answers) > self.capacity:
            self.answers.popitem(last=False)

    def all(self) -> tuple[StoredAnswer, ...]:
        """All answers, the oldest first."""
        return tuple((token, digest, answer) for token, (digest, answer) in self.answers.items())
