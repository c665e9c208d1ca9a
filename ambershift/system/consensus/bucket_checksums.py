"""Checksums of many entries in buckets, kept up to date entry by entry: equal copies cost few bytes."""

from __future__ import annotations

import struct
from hashlib import blake2b

BUCKET_COUNT = 64
_CHECKSUMS_STRUCT = struct.Struct(f">{BUCKET_COUNT}Q")


class BucketChecksums:
    """The sum (exclusive or) of its entries' hashes, a bucket by the name's hash."""

    def __init__(self) -> None:
        self._checksums = [0] * BUCKET_COUNT
        self._hashes: list[dict[str, int]] = [{} for _ in range(BUCKET_COUNT)]
        self.total = 0

    @staticmethod
    def bucket_of(name: str) -> int:
        return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT

    def update(self, name: str, state: bytes) -> None:
        """The entry's state is now this."""
        fresh = int.from_bytes(blake2b(state, digest_size=8, key=name.encode()[-64:]).digest(), "big")
        self._replace_hash(name, fresh)

    def remove(self, name: str) -> None:
        self._replace_hash(name, None)

    def _replace_hash(self, name: str, new_hash: int | None) -> None:
        bucket = self.bucket_of(name)
        entries = self._hashes[bucket]
        change = entries.get(name, 0) ^ (new_hash or 0)
        self._checksums[bucket] ^= change
        self.total ^= change
        if new_hash is None:
            entries.pop(name, None)
        else:
            entries[name] = new_hash

    def total_digest(self) -> bytes:
        return self.total.to_bytes(8, "big")

    def bucket_digest(self) -> bytes:
        return _CHECKSUMS_STRUCT.pack(*self._checksums)

    def differing_names(self, remote_digest: bytes) -> list[str] | None:
        """Names in buckets whose sum differs from those told; None if only the sum over all was told and
        differs."""
        if len(remote_digest) == 8:
            return [] if remote_digest == self.total_digest() else None
        if len(remote_digest) != _CHECKSUMS_STRUCT.size:
            return []
        return [
            name
            for bucket, theirs in enumerate(_CHECKSUMS_STRUCT.unpack(remote_digest))
            if theirs != self._checksums[bucket]
            for name in self._hashes[bucket]
        ]
