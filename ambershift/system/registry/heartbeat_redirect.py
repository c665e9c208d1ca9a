"""Chooses the control node that a backend should send its heartbeats to."""

from __future__ import annotations

import hashlib

from ambershift.system.interfaces import ReplicatedState
from ambershift.system.settings.process_settings import ProcessSettings


def nearer_control_node(
    instance_id: str, zone: str, settings: ProcessSettings, replicated_state: ReplicatedState
) -> str | None:
    """Return the ip of a control node that is nearer to a backend than this one; None if there is none.

    Args:
        instance_id: Of the backend's instance.
        zone: Of the backend.
        settings: Of this control node.
        replicated_state: Tells which control nodes there are, and which are alive.
    """
    if zone == settings.zone:
        return None
    region = settings.zones.get(zone, "")
    in_region = [
        node
        for node in replicated_state.control_nodes()
        if node.region == region and replicated_state.is_alive(node.ip)
    ]
    candidates = [node.ip for node in in_region if node.zone == zone]
    if not candidates and settings.region != region:
        candidates = [node.ip for node in in_region]
    # Rendezvous hashing (Thaler, Ravishankar 1998): an instance stays with one control node, and the
    # instances of a zone are spread over several.
    return max(
        candidates,
        key=lambda ip: hashlib.blake2b(f"{ip} {instance_id}".encode(), digest_size=8).digest(),
        default=None,
    )
