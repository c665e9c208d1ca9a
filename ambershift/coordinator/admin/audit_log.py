"""Ledger: what happened to the operator's wishes, in order, and the answers to commands that may come
again.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple

MAX_RECORDS, MAX_TOKENS = 1_000, 4_096


class AuditRecord(NamedTuple):
    """`number` counts from 1 without gaps, so that a reader sees what it has missed."""

    number: int
    at: int
    kind: str
    who: str
    text: str


class TokenReused(Exception):  # noqa: N818 - an answer to a client rather than a failure of ours
    """A token came again with another command."""


class AuditLog:
    def __init__(self) -> None:
        self.records = deque[AuditRecord](maxlen=MAX_RECORDS)
        self.count = 0
        self.errors = deque[AuditRecord](maxlen=MAX_RECORDS)
        self.answers = OrderedDict[str, tuple[str, str]]()

    def note(self, now: int, kind: str, who: str, text: str, error: bool = False) -> AuditRecord:
        self.count += 1
        record = AuditRecord(self.count, now, kind, who, text)
        self.records.append(record)
        if error:
            self.errors.append(record)
        return record

    def earlier_answer(self, token: str, command: str) -> str | None:
        """The answer that this command got under this token, if it came before."""
        if token not in self.answers:
            return None
        known, answer = self.answers[token]
        if known != command:
            raise TokenReused(token)
        return answer

    def remember_answer(self, token: str, command: str, answer: str) -> None:
        self.answers[token] = command, answer
        if len(self.answers) > MAX_TOKENS:
            self.answers.popitem(last=False)
