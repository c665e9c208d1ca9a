"""`ambershift version`."""

from __future__ import annotations

import platform

import click
import orjson

from ambershift.version import VERSION


@click.command("version")
@click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
def command(as_json: bool) -> int:
    """Show the version. Example: ambershift version --json"""
    if as_json:
        click.echo(orjson.dumps({"ambershift": VERSION, "python": platform.python_version()}).decode())
    else:
        click.echo(f"ambershift {VERSION}")
    return 0
