"""The command line: one program a role, and checks that need no running system."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

from ambershift.system.settings.process_settings import (
    SETTINGS_VARIABLE,
    ProcessSettings,
    SettingsError,
    read_settings,
)


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    made = argparse.ArgumentParser(
        prog="python3 -m ambershift.system",
        description="A global load balancer: its two programs and its checks.",
        epilog=f"example: {SETTINGS_VARIABLE}=/etc/ambershift/local.toml python3 -m ambershift.system proxy",
    )
    verbs = made.add_subparsers(dest="verb", required=True, metavar="VERB")
    for verb, text in (
        ("proxy", "carry traffic: take requests, pick backends, answer"),
        ("control", "hold what all must know, and decide the tables"),
    ):
        one = verbs.add_parser(verb, help=text, description=text)
        one.add_argument(
            "--settings",
            default=os.environ.get(SETTINGS_VARIABLE),
            metavar="FILE",
            help=f"the settings file (as {SETTINGS_VARIABLE} names it)",
        )
    one = verbs.add_parser("check-settings", help="check a settings file, as at a start")
    one.add_argument("file")
    one = verbs.add_parser("check-configuration", help="check an operator's configuration (JSON)")
    one.add_argument("file")
    one = verbs.add_parser("members", help="show who votes, as a control node sees it (JSON)")
    one.add_argument("address", metavar="HOST:PORT", help="where the control node serves Control")
    return made


# Seconds.
MEMBERS_WITHIN = {"timeout": {"connect": 2.0, "read": 2.0, "write": 2.0, "pool": 2.0}}

# Libraries import these where a machine happens to have them, and none is ever used here.
UNUSED = ("trio", "rich", "colorama", "better_exceptions")


def run_role(verb: str, settings: ProcessSettings) -> int:
    """Run a program until it is told to end; return the exit code."""
    # Each role imports only what it runs: memory counts, and so does the time of a start.
    for name in UNUSED:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    role: Callable[[ProcessSettings], Coroutine[Any, Any, None]]
    if verb == "proxy":
        from ambershift.system.processes.proxy import run as role
    else:
        from ambershift.system.processes.control_node import run as role
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(role(settings))
    return 0


def check_configuration(file: str) -> int:
    """Print the faults of a configuration file; return 0, 1 with faults, 2 if it can't be read."""
    from ambershift.system.configuration.check import check_document

    try:
        faults = check_document(Path(file).read_bytes())
    except OSError as why:
        print(f"{file}: {why.strerror}", file=sys.stderr)
        return 2
    for fault in faults:
        print(f"{file}: {fault}", file=sys.stderr)
    print(f"{file}: " + (f"{len(faults)} faults" if faults else "can be taken"))
    return 1 if faults else 0


def show_members(address: str) -> int:
    """Prints what the control node answers; 1 where it can't tell, 2 where it can't be reached."""
    import httpcore

    try:
        found = httpcore.request("GET", f"http://{address}/ambershift/members", extensions=MEMBERS_WITHIN)
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, ValueError) as why:
        print(
            f"{address}: {why or type(why).__name__}; is it a control node's Control address?",
            file=sys.stderr,
        )
        return 2
    print(found.content.decode())
    return 0 if found.status == 200 else 1


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command; return its exit code."""
    asked = parser().parse_args(arguments)
    if asked.verb == "members":
        return show_members(asked.address)
    if asked.verb == "check-configuration":
        return check_configuration(asked.file)
    file = asked.file if asked.verb == "check-settings" else asked.settings
    if not file:
        print(f"no settings file: give --settings FILE or set {SETTINGS_VARIABLE}", file=sys.stderr)
        return 2
    if asked.verb != "check-settings":
        # It would end a process that is still loading; so it waits, and the file is then read once more.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        settings = read_settings(file)
    except SettingsError as why:
        print(why, file=sys.stderr)
        return 1 if asked.verb == "check-settings" else 2
    if asked.verb == "check-settings":
        print(f"{file}: can be used by {settings.name}")
        return 0
    return run_role(asked.verb, settings)


if __name__ == "__main__":
    sys.exit(main())
