"""`ambershift run`: the coordinator, with the fronts that the settings turn on."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import click

from ambershift.coordinator.cli.logs import make
from ambershift.coordinator.program.assembly import Coordinator
from ambershift.coordinator.program.configuration import CONFIG_VARIABLE, ConfigurationError, load
from ambershift.coordinator.program.log import LogWriter
from ambershift.coordinator.program.signals import Signals
from ambershift.coordinator.routing.event_log import EventLog
from ambershift.version import VERSION

if TYPE_CHECKING:
    from ambershift.coordinator.settings.model import Root

LINKS_OF_GROUP = 64  # Descriptors left to links and folder.


@click.command("run")
@click.option("--settings", "file", type=click.Path(), help="Our own settings, in HCL.")
@click.option("--config", type=click.Path(), help=f"The platform's JSON file, in place of {CONFIG_VARIABLE}.")
def command(file: str | None, config: str | None) -> int:
    """Run a coordinator until SIGTERM, with the fronts that the settings turn on.

    Example: BALANCER_CONFIG=config.json ambershift run --settings deploy/runtime.hcl
    """
    signals, root = Signals(), None
    if file:
        # Readers of settings and fronts take memory that a coordinator without them needs not.
        from ambershift.coordinator.settings.model import read_file
        from ambershift.coordinator.settings.tree import SettingsError

        try:
            root = read_file(file)
        except SettingsError as error:
            print(f"ambershift: {error}", file=sys.stderr)
            return 2
    if config:
        os.environ[CONFIG_VARIABLE] = config
    writer = LogWriter(1, os.environ.get("BALANCER_NAME", ""))
    log = make(writer, root.log.level if root else "info")
    try:
        asyncio.run(serve(root, log, signals))
    except ConfigurationError as error:
        log({"event": "bad_start", "why": str(error)})
        print(f"ambershift: {error}", file=sys.stderr)
        return 2
    finally:
        writer.close()
    return 0


async def serve(root: Root | None, log: Callable[[dict[str, Any]], None], signals: Signals) -> None:
    start, event_log = load(os.environ), EventLog(log)
    runtime, group = (root.runtime, root.group) if root else (None, None)
    if runtime is None or not (runtime.socket or runtime.tcp or group):
        await Coordinator(start, event_log, signals).run()
        return
    from ambershift.coordinator.runtime.front import RuntimeFront
    from ambershift.coordinator.runtime.places import TcpPlace, UnixPlace
    from ambershift.coordinator.runtime.session import Level
    from ambershift.coordinator.settings.checks import duration

    spots: list[UnixPlace | TcpPlace] = [
        UnixPlace(one.path, int(one.mode, 8), Level[one.level.upper()]) for one in runtime.socket
    ]
    for tcp in runtime.tcp:
        host, _, port = tcp.address.rpartition(":")
        spots.append(TcpPlace(host, int(port), Level[tcp.level.upper()]))
    idle = duration(runtime.timeout)
    assert idle is not None  # Checked when the settings were read.
    talk = LINKS_OF_GROUP if group else 0
    coordinator = Coordinator(start, event_log, signals, runtime.max_connections + talk)
    given = coordinator, spots, runtime.max_connections, idle, VERSION
    if root and group:
        from ambershift.coordinator.group.service import GroupService

        coordinator.attach(GroupService(*given, root, group))
    else:
        coordinator.attach(RuntimeFront(*given))
    await coordinator.run()
