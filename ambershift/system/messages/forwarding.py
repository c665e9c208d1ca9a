"""Calls that one control node hands to another, and the outcome. Owned by `control_api/`."""

from __future__ import annotations

import msgspec

# What their fields are mostly made of, known to both ends so that it need not travel.
WORDS = (
    b'{"Cause":"not in touch with enough machines"}{"Cause":"no clear outcome in time"}{"after":{"AppliesTo":'
    b'{"Holder":"a1.1","fence":{"HoldMs":3000}cells.retrievecells.replacenumberslocks.terminate'
    b'locks.heartbeatlocks.initiatewatch{"Value":{"fence":{"Revision":{"Value":"","Revision":'
    b'{"Events":[{"Name":"g1.","Value":"","Revision":}],"Revision":}]}{"Holder":"a1.1","HoldMs":3000}'
)


class ForwardedCall(msgspec.Struct, frozen=True, array_like=True, tag="eo"):
    """A call of an application, for the control node that proposes for the register it is about.

    `number` is the sender's own, and with the sender names this call among all that ever were. `name` is
    the protocol's, `of` the id, `body` JSON. `left` is in ms.
    """

    number: int
    operation: str
    subject_id: str
    body: bytes
    remaining_ms: int


class ForwardedResponse(msgspec.Struct, frozen=True, array_like=True, tag="ed"):
    """`status` is HTTP's; `body` JSON. `number` is the forwarded call's."""

    number: int
    status: int
    body: bytes


class GroupChanged(msgspec.Struct, frozen=True, array_like=True, tag="es"):
    """A group got puts through a machine that others would not look for them at."""

    group: str
    revision: int
