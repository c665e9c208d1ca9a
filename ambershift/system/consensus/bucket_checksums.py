"""Checksums of many entries in buckets, kept up to date entry by entry: equal copies cost few bytes."""

from __future__ import annotations

import struct
from hashlib import blake2b

BUCKETS = 64
_PACK = struct.Struct(f">{BUCKETS}Q")


class Buckets:
    """The sum (exclusive or) of its entries' hashes, a bucket by the name's hash."""

    def __init__(self) -> None:
        self._sums = [0] * BUCKETS
        self._entries: list[dict[str, int]] = [{} for _ in range(BUCKETS)]
        self.total = 0

    @staticmethod
    def bucket(name: str) -> int:
        return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS

    def put(self, name: str, state: bytes) -> None:
        """The entry's state is now this."""
        fresh = int.from_bytes(blake2b(state, digest_size=8, key=name.encode()[-64:]).digest(), "big")
        self._change(name, fresh)

    def drop(self, name: str) -> None:
        self._change(name, None)

    def _change(self, name: str, fresh: int | None) -> None:
        bucket = self.bucket(name)
        entries = self._entries[bucket]
        change = entries.get(name, 0) ^ (fresh or 0)
        self._sums[bucket] ^= change
        self.total ^= change
        if fresh is None:
            entries.pop(name, None)
        else:
            entries[name] = fresh

    def short(self) -> bytes:
        return self.total.to_bytes(8, "big")

    def long(self) -> bytes:
        return _PACK.pack(*self._sums)

    def unequal(self, told: bytes) -> list[str] | None:
        """Names in buckets whose sum differs from those told; None if only the sum over all was told and
        differs."""
        if len(told) == 8:
            return [] if told == self.short() else None
        if len(told) != _PACK.size:
            return []
        return [
            name
            for bucket, theirs in enumerate(_PACK.unpack(told))
            if theirs != self._sums[bucket]
            for name in self._entries[bucket]
        ]
