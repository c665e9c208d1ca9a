"""Paths and names of calls of the HTTP protocol (PROTOCOL.md), and of the calls between control nodes."""

from __future__ import annotations

RPC_PATH = "/ambershift/rpc"
NUMBERS_PATH_PREFIX = "/ambershift/numbers/"
WATCH_PATH_PREFIX = "/ambershift/watch/"
RESOLUTION_PATH = "/ambershift/resolution"
MEMBERS_PATH = "/ambershift/members"

HEARTBEAT_INSTANCE = "instances.heartbeat"
DEREGISTER_INSTANCE = "instances.deregister"
MODIFY_CONFIGURATION = "configuration.modify"  # Also the operation of the forwarded call.
RETRIEVE_CONFIGURATION = "configuration.retrieve"
INITIATE_EVACUATION = "evacuation.initiate"
TERMINATE_EVACUATION = "evacuation.terminate"

WATCH_OPERATION = "watch"  # Only between control nodes: the operation of a forwarded watch.
