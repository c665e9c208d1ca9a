"""The audit log of operators' commands, and the answers to commands that a client may repeat."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple

MAX_RECORDS = 1_000
MAX_TOKENS = 4_096


class AuditRecord(NamedTuple):
    """One event; `number` counts from 1 without gaps, so that a reader notices records that it missed."""

    number: int
    at: int
    kind: str
    who: str
    text: str


class TokenReused(Exception):  # noqa: N818 - an answer to a client rather than a failure of ours
    """A token was sent again with another command."""


class AuditLog:
    """The last records, the last records of errors, and the last answers by the client's token.

    Attributes:
        records: The last records, oldest first.
        count: How many records were ever written.
        errors: The last records of refusals and faults, oldest first.
        answers: By token, the command and its answer.
    """

    def __init__(self) -> None:
        self.records = deque[AuditRecord](maxlen=MAX_RECORDS)
        self.count = 0
        self.errors = deque[AuditRecord](maxlen=MAX_RECORDS)
        self.answers = OrderedDict[str, tuple[str, str]]()

    def note(self, now: int, kind: str, who: str, text: str, error: bool = False) -> AuditRecord:
        """Append a record, also to the errors if it is one."""
        self.count += 1
        record = AuditRecord(self.count, now, kind, who, text)
        self.records.append(record)
        if error:
            self.errors.append(record)
        return record

    def earlier_answer(self, token: str, command: str) -> str | None:
        """Return the answer that this command got under this token, None if the token is new.

        Raises:
            TokenReused: The token came with another command before.
        """
        if token not in self.answers:
            return None
        known, answer = self.answers[token]
        if known != command:
            raise TokenReused(token)
        return answer

    def remember_answer(self, token: str, command: str, answer: str) -> None:
        """Store the answer to a command under its token; the oldest token is dropped beyond the bound."""
        self.answers[token] = command, answer
        if len(self.answers) > MAX_TOKENS:
            self.answers.popitem(last=False)
