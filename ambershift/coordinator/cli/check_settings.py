"""`ambershift check-settings`: whether a settings file can be used, and what it comes to."""

from __future__ import annotations

import sys

import click
import msgspec

from ambershift.coordinator.settings.model import read_file
from ambershift.coordinator.settings.tree import SettingsError


@click.command("check-settings")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="What the file comes to, defaults and all, as JSON.")
def command(file: str, as_json: bool) -> int:
    """Check a settings file without running anything.

    Example: ambershift check-settings deploy/runtime.hcl
    """
    try:
        root = read_file(file)
    except SettingsError as error:
        if as_json:
            click.echo(
                msgspec.json.encode(
                    {"ok": False, "line": error.line, "key": error.key, "error": str(error)}
                ).decode()
            )
        print(f"ambershift: {error}", file=sys.stderr)
        return 2
    if as_json:
        click.echo(msgspec.json.encode({"ok": True, "settings": root}).decode())
    else:
        sockets = len(root.runtime.socket) + len(root.runtime.tcp)
        click.echo(f"{file}: good; the runtime API {'is off' if not sockets else f'has {sockets} sockets'}")
    return 0
