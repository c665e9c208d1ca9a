"""Checksums of many entries in buckets, updated entry by entry: to compare equal copies costs few bytes."""

from __future__ import annotations

import struct
from hashlib import blake2b

BUCKET_COUNT = 64
TOTAL_DIGEST_BYTES = 8
_CHECKSUMS_STRUCT = struct.Struct(f">{BUCKET_COUNT}Q")


class BucketChecksums:
    """The checksum of each bucket: its entries' hashes, combined by exclusive or.

    An entry's bucket follows from the hash of its name.

    Attributes:
        total: The checksum of all entries.
    """

    def __init__(self) -> None:
        """Start without entries."""
        self._checksums = [0] * BUCKET_COUNT
        self._hashes: list[dict[str, int]] = [{} for _ in range(BUCKET_COUNT)]
        self.total = 0

    @staticmethod
    def bucket_of(name: str) -> int:
        """Return the index of that entry's bucket."""
        return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT

    def update(self, name: str, state: bytes) -> None:
        """Add an entry, or change its state."""
        digest = blake2b(state, digest_size=8, key=name.encode()[-64:]).digest()
        self._replace_hash(name, int.from_bytes(digest, "big"))

    def remove(self, name: str) -> None:
        """Remove an entry, if there is one."""
        self._replace_hash(name, None)

    def _replace_hash(self, name: str, new_hash: int | None) -> None:
        bucket = self.bucket_of(name)
        hashes = self._hashes[bucket]
        change = hashes.get(name, 0) ^ (new_hash or 0)
        self._checksums[bucket] ^= change
        self.total ^= change
        if new_hash is None:
            hashes.pop(name, None)
        else:
            hashes[name] = new_hash

    def total_digest(self) -> bytes:
        """Return the checksum of all entries, in 8 bytes."""
        return self.total.to_bytes(TOTAL_DIGEST_BYTES, "big")

    def bucket_digest(self) -> bytes:
        """Return the checksums of all buckets, in 8 bytes each."""
        return _CHECKSUMS_STRUCT.pack(*self._checksums)

    def differing_names(self, remote_digest: bytes) -> list[str] | None:
        """Return the names of the entries that may differ from another copy's.

        Args:
            remote_digest: The other copy's `total_digest` or `bucket_digest`.

        Returns:
            All names in buckets whose checksums differ, none for a digest of any other form; None if it is a
            total that differs: the checksums of the buckets are needed.
        """
        if len(remote_digest) == TOTAL_DIGEST_BYTES:
            return [] if remote_digest == self.total_digest() else None
        if len(remote_digest) != _CHECKSUMS_STRUCT.size:
            return []
        return [
            name
            for bucket, checksum in enumerate(_CHECKSUMS_STRUCT.unpack(remote_digest))
            if checksum != self._checksums[bucket]
            for name in self._hashes[bucket]
        ]
