"""A proxy's link to its control node."""

from __future__ import annotations

from unittest.mock import Mock

from ambershift.system.messages.proxy_link import ItemUpdate
from ambershift.system.node_selection.selector import ControlNodeSelector
from ambershift.system.processes.attachment_log import AttachmentLog
from ambershift.system.processes.control_link import ControlLink
from ambershift.system.state_machine import NS_PER_SECOND
from tests.support.configuration_items import route


def test_link_with_outdated_items_is_left_and_its_items_are_not_reported_as_applied() -> None:
    selector, server, log = ControlNodeSelector("p", "z", "r", ("a", "b")), Mock(), Mock()
    events = AttachmentLog(selector, Mock(), lambda: 7 * NS_PER_SECOND, log)
    link = ControlLink(selector, server, Mock(), lambda: 7 * NS_PER_SECOND, log, events)
    server.handle_message.return_value = []
    server.routing.control_node_outdated = True
    link.outbox = outbox = Mock()
    selector.record_link_up(7 * NS_PER_SECOND, "a")
    for _ in range(2):  # What is on the way still is void.
        link.receive(outbox, ItemUpdate((route("r1", 1),), False))
    assert events.abandoned_links == {"outdated": 1}
    assert events.configuration_version == 0 and link.outbox is None
    assert [call.args[0] for call in log.call_args_list] == [112]
    assert outbox.abort.called and selector.linked_ip is None
    assert selector.candidates(7 * NS_PER_SECOND)[0] == "b"
