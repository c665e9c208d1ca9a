"""Heard state: what members tell each other without promise, by origin, with version and age. No I/O."""

from ambershift.coordinator.replication.gossip.types import Record as Record
from ambershift.coordinator.replication.gossip.types import RecordKind as RecordKind
