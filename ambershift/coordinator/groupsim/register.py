"""The machine that the simulated log is applied to: registers by key, and each token's effects counted."""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

import msgspec

from ambershift.coordinator.replication.types import Entry


class Registers(NamedTuple):
    """`effects` are the tokens in the order of their effects; `twice` is one that came again."""

    values: tuple[tuple[str, str], ...]
    effects: tuple[str, ...]
    twice: str

    def value(self, key: str) -> str | None:
        return next((value for name, value in self.values if name == key), None)


class RegisterMachine:
    """Commands are "key=value"; the answer to one is the place of its effect among all, so that an answer
    given twice is known to be the same.
    """

    def initial(self) -> Registers:
        return Registers((), (), "")

    def validate(self, state: Registers, at: int, command: bytes) -> bytes | None:
        return None if b"=" in command else b"not a command"

    def digest(self, command: bytes) -> bytes:
        return blake2b(command, digest_size=8).digest()

    def apply(self, state: Registers, entry: Entry) -> tuple[Registers, bytes]:
        key, sign, value = entry.command.decode().partition("=")
        if not sign:
            return state, b""  # What a leader writes by itself.
        values = dict(state.values)
        values[key] = value
        twice = state.twice or (entry.token if entry.token in state.effects else "")
        effects = (*state.effects, entry.token)
        return Registers(tuple(sorted(values.items())), effects, twice), str(len(effects)).encode()

    def pack(self, state: Registers) -> bytes:
        return msgspec.msgpack.encode(state)

    def unpack(self, data: bytes) -> Registers:
        return msgspec.msgpack.decode(data, type=Registers)
