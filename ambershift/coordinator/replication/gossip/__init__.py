"""Gossip: state that members exchange without consensus, by origin, with a version and an age. No I/O."""

from ambershift.coordinator.replication.gossip.types import Record as Record
from ambershift.coordinator.replication.gossip.types import RecordKind as RecordKind
