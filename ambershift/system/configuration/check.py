"""Validates a configuration document without a running system, for the command line."""

from __future__ import annotations

from ambershift.system.configuration.change_request import read_order
from ambershift.system.configuration.errors import Fault, InvalidError
from ambershift.system.messages.items import SERVICE


def check_document(body: bytes) -> list[Fault]:
    """All faults of a `configuration.modify` body; none if it is valid.

    References from routes to services are checked within the document. If the document has no service, it is
    taken for a change of a configuration that has them, and references aren't checked.
    """
    try:
        order = read_order(body)
    except InvalidError as why:
        return list(why.faults)
    if not any(item.kind == SERVICE for item in order.items):
        return []
    return list(order.unknown({}))
