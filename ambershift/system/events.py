"""The catalogue of numbered log events. `docs/system-events.md` says what to do about each.

Numbers are never reused or changed. A field that was renamed has its earlier name in `earlier_names`, for
searches in logs of earlier versions; the page gives it too.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

INFO = "info"
WARNING = "warning"
ERROR = "error"


@dataclass(frozen=True, slots=True)
class EventDescription:
    """Description of an event.

    Attributes:
        level: `INFO`, `WARNING` or `ERROR`.
        message: The text of the log line's field `event`.
        fields: Names of the line's further fields, besides `n`, `at` and `node`.
        earlier_names: Earlier names of fields, by their present names.
    """

    level: str
    message: str
    fields: tuple[str, ...] = ()
    earlier_names: Mapping[str, str] = field(default_factory=dict)


TRAFFIC_SCOPES = ("zone", "region", "abroad", "unknown")
LOCALITY_FIELDS = ("same_zone", "same_region", "other_region")
EARLIER_LOCALITY_NAMES = {"same_zone": "own_zone", "same_region": "own_region", "other_region": "abroad"}

EVENTS: dict[int, EventDescription] = {
    1: EventDescription(INFO, "the process has started", ("role", "zone", "initial")),
    2: EventDescription(INFO, "the process was told to stop"),
    3: EventDescription(INFO, "the process has stopped in order"),
    4: EventDescription(INFO, "the settings file was read again", ("seeds",)),
    5: EventDescription(ERROR, "the settings file can't be used; earlier settings stay", ("reason",)),
    6: EventDescription(ERROR, "a part of the program failed on an event", ("on", "error", "where")),
    7: EventDescription(WARNING, "the port for metrics is taken; none are served", ("address",)),
    101: EventDescription(INFO, "the link to a control node is up", ("peer",)),
    102: EventDescription(INFO, "the link to a control node is down", ("peer",)),
    103: EventDescription(WARNING, "a link was rejected: it isn't of this version", ("path",)),
    104: EventDescription(WARNING, "a message couldn't be decoded; its link is closed", ("reason",)),
    105: EventDescription(INFO, "traffic that links have carried since the start", TRAFFIC_SCOPES),
    111: EventDescription(INFO, "the proxy is attached to a control node", ("peer",)),
    112: EventDescription(
        WARNING,
        "the proxy has left its control node",
        ("peer", "reason", "configuration_age_ms"),
        {"reason": "why", "configuration_age_ms": "age_ms"},
    ),
    113: EventDescription(
        WARNING, "no control node answers the proxy", ("candidates",), {"candidates": "tried"}
    ),
    114: EventDescription(INFO, "the proxy is ready"),
    115: EventDescription(
        INFO, "the proxy uses another table", ("pool", "table", *LOCALITY_FIELDS), EARLIER_LOCALITY_NAMES
    ),
    116: EventDescription(
        INFO,
        "where the proxy's attempts went",
        ("attempts", "failures", *LOCALITY_FIELDS),
        {"attempts": "tries", "failures": "bad", **EARLIER_LOCALITY_NAMES},
    ),
    117: EventDescription(INFO, "the proxy has applied configuration changes", ("peer", "items", "version")),
    118: EventDescription(
        WARNING,
        "no control node proves a newer configuration than the proxy has",
        ("candidates", "configuration_age_ms"),
        {"candidates": "asked", "configuration_age_ms": "age_ms"},
    ),
    201: EventDescription(ERROR, "the disk rejects a write; nothing is acknowledged here", ("fault",)),
    202: EventDescription(INFO, "the disk accepts writes again"),
    203: EventDescription(
        INFO,
        "the control node starts without data on disk",
        ("disk_incarnation", "founding"),
        {"disk_incarnation": "birth"},
    ),
    204: EventDescription(INFO, "the voters have changed", ("epoch", "voters")),
    205: EventDescription(
        INFO, "the control node votes: it has merged all that was acknowledged", ("epoch",)
    ),
    206: EventDescription(
        WARNING,
        "the data directory was set aside: another node's, of a newer version, or damaged",
        ("reason",),
    ),
    207: EventDescription(ERROR, "the control node has no data directory that could be opened", ("reason",)),
    208: EventDescription(
        INFO,
        "how many voters have a complete replica",
        ("epoch", "voters", "reachable", "complete"),
        {"reachable": "present"},
    ),
    209: EventDescription(INFO, "the control node stops, after its request to leave the voters", ("left",)),
    210: EventDescription(
        WARNING,
        "the control node has lost or regained contact with a majority of the voters",
        ("quorum_contact", "suspected"),
        {"quorum_contact": "in_touch", "suspected": "unheard"},
    ),
    211: EventDescription(
        INFO,
        "the tombstones of a batch of deleted items were collected",
        ("batch", "highest_version"),
        {"highest_version": "floor"},
    ),
    212: EventDescription(
        WARNING,
        "the configuration here is discarded and read again: it may hold items whose tombstones are gone",
        ("known_batch", "required_batch", "items"),
        {"known_batch": "known", "required_batch": "needed"},
    ),
    301: EventDescription(WARNING, "a backend is missing: its heartbeats have stopped", ("id", "service")),
    302: EventDescription(WARNING, "a control node is lost; what only it reported is discarded", ("peer",)),
    303: EventDescription(
        WARNING,
        "heartbeats of most backends here stopped at once; waiting for reports of other control nodes",
        ("monitored",),
        {"monitored": "heard"},
    ),
    304: EventDescription(INFO, "backends were loaded from disk", ("instances",), {"instances": "lives"}),
    305: EventDescription(WARNING, "the list of backends on disk can't be used", ("reason",)),
    321: EventDescription(
        INFO,
        "a proxy is linked to this control node",
        ("proxy", "incarnation", "ready"),
        {"incarnation": "life"},
    ),
    322: EventDescription(INFO, "the link of a proxy to this control node is lost", ("proxy",)),
    601: EventDescription(INFO, "a configuration change was committed", ("items",)),
    602: EventDescription(WARNING, "a configuration change was rejected: it is invalid", ("reason",)),
    603: EventDescription(WARNING, "the outcome of a configuration change is unknown", ("reason", "items")),
    604: EventDescription(
        INFO,
        "an evacuation was committed",
        ("zone", "evacuated", "version", "read_ms_ago"),
        {"evacuated": "out"},
    ),
    605: EventDescription(
        WARNING,
        "the outcome of an evacuation is unknown",
        ("zone", "evacuated", "version", "read_ms_ago", "reason"),
        {"evacuated": "out"},
    ),
    606: EventDescription(
        WARNING, "a configuration change was rejected: its version has another content", ("reason",)
    ),
    607: EventDescription(
        INFO, "an evacuation call was dropped", ("zone", "evacuated", "read_ms_ago", "reason")
    ),
    610: EventDescription(WARNING, "the outcome of a call is unknown", ("register", "reason")),
    611: EventDescription(INFO, "a call was rejected and not applied", ("register", "reason")),
    612: EventDescription(
        WARNING,
        "the control node that a call was forwarded to gave no outcome",
        ("proposer", "register"),
        {"proposer": "owner"},
    ),
    613: EventDescription(WARNING, "the process was paused; waiting calls are rejected", ("stopped_ms",)),
    614: EventDescription(ERROR, "the store failed on a call", ("register", "reason")),
    615: EventDescription(
        INFO,
        "a watch began where an old copy of its group is kept",
        ("group", "after", "revision", "read_ms_ago"),
    ),
    616: EventDescription(
        INFO, "a watch got 410: the events that it asked for are pruned", ("group", "after")
    ),
}
