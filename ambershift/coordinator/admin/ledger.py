"""Ledger: what happened to the operator's wishes, in order, and the answers to commands that may come
again.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple

RECORDS_MOST, TOKENS_MOST = 1_000, 4_096


class Record(NamedTuple):
    """`number` counts from 1 without gaps, so that a reader sees what it has missed."""

    number: int
    at: int
    kind: str
    who: str
    text: str


class Reused(Exception):  # noqa: N818 - an answer to a client rather than a failure of ours
    """A token came again with another command."""


class Ledger:
    def __init__(self) -> None:
        self.records = deque[Record](maxlen=RECORDS_MOST)
        self.count = 0
        self.errors = deque[Record](maxlen=RECORDS_MOST)
        self.answers = OrderedDict[str, tuple[str, str]]()

    def note(self, now: int, kind: str, who: str, text: str, error: bool = False) -> Record:
        self.count += 1
        record = Record(self.count, now, kind, who, text)
        self.records.append(record)
        if error:
            self.errors.append(record)
        return record

    def answered(self, token: str, command: str) -> str | None:
        """The answer that this command got under this token, if it came before."""
        if token not in self.answers:
            return None
        known, answer = self.answers[token]
        if known != command:
            raise Reused(token)
        return answer

    def keep(self, token: str, command: str, answer: str) -> None:
        self.answers[token] = command, answer
        if len(self.answers) > TOKENS_MOST:
            self.answers.popitem(last=False)
