"""Heard state: what members tell each other without promise, by origin, with version and age. No I/O."""

from ambershift.coordinator.replication.gossip.types import Kind as Kind
from ambershift.coordinator.replication.gossip.types import Record as Record
