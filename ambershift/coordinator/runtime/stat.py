"""Stat: `show stat` and `show servers`, row by row from one whole state each."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ambershift import interface as api
from ambershift.coordinator.admin.data_plane import NEVER_WITHDRAWN, NO_TRAFFIC
from ambershift.coordinator.admin.types import Health, State
from ambershift.coordinator.admin.view import View
from ambershift.coordinator.runtime.figures import (
    SECOND,
    Field,
    Value,
    figure,
    json_lines,
    kind,
    typed_object,
    word,
)
from ambershift.coordinator.runtime.scene import Scene

COLUMNS = [
    "pxname",
    "svname",
    "qcur",
    "qmax",
    "scur",
    "smax",
    "slim",
    "stot",
    "bin",
    "bout",
    "dreq",
    "dresp",
    "ereq",
    "econ",
    "eresp",
    "wretr",
    "wredis",
    "status",
    "weight",
    "act",
    "bck",
    "chkfail",
    "chkdown",
    "lastchg",
    "downtime",
    "qlimit",
    "pid",
    "iid",
    "sid",
    "throttle",
    "lbtot",
    "tracked",
    "type",
    "rate",
    "rate_lim",
    "rate_max",
    "check_status",
    "check_code",
    "check_duration",
    "hrsp_1xx",
    "hrsp_2xx",
    "hrsp_3xx",
    "hrsp_4xx",
    "hrsp_5xx",
    "hrsp_other",
    "hanafail",
    "req_rate",
    "req_rate_max",
    "req_tot",
    "cli_abrt",
    "srv_abrt",
    "comp_in",
    "comp_out",
    "comp_byp",
    "comp_rsp",
    "lastsess",
    "last_chk",
    "last_agt",
    "qtime",
    "ctime",
    "rtime",
    "ttime",
]
PLACES = {name: at for at, name in enumerate(COLUMNS)}
TAGS = {
    "pxname": "KNS",
    "svname": "KNS",
    "status": "SOS",
    "weight": "SGS",
    "stot": "MCP",
    "eresp": "MCP",
    "lbtot": "MCP",
    "iid": "KGS",
    "sid": "KGS",
    "pid": "KGP",
    "type": "CGS",
    "act": "SGS",
    "bck": "SGS",
    "throttle": "SGS",
    "rtime": "MAS",
    "lastsess": "MAS",
    "lastchg": "MAS",
    "qcur": "MGS",
}
BACKEND, SERVER = 1, 2
TYPES = {BACKEND: 2, SERVER: 4}  # The bits by which `show stat` is asked for backends and servers.


def tally(scene: Scene, view: View, server: int) -> tuple[int, int, int]:
    """Tries, bad ones and mean time in ms, since counters were cleared."""
    met, (tries, bad) = view.data_plane.traffic.get(server, NO_TRAFFIC), scene.met_base.get(server, (0, 0))
    good = met.attempts - met.failures
    return met.attempts - tries, met.failures - bad, met.success_time // good // 1_000_000 if good else 0


def last_change(view: View, server: int) -> int:
    """Seconds since the operator's word on this server changed last; -1 where it never did."""
    at = view.inventory.override(server).origin.at
    return max(0, view.now - at) // SECOND if at else -1


def server_row(scene: Scene, view: View, server: int) -> dict[str, Value]:
    listed, entry = view.inventory.listed[server], scene.entry(view, server)
    tries, bad, mean = tally(scene, view, server)
    met = view.data_plane.traffic.get(server, NO_TRAFFIC)
    row: dict[str, Value] = {
        "pxname": scene.zone_name(listed.zone),
        "svname": scene.door.ids[server],
        "stot": tries,
        "eresp": bad,
        "status": scene.status(view, server),
        "weight": entry.weight,
        "act": 1,
        "bck": 0,
        "pid": 1,
        "iid": listed.zone + 2,
        "sid": server + 1,
        "lbtot": tries,
        "type": SERVER,
        "rtime": mean,
    }
    if (part := scene.warm_part(view, server)) < 1.0:
        row["throttle"] = int(100 * part)
    if met.last_attempt_at:
        row["lastsess"] = (view.now - met.last_attempt_at) // SECOND
    if (since := last_change(view, server)) >= 0:
        row["lastchg"] = since
    return row


def stat_rows(
    scene: Scene, view: View, zones: list[int], types: int, server: int, no_maint: bool, up: bool
) -> Iterator[dict[str, Value]]:
    """Row by row, so that a zone of thousands is not made in one go."""

    def wanted(row: dict[str, Value], bit: int) -> bool:
        status = str(row["status"])
        return (
            bool(types & bit)
            and server in (-1, row["sid"])
            and not (no_maint and status.startswith("MAINT"))
            and (not up or status.startswith("UP"))
        )

    for zone in zones:
        sums, ups, weight = dict.fromkeys(("stot", "eresp", "lbtot"), 0), 0, 0.0
        for one in scene.servers(view, zone):
            row = server_row(scene, view, one)
            for name in sums:
                sums[name] += int(row[name])
            if str(row["status"]).startswith("UP"):
                ups, weight = ups + 1, weight + float(row["weight"])
            if wanted(row, TYPES[SERVER]):
                yield row
        row = {
            "pxname": scene.zone_name(zone),
            "svname": "BACKEND",
            "status": "UP" if ups else "DOWN",
            "weight": weight,
            "act": ups,
            "bck": 0,
            "pid": 1,
            "iid": zone + 2,
            "sid": 0,
            "type": BACKEND,
            **sums,
        }
        if wanted(row, TYPES[BACKEND]):
            yield row


def show_stat(
    scene: Scene, zones: list[int], types: int, server: int, form: str, no_maint: bool, up: bool
) -> Iterator[str]:
    rows = stat_rows(scene, scene.view(), zones, types, server, no_maint, up)
    if form == "json":
        yield from json_lines([json_field(row, name, value) for name, value in row.items()] for row in rows)
    elif form == "typed":
        for row in rows:
            for name, value in sorted(row.items(), key=lambda one: PLACES[one[0]]):
                yield (
                    f"{object_type(row)[0]}.{row['iid']}.{row['sid']}.{PLACES[name]}.{name}.1:"
                    f"{TAGS.get(name, 'MGS')}:{kind(value)}:{word(value)}"
                )
    else:
        yield "# " + ",".join(COLUMNS) + ","
        for row in rows:
            yield ",".join(word(row[name]) if name in row else "" for name in COLUMNS) + ","


def json_field(row: dict[str, Value], name: str, value: Value) -> dict[str, Any]:
    ahead = {"pos": PLACES[name], "objType": object_type(row), "proxyId": row["iid"], "id": row["sid"]}
    return typed_object(ahead, Field(name, TAGS.get(name, "MGS"), value))


def object_type(row: dict[str, Value]) -> str:
    return "Backend" if row["type"] == BACKEND else "Server"


STATE_HEAD = (
    "# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight "
    "srv_time_since_last_change srv_check_status srv_check_result srv_check_health srv_check_state "
    "srv_agent_state bk_f_forced_id srv_f_forced_id srv_fqdn srv_port srvrecord srv_use_ssl "
    "srv_check_port "
    "srv_check_addr srv_agent_addr srv_agent_port"
)
FORCED_MAINT, FORCED_DRAIN, LIST_DRAIN, LIST_GONE = 0x01, 0x08, 0x10, 0x20


def states(scene: Scene, view: View, server: int) -> tuple[int, int]:
    """HAProxy's operational state (0 stopped, 1 starting, 2 running, 3 stopping) and its administrative
    bits.
    """
    listed, wish, entry = (
        view.inventory.listed[server],
        view.inventory.override(server),
        scene.entry(view, server),
    )
    bits = (
        FORCED_MAINT * (wish.state is State.MAINT)
        | FORCED_DRAIN * (wish.state is State.DRAIN)
        | LIST_DRAIN * (listed.phase == api.Phase.DRAINING)
        | LIST_GONE * (listed.phase == api.Phase.GONE)
    )
    if (
        bits & (FORCED_MAINT | LIST_GONE) and server not in view.inventory.lent
    ) or wish.health is Health.DOWN:
        return 0, bits
    if entry.phase != api.Phase.READY:
        return 3, bits
    return (1 if scene.warm_part(view, server) < 1.0 else 2), bits


def show_servers_state(scene: Scene, zones: list[int]) -> Iterator[str]:
    view = scene.view()
    yield "1"
    yield STATE_HEAD
    for zone in zones:
        for server in scene.servers(view, zone):
            running, bits = states(scene, view, server)
            host, _, port = scene.addresses.get(server, "").rpartition(":")
            weight = figure(scene.entry(view, server).weight)
            listed = figure(view.inventory.listed[server].weight)
            yield (
                f"{zone + 2} {scene.zone_name(zone)} {server + 1} {scene.door.ids[server]} {host or '-'} "
                f"{running} "
                f"{bits} {weight} {listed} {max(0, last_change(view, server))} 0 0 0 0 0 0 0 - "
                f"{port or 0} - 0 0 - "
                "- 0"
            )


def show_servers_conn(scene: Scene, zones: list[int]) -> Iterator[str]:
    view = scene.view()
    yield "# bkname/svname bkid/svid addr port - tries bad mean_ms last_try_s shut lines"
    for zone in zones:
        for server in scene.servers(view, zone):
            tries, bad, mean = tally(scene, view, server)
            met = view.data_plane.traffic.get(server, NO_TRAFFIC)
            host, _, port = scene.addresses.get(server, "").rpartition(":")
            out = view.data_plane.withdrawals.get(server, NEVER_WITHDRAWN).out
            lines = sum(bool(line.weight) for line in view.data_plane.lines(server).values())
            last = (view.now - met.last_attempt_at) // SECOND if met.last_attempt_at else -1
            yield (
                f"{scene.title(view, server)} {zone + 2}/{server + 1} {host or '-'} {port or 0} - "
                f"{tries} {bad} "
                f"{mean} {last} {int(out)} {lines}"
            )
