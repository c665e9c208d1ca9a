"""Show: `show info` and the reading commands of our own, line by line from one whole state each."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import orjson

from ambershift import interface as api
from ambershift.coordinator.admin.data_plane import NEVER_WITHDRAWN
from ambershift.coordinator.admin.types import Health, Stage
from ambershift.coordinator.admin.view import View
from ambershift.coordinator.runtime.figures import (
    SECOND,
    Field,
    figure,
    kind,
    typed_object,
    word,
)
from ambershift.coordinator.runtime.scene import Scene


def info(scene: Scene) -> list[Field]:
    view, relaying = scene.view(), scene.relaying()
    uptime = (view.now - scene.started) // SECOND
    phases = [scene.entry(view, server).phase for server in view.inventory.listed]
    return [
        Field("Name", "POS", "ambershift"),
        Field("Version", "POS", scene.version),
        Field("Nbthread", "CGS", 1),
        Field("Nbproc", "CGS", 1),
        Field("Process_num", "KGP", 1),
        Field("Pid", "SGP", scene.pid),
        Field(
            "Uptime",
            "MDP",
            f"{uptime // 86400}d {uptime // 3600 % 24}h{uptime // 60 % 60:02}m{uptime % 60:02}s",
        ),
        Field("Uptime_sec", "MDP", uptime),
        Field("Memmax_MB", "CLP", scene.memory_mb),
        Field("CurrConns", "MGP", scene.connections),
        Field("CumConns", "MCP", scene.accepted),
        Field("Stopping", "SGP", int(scene.controller.stopping)),
        Field("node", "CGS", scene.node),
        Field("Zones", "CGS", len(scene.names.zones)),
        Field("Traffic_groups", "CGS", scene.groups),
        Field("Servers", "SGP", len(phases)),
        Field("Servers_ready", "SGP", sum(phase == api.Phase.READY for phase in phases)),
        Field("Servers_draining", "SGP", sum(phase == api.Phase.DRAINING for phase in phases)),
        Field("Servers_lent", "SGP", len(view.inventory.lent)),
        Field("Proxies_joined", "SGP", len(view.data_plane.proxies)),
        Field(
            "Wishes_standing",
            "SGP",
            sum(bool(one.severity) or one.weight is not None for one in view.inventory.overrides.values()),
        ),
        Field("Wishes_pending", "SGP", len(scene.controller.sweep(view.now))),
        Field("Commands_accepted", "MCP", scene.controller.commands),
        Field("State_version", "SCP", view.version),
        Field("Relay_address", "CGS", relaying.address),
        Field("Relay_calls_waiting", "SGP", relaying.calls),
        Field("Replies_ordered", "MCP", view.data_plane.reply),
        Field("Replies_settled", "MCP", view.data_plane.settled),
        Field("Steps", "MCP", scene.count("steps")),
        Field("Slow_steps", "MCP", scene.count("slow_step")),
    ]


def show_info(scene: Scene, form: str) -> Iterator[str]:
    fields = info(scene)
    if form == "json":
        yield orjson.dumps([typed_object({"pos": at}, field) for at, field in enumerate(fields)]).decode()
    elif form == "typed":
        for at, field in enumerate(fields):
            yield f"{at}.{field.name}.1:{field.tags}:{kind(field.value)}:{word(field.value)}"
    else:
        for field in fields:
            yield f"{field.name}: {word(field.value)}"


def pending_rows(scene: Scene, view: View, servers: list[int]) -> Iterator[dict[str, Any]]:
    for server in servers:
        told, reached = view.pending.get(server), view.stage(server)
        if told is None or reached in (None, Stage.APPLIED):
            continue
        origin = view.inventory.override(server).origin
        yield {
            "server": scene.title(view, server),
            "stage": Stage(reached or 0).name.lower(),
            "wish": wish_words(view, server),
            "number": origin.number,
            "who": origin.who,
            "waiting_ms": (view.now - told.at) // 1_000_000,
        }


def wish_words(view: View, server: int) -> str:
    wish = view.inventory.override(server)
    parts = [wish.state.name.lower()]
    if wish.health is not Health.UP:
        parts.append(f"health={wish.health.name.lower()}")
    if wish.weight is not None:
        value, unit = wish.weight.figure, "%" if wish.weight.relative else ""
        parts.append(f"weight={figure(value * 100 if unit else value)}{unit}")
    return ",".join(parts)


def standing_rows(scene: Scene, view: View, servers: list[int]) -> Iterator[dict[str, Any]]:
    for server in servers:
        wish, lent = view.inventory.overrides.get(server), view.inventory.lent.get(server)
        if wish is not None:
            yield {
                "server": scene.title(view, server),
                "wish": wish_words(view, server),
                "status": scene.status(view, server),
                "number": wish.origin.number,
                "who": wish.origin.who,
                "since_ms": (view.now - wish.origin.at) // 1_000_000,
                "lent_ms": (view.now - lent) // 1_000_000 if lent is not None else -1,
            }


def table_rows(scene: Scene, view: View, tables: list[int]) -> Iterator[dict[str, Any]]:
    used = [proxy.table for proxy in view.data_plane.proxies.values()]
    for table in tables:
        for server, line in sorted(view.data_plane.tables[table].items()):
            if line.weight:
                yield {
                    "table": table,
                    "proxies": used.count(table),
                    "server": scene.title(view, server),
                    "weight": line.weight,
                    "shut": view.data_plane.withdrawals.get(server, NEVER_WITHDRAWN).out,
                    "reply": line.reply,
                    "settled": line.reply <= view.data_plane.settled,
                }
