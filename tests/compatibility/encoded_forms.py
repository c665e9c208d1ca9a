"""What travels between machines or lies on disk, by the names of `fixtures/`; shared with the maker.

The names on the left are the fixtures' own and stay when a class is renamed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import reduce
from operator import or_
from typing import Any

import msgspec

from ambershift.coordinator.group import gossip, observations
from ambershift.coordinator.group.links import wire as links
from ambershift.coordinator.interference import records as interference
from ambershift.coordinator.interference.words import Sample
from ambershift.coordinator.promises import codec as group_codec
from ambershift.coordinator.promises.commands import Command
from ambershift.coordinator.promises.state import Packed
from ambershift.coordinator.replication import messages as group_messages
from ambershift.coordinator.replication import records
from ambershift.coordinator.replication.gossip import messages as heard
from ambershift.system.configuration.agreement import Agreement
from ambershift.system.consensus.membership_view import MembershipStatus
from ambershift.system.coordination.groups import Group
from ambershift.system.coordination.locks import Lease
from ambershift.system.coordination.value_deltas import GroupDelta
from ambershift.system.messages import codec, replication
from ambershift.system.messages.items import Item
from ambershift.system.messages.tombstones import CollectedTombstones
from ambershift.system.registry.snapshot import Snapshot


@dataclass(frozen=True)
class Form:
    """`kind` is a struct, a union of tagged ones, or a list of structs."""

    kind: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


def plain(kind: Any) -> Form:
    """Of what is msgpack without any more."""
    return Form(kind, msgspec.msgpack.encode, msgspec.msgpack.Decoder(kind).decode)


def json(kind: Any) -> Form:
    return Form(kind, msgspec.json.encode, msgspec.json.Decoder(kind).decode)


SYSTEM = {
    "system": Form(reduce(or_, codec.message_types()), codec.encode, codec.decode),
    "difference of a group of cells": plain(GroupDelta),
    "GET /ambershift/members": json(MembershipStatus),
}
GROUP = {
    "replica": Form(group_messages.Message, group_messages.encode, group_messages.decode),
    "heard": Form(heard.Message, heard.encode, heard.decode),
    "link hello": Form(links.Hello, links.encode, links.decode_hello),
    "link reply": Form(links.Welcome | links.Refusal, links.encode, links.decode_reply),
    "samples": plain(list[Sample]),
    "heard body ill": plain(tuple[observations.ServerObservation, ...]),
    "heard body steers": plain(gossip.MemberStatus),
    "heard body met": Form(interference.Evidence, msgspec.msgpack.encode, interference.READ_EVIDENCE.decode),
    "heard body baseline": Form(
        interference.Baseline, msgspec.msgpack.encode, interference.READ_BASELINE.decode
    ),
}
STORED = {
    "archive.db items": plain(Item),
    "archive.db registers": plain(replication.AcceptorState),
    "archive.db meta decision": plain(replication.VoterConfiguration),
    "register configuration": plain(Agreement),
    "register of a group of cells": plain(Group),
    "register of a lock": plain(Lease),
    "body of the forgotten item": json(CollectedTombstones),
    "backends.list": plain(Snapshot),
    "log head": plain(records.LogHeader),
    "log line": plain(records.LogRecord),
    "log command": Form(Command, group_codec.encode_command, group_codec.decode_command),
    "log outcome": Form(group_codec.Outcome, group_codec.encode_outcome, group_codec.decode_outcome),
    "log snapshot state": plain(Packed),
}
