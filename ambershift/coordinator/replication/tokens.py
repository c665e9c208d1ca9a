"""Answers to commands that may come again, by their clients' tokens: bounded, the oldest forgotten first."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

Kept = tuple[str, bytes, bytes]


class Tokens:
    """Part of the state that all members share: it follows from the log alone."""

    __slots__ = ("kept", "most")

    def __init__(self, most: int, kept: Iterable[Kept] = ()) -> None:
        self.most = most
        self.kept = OrderedDict[str, tuple[bytes, bytes]]()
        for token, sort, answer in kept:
            self.kept[token] = sort, answer

    def get(self, token: str) -> tuple[bytes, bytes] | None:
        """Digest of the command that came under it, and the answer."""
        return self.kept.get(token)

    def keep(self, token: str, digest: bytes, answer: bytes) -> None:
        assert token not in self.kept, token
        self.kept[token] = digest, answer
        if len(self.kept) > self.most:
            self.kept.popitem(last=False)

    def all(self) -> tuple[Kept, ...]:
        return tuple((token, sort, answer) for token, (sort, answer) in self.kept.items())
