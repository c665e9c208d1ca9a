"""Calls of applications that one control node forwards to another, and their responses.

Used by `control_api/`. Tags and the order of the fields are the wire format.
"""

from __future__ import annotations

import msgspec

# Preset dictionary (RFC 1950, section 2.2): frequent words of the bodies, which both ends know so that they
# need not be sent. It is part of the wire format: a changed byte makes messages unreadable for other
# versions.
PRESET_DICTIONARY = (
    b'{"Cause":"not in touch with enough machines"}{"Cause":"no clear outcome in time"}{"after":{"AppliesTo":'
    b'{"Holder":"a1.1","fence":{"HoldMs":3000}cells.retrievecells.replacenumberslocks.terminate'
    b'locks.heartbeatlocks.initiatewatch{"Value":{"fence":{"Revision":{"Value":"","Revision":'
    b'{"Events":[{"Name":"g1.","Value":"","Revision":}],"Revision":}]}{"Holder":"a1.1","HoldMs":3000}'
)


class ForwardedCall(msgspec.Struct, frozen=True, array_like=True, tag="eo"):
    """A call of an application, forwarded to the control node that proposes for its register.

    Attributes:
        number: The sender's call number. Each process starts at a random number, so that together with the
            sender's ip it identifies the call for good.
        operation: The name that the protocol gives the call, such as "locks.initiate".
        subject_id: The id of what the call is about: a lock, a cell, a group.
        body: The call's JSON body.
        remaining_ms: Time until the call's deadline, counted from the sending: clocks of two machines have no
            relation.
    """

    number: int
    operation: str
    subject_id: str
    body: bytes
    remaining_ms: int


class ForwardedResponse(msgspec.Struct, frozen=True, array_like=True, tag="ed"):
    """The response to a forwarded call.

    Attributes:
        number: The call number of the forwarded call.
        status: The HTTP status for the application.
        body: The JSON body for the application.
    """

    number: int
    status: int
    body: bytes


class GroupChanged(msgspec.Struct, frozen=True, array_like=True, tag="es"):
    """A group was changed through another control node than the one that usually proposes for it.

    Sent to the usual one, whose watches would miss a change that it has not proposed itself.

    Attributes:
        group: The group's name.
        revision: The group's revision after the change.
    """

    group: str
    revision: int
